package logic

import (
	"testing"
	"time"
)

const (
	arrivalPeriod = 100 * time.Millisecond // a request comes
	maxStreams    = 20                     // answers that run at a time: each as long as so many requests come
)

// runErringWriters is a rig whose writers answer errors at once where they are told to, and serve else. It returns how often each writer
// was asked, and how many requests were refused.
func runErringWriters(t *testing.T, requests int, errs func(s ServerID, n int) bool) (asked map[ServerID]int, refused int) {
	type stream struct {
		id RequestID
		at ServerID
	}
	var running []stream
	r := newTestGateway(t, reader(1, 0), writer(2, 0), writer(3, 0), writer(4, 0))
	asked = map[ServerID]int{}
	for n := range requests {
		r.wait(arrivalPeriod)
		if len(running) == maxStreams {
			done := running[0]
			running = running[1:]
			r.g.Handle(r.now, []Event{{Kind: AttemptEnded, ID: done.id, Server: done.at, Status: Served, Closed: true}}, nil)
		}
		id, acts := r.arrive(Request{Session: Key(n + 1)})
		for {
			send := find(acts, Send)
			if send == nil {
				break
			}
			asked[send.Server]++
			switch {
			case send.Server == 1:
				acts = r.end(id, 1, PromptRead, 0)
			case errs(send.Server, n):
				acts = r.end(id, send.Server, ServerError, 0)
			default:
				r.start(id, send.Server)
				running = append(running, stream{id, send.Server})
				acts = nil
			}
		}
		if find(acts, Refuse) != nil {
			refused++
		}
	}
	return asked, refused
}

// A writer that answers errors at once always looks the emptiest. It is asked again by single trials, ever later, and comes back
// with the first answer that it serves.
func TestErringServerIsTriedSeldom(t *testing.T) {
	const requests, heals = 300, 200
	early, late := 0, 0
	_, refused := runErringWriters(t, requests, func(s ServerID, n int) bool {
		if s != 2 {
			return false
		}
		if n < heals {
			early++
			return true
		}
		late++
		return false
	})
	if early > 10 {
		t.Errorf("asked %d times in 20 s in which it answers errors alone", early)
	}
	if late < 10 {
		t.Errorf("asked %d times in the 10 s after it has healed", late)
	}
	if refused > 0 {
		t.Errorf("%d requests refused beside two writers that serve", refused)
	}
}

// Where all err, none is left out: each request is tried as often as the settings let it.
func TestNothingIsShedWhenAllServersErr(t *testing.T) {
	const requests = 50
	asked, refused := runErringWriters(t, requests, func(ServerID, int) bool { return true })
	attempts := asked[2] + asked[3] + asked[4]
	if least := requests * (testSettings().MaxAttempts - 2); attempts < least {
		t.Errorf("%d attempts at writers, %d requests, refused %d", attempts, requests, refused)
	}
	for s, n := range asked {
		if n < requests/5 {
			t.Errorf("server %d was asked %d times", s, n)
		}
	}
}

// What may run once only goes elsewhere after a single error; others do not mind one, which may be the request's fault.
func TestOnceRequestsAvoidAServerAfterAnError(t *testing.T) {
	for class, elsewhere := range []bool{false, true, true} {
		r := newTestGateway(t, reader(1, 0), writer(2, 0), writer(3, 0))
		read := func(class int) (RequestID, *Action) {
			id, _ := r.arrive(Request{Class: class})
			return id, find(r.end(id, 1, PromptRead, 0), Send)
		}
		id, first := read(0)
		r.g.Handle(r.now, []Event{{Kind: AttemptEnded, ID: id, Server: first.Server, Status: ServerError, Closed: true}}, nil)
		other := r.g.byID[5-first.Server]
		other.ownTokens, other.streams = 0.5*other.memory, 20 // it looks the worse by far
		if _, next := read(class); (next.Server == other.Server) != elsewhere {
			t.Errorf("class %d goes to %d after an error of %d", class, next.Server, first.Server)
		}
		r.wait(maxBackoff)
		if _, next := read(class); next.Server != first.Server {
			t.Errorf("class %d still avoids %d after %v", class, first.Server, maxBackoff)
		}
	}
}
