package audit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lichenshelf/fleet/audit"
	"lichenshelf/fleet/budget"
)

// lend simulates routers that lend each other parts of a limit over links that lose, duplicate and
// delay messages, one of them restarted on the way, and returns their event logs.
func lend(t require.TestingT, seed uint64) []audit.Trail {
	const steps, step, lease = 600, 20 * time.Millisecond, time.Second
	names := []string{"a", "b", "c"}
	rng := rand.New(rand.NewPCG(seed, 1))
	trails, ledgers := make([]audit.Trail, len(names)), make([]*budget.Ledger, len(names))
	note := func(i int, r audit.Record) {
		n := len(trails[i].Entries)
		if r.Kind != audit.Started && n > 0 {
			r.Seq = trails[i].Entries[n-1].Seq
		}
		r.Seq++
		trails[i].Entries = append(trails[i].Entries, audit.Entry{Record: r, Place: audit.Place{File: names[i], Offset: int64(n)}})
	}
	start := func(i int, incarnation uint64, now budget.Time) {
		l, err := budget.New(budget.Config{Self: names[i], Routers: names, Incarnation: incarnation, Lease: lease, Drift: 0.01, Floor: 0.1,
			Burst: lease, RecordMoves: true}, now)
		require.NoError(t, err)
		l.SetLimit("k", 300, now)
		ledgers[i], trails[i].Router = l, names[i]
		note(i, audit.Record{Kind: audit.Started, At: time.Duration(now)})
	}
	for i := range names {
		start(i, 1, 0)
	}
	kinds := map[budget.MoveKind]audit.Kind{budget.Lent: audit.Lent, budget.Returned: audit.Returned, budget.Borrowed: audit.Borrowed}
	type delivery struct {
		m  budget.Message
		at int
	}
	var inbox []delivery
	post := func(s int, all []budget.Message) {
		for _, m := range all {
			for range 1 + rng.IntN(5)/4 {
				if rng.IntN(8) > 0 {
					inbox = append(inbox, delivery{m, s + 1 + rng.IntN(4)})
				}
			}
		}
	}
	for s := range steps {
		now := budget.Time(time.Duration(s) * step)
		if s == steps/2 {
			start(rng.IntN(len(names)), 2, now)
		}
		for i, l := range ledgers {
			for range rng.IntN(2 + 10*((s/100+i)%3)) { // the routers with much demand change
				l.Spend("k", 1, now)
			}
			post(s, l.Tick(now))
		}
		due := inbox
		inbox = nil
		for _, m := range due {
			if m.at > s {
				inbox = append(inbox, m)
				continue
			}
			i := int(m.m.To[0] - 'a')
			post(s, ledgers[i].Receive(m.m, now))
			for _, move := range ledgers[i].Moves() {
				note(i, audit.Record{Kind: kinds[move.Kind], At: time.Duration(now), Part: move.Key, Peer: move.Router, Epoch: move.Incarnation,
					Number: move.Seq, Version: move.Using, Amount: move.Amount, Share: move.Share, Window: move.Left})
			}
		}
	}
	return trails
}

func of(trails []audit.Trail, kind audit.Kind) (all []*audit.Entry) {
	for i := range trails {
		for j := range trails[i].Entries {
			if e := &trails[i].Entries[j]; e.Kind == kind {
				all = append(all, e)
			}
		}
	}
	return all
}

// Over faulty links, routers that follow the rules cause no breach in the audit.
func TestValidLoansHaveNoBreach(t *testing.T) {
	require.Greater(t, len(of(lend(t, 1), audit.Borrowed)), 20, "grants were used")
	rapid.Check(t, func(t *rapid.T) {
		require.Empty(t, audit.CheckLoans(lend(t, rapid.Uint64().Draw(t, "seed"))))
	})
}

