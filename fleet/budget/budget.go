// Package budget shares rate limits among routers that lend each other parts of them.
//
// Each router owns an equal share of every limit. A part of the share, the floor, is never lent;
// the rest is lent on request for the duration of a lease. The sum of what all routers may spend
// never exceeds the limit, even if messages between them are lost, duplicated, reordered or
// delayed:
//
//   - An owner reserves the lent amount before it sends the grant and until the lease has expired
//     by its own clock. A borrower counts the same lease from the time it sent the ask, which is
//     earlier, and ends it sooner by the permitted clock drift.
//   - An ask has a sequence number and is answered at most once. A grant is accepted only for a
//     pending ask, and only the latest grant of an owner is in use.
//   - A router that starts does not know what an earlier process with its name has lent. It spends
//     no more than its floor until a whole lease has passed.
//   - Bursts are bounded by the rate that the router holds. A router that loses a rate also loses
//     the unspent burst that belongs to it, and a router that gains a rate starts with no burst
//     from it.
//
// In any window of w seconds all routers together therefore spend at most limit x (w + Burst), plus
// one per router for rounding: a router whose share of the burst is less than one request may still
// accumulate one request. A router that receives no messages has its whole share back once the
// leases it granted have expired, and has its floor at any time.
//
// The package does no I/O and starts no goroutines; the clock is an argument. A Ledger is not safe
// for concurrent use.
package budget

import (
	"errors"
	"fmt"
	"time"
)

// Time is a reading of the caller's monotonic clock from an arbitrary start. The clock must keep
// running while the process is stopped.
type Time time.Duration

const (
	headroom     = 1.2   // rate that a router aims to hold, as a multiple of its demand
	demandWindow = 0.2   // time constant of the demand average, as a fraction of a lease
	minNeed      = 0.02  // smallest rate to borrow, as a fraction of a share
	maxGrants    = 8     // open grants of one owner to one borrower
	maxAsks      = 8     // pending asks to one owner
	renewAfter   = 0.5   // fraction of a lease after which it is renewed
	retryAfter   = 0.125 // fraction of a lease after which an ask is considered lost
	// Fraction of a lease for which an owner that granted less is not asked for more.
	shortBackoff = 0.25
	shrinkBelow  = 0.7 // a loan is reduced early if less than this fraction of it is needed
)

// Config lists the routers that share the limits and the terms of lending. All fields except Self
// and Incarnation must be the same at every router.
type Config struct {
	Self        string
	Routers     []string // all routers that share the limits, including Self
	Incarnation uint64   // increases with each start of this router
	// Version of these terms; nothing is lent across versions or between different limits.
	Epoch uint64
	Lease time.Duration // how long an owner reserves what it has lent
	Drift float64       // maximum relative difference in speed between two clocks, 0 to 0.2
	Floor float64       // fraction of each share that is never lent, greater than 0 and up to 1
	// The amount that accrues at the held rate in this time may be spent at once.
	Burst       time.Duration
	RecordMoves bool // record loans for Moves; the caller must then call Moves after each call
}

// ErrConfig is wrapped by the errors for an invalid Config.
var ErrConfig = errors.New("budget")

func (c *Config) check() error {
	bad := func(key string, value any, why string) error {
		return fmt.Errorf("%w: %s is %v, %s", ErrConfig, key, value, why)
	}
	seen := map[string]bool{}
	for _, r := range c.Routers {
		if r == "" || seen[r] {
			return bad("routers", fmt.Sprintf("%q", r), "empty or duplicate")
		}
		seen[r] = true
	}
	switch {
	case !seen[c.Self]:
		return bad("self", fmt.Sprintf("%q", c.Self), "not among the routers")
	case c.Lease <= 0:
		return bad("lease", c.Lease, "must be greater than 0")
	case c.Burst < 0:
		return bad("burst", c.Burst, "negative")
	case !(c.Drift >= 0 && c.Drift <= 0.2):
		return bad("drift", c.Drift, "must be from 0 to 0.2")
	case !(c.Floor > 0 && c.Floor <= 1):
		return bad("floor", c.Floor, "must be greater than 0 and at most 1")
	}
	return nil
}
