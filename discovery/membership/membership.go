// Package membership decides which workers a router may use when several sources list them. It
// takes the reports of the sources and returns the smallest list of changes that brings a router up
// to date, each with its reason.
//
// It does no I/O, starts no goroutine and takes the time from its caller. A Set is not safe for
// concurrent use.
//
// The rules, in the order in which they are applied:
//
//  1. The entries that count for a worker are those under its name, from all sources, and those
//     that list its address without a name.
//  2. An explicit Gone or Draining from any source takes effect at once and holds until the same
//     source lists the worker as serving again.
//  3. Otherwise the worker is served while at least one source lists it. That another source does
//     not list it has no effect.
//  4. A source that fails or is silent keeps its last good list, marked stale, for the time in its
//     policy's Keep.
//  5. A report that is empty after one that was not, or that drops more than a stated share of the
//     source's workers, removes no worker until it has been confirmed.
//  6. Of a source's priorities, only the best one with a worker in service is used.
//
// The outcome is a function of what each source reported and when. The order in which the reports
// of different sources arrive does not change it.
package membership

import (
	"errors"
	"fmt"
	"net"
	"time"
)

// Status is the state in which a source reports one worker.
type Status uint8

// The statuses. Serving and Absent are weak: the reports of another source may override them.
// Draining and Gone are explicit and override all other sources.
const (
	Serving  Status = iota
	Draining        // finishes its open requests, gets no new ones
	Gone            // has ended
	Absent          // no longer listed, in a Report of changes
)

func (s Status) String() string {
	return [...]string{"serving", "draining", "gone", "absent"}[s]
}

// Entry is one worker in a report.
type Entry struct {
	Name     string // identity across sources; empty: the address is the identity
	Addr     string // host:port; may be empty with Gone and Absent
	Weight   float64
	Cell     int
	Zone     int
	Kind     int
	Priority int   // lower is better; compared within one source
	Since    int64 // latest start in Unix nanoseconds; 0: unknown
	Status   Status
}

// LongAgo is the start time of a worker that has been running for a long time.
const LongAgo int64 = 1

// key returns the entry's identity: its name or, without one, its address.
func (e *Entry) key() string {
	if e.Name != "" {
		return "=" + e.Name
	}
	return "@" + e.Addr
}

func (e *Entry) label() string { return e.key()[1:] }