// An ask that is answered without a grant still informs the owner of the grants that are no longer
// used. An audit that does not learn of it counts them as lent.
func TestAskWithoutGrantEndsOlderGrants(t *testing.T) {
	const lease, limit = time.Second, 300
	owner, err := budget.New(budget.Config{Self: "a", Routers: []string{"a", "b", "c"}, Incarnation: 1, Lease: lease, Drift: 0.01, Floor: 0.1,
		Burst: lease, RecordMoves: true}, 0)
	require.NoError(t, err)
	now := budget.Time(lease)
	owner.SetLimit("k", limit, now)
	borrower, err := budget.New(budget.Config{Self: "b", Routers: []string{"a", "b", "c"}, Incarnation: 1, Lease: lease, Floor: 0.1, Burst: lease}, 0)
	require.NoError(t, err)
	borrower.SetLimit("k", limit, now)
	for range 100 {
		borrower.Spend("k", 1, now)
	}
	epoch := borrower.Tick(now)[0].Epoch
	trail := audit.Trail{Router: "a", Entries: []audit.Entry{{Record: audit.Record{Kind: audit.Started, Seq: 1}}}}
	ask := func(from string, number, using uint64, amount float64) float64 {
		answer := owner.Receive(budget.Message{Kind: budget.Ask, From: from, To: "a", Epoch: epoch, Incarnation: 1, Key: "k", Seq: number, Using: using,
			Amount: amount}, now)
		require.Len(t, answer, 1)
		for _, move := range owner.Moves() {
			kind := map[budget.MoveKind]audit.Kind{budget.Lent: audit.Lent, budget.Returned: audit.Returned}[move.Kind]
			trail.Entries = append(trail.Entries, audit.Entry{Record: audit.Record{Kind: kind, Seq: uint64(len(trail.Entries) + 1), At: time.Duration(now),
				Part: move.Key, Peer: move.Router, Epoch: move.Incarnation, Number: move.Seq, Version: move.Using, Amount: move.Amount, Share: move.Share,
				Window: move.Left}})
		}
		return answer[0].Amount
	}
	require.InDelta(t, 50, ask("b", 1, 0, 50), 1e-9)
	require.InDelta(t, 10, ask("b", 2, 1, 10), 1e-9)
	for range 200 {
		owner.Spend("k", 1, now) // it needs its whole share for its own demand now
	}
	require.Zero(t, ask("b", 3, 2, 10), "it lends nothing now, but it has learnt that the first grant is no longer used")
	now += budget.Time(lease * 9 / 10)
	require.Greater(t, ask("c", 1, 0, 90), 60.0, "its own demand has passed")
	require.Empty(t, audit.CheckLoans([]audit.Trail{trail}))
}

// Each violation that a router could commit or record is found.
func TestInvalidLoansAreFound(t *testing.T) {
	for name, spoil := range map[string]func(trails []audit.Trail){
		"held for more than was lent": func(trails []audit.Trail) { of(trails, audit.Borrowed)[3].Amount *= 2 },
		"held for longer":             func(trails []audit.Trail) { of(trails, audit.Borrowed)[3].Window += time.Minute },
		"never lent": func(trails []audit.Trail) {
			held := of(trails, audit.Borrowed)
			for _, h := range held {
				later := false
				for _, l := range of(trails, audit.Lent) {
					later = later || l.Peer == "b" && l.Epoch == 1 && l.Number > h.Number
				}
				if h.Peer == "a" && later {
					h.Number++ // its owner never received that ask
				}
			}
		},
		"two holders": func(trails []audit.Trail) {
			held := of(trails, audit.Borrowed)
			*held[4] = *held[3]
			held[4].Offset++
			held[4].Peer, held[4].Number = held[3].Peer, held[3].Number
		},
		"more lent than there is": func(trails []audit.Trail) {
			for _, l := range of(trails, audit.Lent) {
				l.Amount *= 4
			}
		},
	} {
		trails := lend(t, 7)
		require.Empty(t, audit.CheckLoans(trails))
		spoil(trails)
		breaches := audit.Check(trails)
		require.NotEmpty(t, breaches, name)
		require.Equal(t, audit.RuleLease, breaches[len(breaches)-1].Rule, name)
	}
}
