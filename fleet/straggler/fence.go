package straggler

import "time"

// Fence holds what a router sends back once it has not looked at what is newest for a window, as after it was stopped or its
// machine stood still: what it decides then rests on what may be long over. It opens again when a look finds that nothing
// lacks, and a grace after the router went on whatever is found, also where nobody can be asked: from there the Machine's slots
// say who is shut out. So a fleet whose machines all stood still at once, its store being gone, takes nothing new for a grace
// and not for longer. The clock must go on while the process is stopped.
//
// A Fence is not safe for concurrent use. Between the last question and the first byte lies what the system takes to write;
// a process that is stopped just there sends once more, and only the worker could refuse that.
type Fence struct {
	window time.Duration
	grace  time.Duration
	until  Time
	woke   Time
	closed bool
}

// NewFence returns the fence of a router that knows what is newest now.
func NewFence(window, grace time.Duration, now Time) *Fence {
	return &Fence{window: window, grace: grace, until: now + Time(window)}
}

// Look notes that what is newest was asked for at a time: lacks is by how many versions the router lies below it, told whether
// there was an answer that was given after that time. The look by which a standstill is noticed may itself have been asked for
// before it, so it opens nothing.
func (f *Fence) Look(lacks uint64, told bool, asked, now Time) {
	switch {
	case now > f.until && !f.closed:
		f.closed, f.woke = true, now
	case f.closed && (told && lacks == 0 && asked >= f.woke || now-f.woke >= Time(f.grace)):
		f.closed = false
	}
	f.until = asked + Time(f.window)
}

// May tells whether something new may be sent.
func (f *Fence) May(now Time) bool { return !f.closed && now <= f.until }