// Check reports what is wrong with an entry.
func (e *Entry) Check() error {
	if e.Name == "" && e.Addr == "" {
		return errors.New("a worker has neither name nor address")
	}
	if e.Addr == "" && e.Status >= Gone {
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

// Report is what a source reports at one time.
type Report struct {
	Source string
	// Whole means that Entries is the complete list of the source's workers.
	Whole bool
	// Confirmed means that a whole report is intended by the source, however few workers it lists. It
	// needs no confirmation.
	Confirmed bool
	// Version is the source's own version number of its list, 0 if it has none. A report with a
	// lower version than the last one arrived out of order and is dropped.
	Version uint64
	// VersionReset means that the source has restarted its version numbers.
	VersionReset bool
	Entries      []Entry
}

// Member is a worker in the form in which the router uses it.
type Member struct {
	Name   string
	Addr   string
	Weight float64
	Cell   int
	Zone   int
	Kind   int
	Since  int64 // latest start in Unix nanoseconds; 0 or LongAgo: long ago
	// Draining means that the worker gets no new requests: a source reports it as draining, or it
	// is on standby because a better priority is in use.
	Draining bool
}

// ChangeKind is the effect of a Change.
type ChangeKind uint8

// The kinds of change.
const (
	Added ChangeKind = iota
	Updated
	Removed
)

func (k ChangeKind) String() string { return [...]string{"added", "updated", "removed"}[k] }

// Change is one step from one set of served workers to the next.
type Change struct {
	Kind   ChangeKind
	Member Member // the new state; for Removed, the last one
	Reason Reason
	Source string // the source that decided; empty if no single one did
}

// Reason is why a worker is served, draining or not served.
type Reason uint8

// The reasons of a worker's state.
const (
	Listed           Reason = iota // served: a source lists it
	ReportedDraining               // draining: a source reports it as draining
	OnStandby                      // draining: a better priority has workers in service
	ReportedGone                   // not served: a source reports it as gone
	Dropped                        // not served: no source lists it any longer
	Expired                        // not served: the sources that list it have been stale for too long
	Damped                         // not served: it has left and returned too often
	Shadowed                       // not served: another name is served at its address
	Restarted                      // served: its start is later than the one known before
	Moved                          // served: its address has changed
	Amended                        // served: its weight, cell, zone or kind has changed
)

func (r Reason) String() string {
	return [...]string{"listed", "told to drain", "on standby", "told gone", "dropped by all", "expired",
		"damped", "shadowed", "restarted", "moved", "amended"}[r]
}

// Policy states how the reports of one source are applied.
type Policy struct {
	Name string
	// EmptyTimes and EmptyOver state when an empty list after a non-empty one is applied: after it
	// was reported EmptyTimes times in a row over at least EmptyOver. With EmptyTimes of 0 or 1 and
	// EmptyOver of 0 it is applied at once.
	EmptyTimes int
	EmptyOver  time.Duration
	// LossShare is the share of the source's workers that one report may drop by not listing them.
	// A larger loss is held until it was reported LossTimes times in a row over LossOver. A loss in
	// a report of changes, which is not repeated, is held until LossOver has passed. 0 means no
	// bound.
	LossShare float64
	LossTimes int
	LossOver  time.Duration
	// Silent is how long the source may send no report before it counts as failed; 0 means no
	// limit.
	Silent time.Duration
	// Keep is how long a failed source's list is kept; 0 means no limit.
	Keep time.Duration
	// GoneFor is how long an explicit Gone overrides other sources that list the worker; 0 means
	// until the source that reported it lists the worker again.
	GoneFor time.Duration
	Damping Damping
}

// Damping keeps out workers that repeatedly leave and return, as RFC 2439 does with routes: each
// return adds 1 to a penalty that decays exponentially. It applies to the listing of one source, so
// a steady listing of another source still keeps the worker served.
type Damping struct {
	HalfLife time.Duration // of the penalty; 0: no damping
	Suppress float64       // penalty from which a worker is kept out
	Reuse    float64       // penalty below which it is served again
	Share    float64       // largest share of the source's workers that is kept out
}

// Check reports what is wrong with a policy; key names the setting.
func (p *Policy) Check() (key string, err error) {
	d := p.Damping
	switch {
	case p.EmptyTimes < 0 || p.LossTimes < 0:
		return "times", errors.New("is negative")
	case p.EmptyOver < 0 || p.LossOver < 0 || p.Silent < 0 || p.Keep < 0 || p.GoneFor < 0 || d.HalfLife < 0:
		return "time", errors.New("is negative")
	case !(p.LossShare >= 0 && p.LossShare <= 1):
		return "loss_share", errors.New("must be between 0 and 1")
	case d.HalfLife > 0 && !(d.Reuse > 0 && d.Suppress > d.Reuse):
		return "damp_reuse", errors.New("must be above 0 and below damp_suppress")
	case d.HalfLife > 0 && !(d.Share > 0 && d.Share <= 1):
		return "damp_share", errors.New("must be above 0 and at most 1")
	}
	return "", nil
}

// MaxEntries is the maximum number of workers that one source may list.
const MaxEntries = 1 << 16

// forgetAfter is how long the state of a worker that no source lists is kept.
const forgetAfter = 10 * time.Minute

// The errors for which a whole report is dropped.
var (
	ErrUnknownSource = errors.New("no such source")
	ErrOldVersion    = errors.New("older than the version already applied")
	ErrTooMany       = fmt.Errorf("more than %d workers", MaxEntries)
)
