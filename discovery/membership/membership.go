// Package membership decides which workers a router may use when several
// sources list them: it takes the sources' reports and gives the smallest list
// of changes that brings a router up to date, each with its reason.
//
// It does no I/O, starts no goroutine and takes the time from its caller. A Set
// is not safe for concurrent use.
//
// The rule, in the order in which it is applied:
//
//  1. A worker's own words are those of all sources that list it by its name,
//     and of those that list its address without a name.
//  2. An explicit gone or draining from any source wins, at once, until that
//     very source lists the worker as serving again.
//  3. Otherwise the worker is served while at least one source lists it. That a
//     source does not list it is no word against it.
//  4. A source that fails or is silent keeps its last good list, marked stale,
//     up to its Keep.
//  5. An answer that is empty after one that was not, or that drops more than a
//     share of the source's workers, drops nobody until it has been confirmed.
//  6. Of a source's priorities, only the best one that has a worker in service
//     is used.
//
// The outcome is a function of what each source has said and when; the order
// in which the reports of different sources arrive does not change it.
package membership

import (
	"errors"
	"fmt"
	"net"
	"time"
)

// Word is what a source says of one worker.
type Word uint8

// The words of a source. Serving and Absent are weak: another source may know
// better. Draining and Gone are explicit: they win over all other sources.
const (
	Serving  Word = iota
	Draining      // finishes what it has, gets nothing new
	Gone          // has ended
	Absent        // no longer listed, in a Report that holds changes
)

func (w Word) String() string {
	return [...]string{"serving", "draining", "gone", "absent"}[w]
}

// Entry is one worker in a report.
type Entry struct {
	Name     string // identity over sources; empty: the address is the identity
	Addr     string // host:port; may be empty with Gone and Absent
	Weight   float64
	Cell     int
	Zone     int
	Kind     int
	Priority int   // lower is better; compared within one source
	Since    int64 // its latest start in Unix nanoseconds; 0: not known
	Word     Word
}

// LongAgo is the start of a worker that is known to have run for long.
const LongAgo int64 = 1

// key is the entry's identity: its name, or where it has none its address.
func (e *Entry) key() string {
	if e.Name != "" {
		return "=" + e.Name
	}
	return "@" + e.Addr
}

func (e *Entry) label() string { return e.key()[1:] }

// Check tells what is wrong with an entry.
func (e *Entry) Check() error {
	if e.Name == "" && e.Addr == "" {
		return errors.New("a worker has neither name nor address")
	}
	if e.Addr == "" && e.Word >= Gone {
		return nil
	}
	host, port, err := net.SplitHostPort(e.Addr)
	if err == nil && (host == "" || port == "") {
		err = errors.New("host or port is missing")
	}
	switch {
	case err != nil:
		return fmt.Errorf("worker %q: address %q: %w", e.label(), e.Addr, err)
	case e.Since < 0:
		return fmt.Errorf("worker %q: started at %d, before 1970", e.label(), e.Since)
	case !(e.Weight >= 0):
		return fmt.Errorf("worker %q: weight %v is negative", e.label(), e.Weight)
	}
	return nil
}

// Report is what a source says at one time.
type Report struct {
	Source string
	// Whole means that Entries are all that the source lists.
	Whole bool
	// Final means that a whole report is known to be meant, however little it
	// lists: it needs no confirmation.
	Final bool
	// Version is the source's own count of its states, 0 if it has none. A
	// report of a version below the last one came late and is dropped.
	Version uint64
	// Anew means that the source counts from another start than before.
	Anew    bool
	Entries []Entry
}

// Member is a worker as the router is to use it.
type Member struct {
	Name   string
	Addr   string
	Weight float64
	Cell   int
	Zone   int
	Kind   int
	Since  int64 // its latest start in Unix nanoseconds; 0 or LongAgo: long ago
	// Draining means that it gets nothing new: a source says so, or it is on
	// standby behind a better priority.
	Draining bool
}

// Kind tells what a Change does.
type Kind uint8

