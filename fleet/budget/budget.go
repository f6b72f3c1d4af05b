// Package budget shares limits among routers that lend each other parts of them.
//
// Each router owns an even share of every limit. A part of it, the floor, is never
// lent; the rest is lent to routers that ask, for the time of a lease. The sum of
// what all may spend never passes the limit, whatever is lost, doubled, reordered
// or late between them:
//
//   - An owner holds back what it lends from before its answer leaves until the lease
//     has passed by its own clock. A borrower counts the same lease from when it sent
//     the ask, which was earlier, and ends it sooner by what clocks may run apart.
//   - An ask is numbered and answered at most once; a grant counts only for the ask
//     that is waiting for it, and only the latest grant of an owner is ever in use.
//   - A router that starts does not know what an earlier process under its name has
//     lent. It spends no more than its floor until a whole lease has passed.
//   - What is spent at once is bounded by the rate that is held: whoever loses a rate
//     loses what it had saved up by it, and whoever gains one starts with nothing.
//
// So in any window of w seconds all routers together spend at most limit x (w +
// Burst), and one each for rounding: a share too small for one whole request in the
// burst may still save up one. A router that hears nothing has its whole own share
// back once the leases it gave have passed, and its floor at any time.
//
// The package does no I/O and starts nothing; the clock is an argument. A Ledger is
// not safe for concurrent use.
package budget

import (
	"errors"
	"fmt"
	"time"
)

// Time is a reading of the caller's monotonic clock from an arbitrary start. It must
// go on while the process is stopped.
type Time time.Duration

const (
	headroom   = 1.2   // times its demand that a router wants to hold
	demandOver = 0.2   // part of a lease that the demand is taken over
	leastNeed  = 0.02  // part of a share, under which nothing is borrowed
	mostGrants = 8     // grants of one owner to one borrower that are out at once
	mostAsks   = 8     // asks of one owner that are waited for at once
	renewAt    = 0.5   // part of a lease after which it is renewed
	retryAt    = 0.125 // part of a lease after which an ask counts as lost
	shortFor   = 0.25  // part of a lease in which an owner that lent less is asked for no more
	shrinkAt   = 0.7   // what is wanted less than this part of what is held goes back early
)

// Config says who shares the limits and under which terms. All but Self and
// Incarnation must be the same at every router.
type Config struct {
	Self        string
	Routers     []string      // all that share, Self among them
	Incarnation uint64        // grows with each start of this router
	Epoch       uint64        // version of these terms; nothing is lent across versions, nor across limits
	Lease       time.Duration // an owner holds back what it has lent for so long
	Drift       float64       // part by which the speeds of two clocks may differ, 0 to 0.2
	Floor       float64       // part of each share that is never lent, over 0 to 1
	Burst       time.Duration // as much as comes in at the held rate in this time may be spent at once
	Tell        bool          // what is lent and borrowed is told by Moves; it is to be asked for after each call then
}

// ErrConfig is what a faulty Config wraps.
var ErrConfig = errors.New("budget")

func (c *Config) check() error {
	bad := func(key string, value any, why string) error {
		return fmt.Errorf("%w: %s is %v, %s", ErrConfig, key, value, why)
	}
	seen := map[string]bool{}
	for _, r := range c.Routers {
		if r == "" || seen[r] {
			return bad("routers", fmt.Sprintf("%q", r), "empty or named twice")
		}
		seen[r] = true
	}
	switch {
	case !seen[c.Self]:
		return bad("self", fmt.Sprintf("%q", c.Self), "none of the routers")
	case c.Lease <= 0:
		return bad("lease", c.Lease, "not over 0")
	case c.Burst < 0:
		return bad("burst", c.Burst, "negative")
	case !(c.Drift >= 0 && c.Drift <= 0.2):
		return bad("drift", c.Drift, "not from 0 to 0.2")
	case !(c.Floor > 0 && c.Floor <= 1):
		return bad("floor", c.Floor, "not over 0 and up to 1")
	}
	return nil
}