// The kinds of change.
const (
	Added Kind = iota
	Updated
	Removed
)

func (k Kind) String() string { return [...]string{"added", "updated", "removed"}[k] }

// Change is one step from one served set to the next.
type Change struct {
	Kind   Kind
	Member Member // as it is now, or with Removed as it was last
	Reason Reason
	Source string // whose word it follows; empty if it is nobody's alone
}

// Reason says why a worker is in, draining or out.
type Reason uint8

// The reasons of a worker's state.
const (
	Listed    Reason = iota // in: a source lists it
	ToldDrain               // draining: a source says so
	OnStandby               // draining: a better priority has workers in service
	ToldGone                // out: a source says so
	Dropped                 // out: no source lists it any longer
	Expired                 // out: the sources that list it have been stale for too long
	Damped                  // out: it came and went too often
	Shadowed                // out: another name is served at its address
	Restarted               // in: a later start than the one known
	Moved                   // in: at another address
	Amended                 // in: with another weight, cell, zone or kind
)

func (r Reason) String() string {
	return [...]string{"listed", "told to drain", "on standby", "told gone", "dropped by all", "expired",
		"damped", "shadowed", "restarted", "moved", "amended"}[r]
}

// Policy is how a source is taken.
type Policy struct {
	Name string
	// EmptyTimes and EmptyOver say when an empty list is believed after one that
	// was not: seen so often in a row, over at least that time. EmptyTimes of 0
	// or 1 with EmptyOver of 0 believes at once.
	EmptyTimes int
	EmptyOver  time.Duration
	// LossShare is the part of the source's workers that one report may drop by
	// absence. More is held until it was seen LossTimes in a row over LossOver; a
	// report of changes, which isn't repeated, until LossOver has passed. 0 means
	// no bound.
	LossShare float64
	LossTimes int
	LossOver  time.Duration
	// Silent is how long the source may say nothing before it counts as failed;
	// 0 means for good.
	Silent time.Duration
	// Keep is how long a failed source's list is kept; 0 means for good.
	Keep time.Duration
	// GoneFor is how long an explicit gone holds against other sources that list
	// the worker; 0 means until the source that said it lists it again.
	GoneFor time.Duration
	Damping Damping
}

// Damping keeps out workers that come and go, as RFC 2439 does with routes:
// each return costs one, the sum halves with time. It concerns one source's
// listing, so another source's steady one still holds the worker.
type Damping struct {
	HalfLife time.Duration // 0: no damping
	Suppress float64       // kept out from this sum on
	Reuse    float64       // and let in again below this one
	Share    float64       // of the source's workers that are kept out at most
}

// Check tells what is wrong with a policy; key names the one that is.
func (p *Policy) Check() (key string, err error) {
	d := p.Damping
	switch {
	case p.EmptyTimes < 0 || p.LossTimes < 0:
		return "times", errors.New("is negative")
	case p.EmptyOver < 0 || p.LossOver < 0 || p.Silent < 0 || p.Keep < 0 || p.GoneFor < 0 || d.HalfLife < 0:
		return "time", errors.New("is negative")
	case !(p.LossShare >= 0 && p.LossShare <= 1):
		return "loss_share", errors.New("is no share between 0 and 1")
	case d.HalfLife > 0 && !(d.Reuse > 0 && d.Suppress > d.Reuse):
		return "damp_reuse", errors.New("must be above 0 and below damp_suppress")
	case d.HalfLife > 0 && !(d.Share > 0 && d.Share <= 1):
		return "damp_share", errors.New("is no share above 0 and up to 1")
	}
	return "", nil
}

// MaxEntries bounds what one source may list.
const MaxEntries = 1 << 16

// remember is how long a worker that nobody lists any more keeps its name.
const remember = 10 * time.Minute

// The errors of a report that is dropped whole.
var (
	ErrUnknownSource = errors.New("no such source")
	ErrOldVersion    = errors.New("an older version than the one in hand")
	ErrTooMany       = fmt.Errorf("more than %d workers", MaxEntries)
)
