package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// rig drives a set and keeps the router's picture of it, by changes alone.
type rig struct {
	t      testing.TB
	set    *Set
	now    time.Time
	router map[string]Member
	last   []Change
}

func newRig(t testing.TB, policies ...Policy) *rig {
	s, err := New(policies...)
	require.NoError(t, err)
	return &rig{t: t, set: s, now: t0, router: map[string]Member{}}
}

func (r *rig) took(changes []Change) {
	r.last = changes
	for _, c := range changes {
		was, in := r.router[c.Member.Name]
		require.Equal(r.t, c.Kind != Added, in, "%v", c)
		switch c.Kind {
		case Removed:
			require.Equal(r.t, was, c.Member)
			require.Contains(r.t, []Reason{ToldGone, Dropped, Expired, Damped, Shadowed}, c.Reason)
			delete(r.router, c.Member.Name)
		default:
			require.NotEqual(r.t, was, c.Member)
			require.Contains(r.t, []Reason{Listed, ToldDrain, OnStandby, Restarted, Moved, Amended}, c.Reason)
			require.Equal(r.t, c.Member.Draining, c.Reason == ToldDrain || c.Reason == OnStandby)
			r.router[c.Member.Name] = c.Member
		}
	}
}

func (r *rig) report(rep Report) []error {
	changes, problems, err := r.set.Report(r.now, rep)
	require.NoError(r.t, err)
	r.took(changes)
	return problems
}

func (r *rig) whole(source string, entries ...Entry) {
	require.Empty(r.t, r.report(Report{Source: source, Whole: true, Entries: entries}))
}

func (r *rig) change(source string, entries ...Entry) {
	require.Empty(r.t, r.report(Report{Source: source, Entries: entries}))
}

func (r *rig) fail(source string) { r.took(r.set.Fail(r.now, source, "no answer")) }

// pass lets time go by as a caller would, from one thing that is due to the next.
func (r *rig) pass(d time.Duration) {
	until := r.now.Add(d)
	for {
		next, ok := r.set.Next()
		if !ok || next.After(until) {
			break
		}
		r.now = latest(r.now, next)
		r.took(r.set.Advance(r.now))
	}
	r.now = until
	r.took(r.set.Advance(r.now))
}

// is checks the whole set: names, with "~" before one that drains.
func (r *rig) is(names ...string) {
	r.t.Helper()
	var got []string
	serving := 0
	for _, m := range r.set.Members() {
		require.Equal(r.t, m, r.router[m.Name], "the changes lead to the set")
		if m.Draining {
			m.Name = "~" + m.Name
		} else {
			serving++
		}
		got = append(got, m.Name)
	}
	require.Len(r.t, r.router, len(got))
	require.Equal(r.t, serving, r.set.Serving())
	require.ElementsMatch(r.t, names, got)
}

func (r *rig) reason(want Reason) {
	r.t.Helper()
	require.Len(r.t, r.last, 1)
	require.Equal(r.t, want, r.last[0].Reason)
}

func (r *rig) source(name string) SourceView {
	for _, v := range r.set.Sources() {
		if v.Name == name {
			return v
		}
	}
	r.t.Fatalf("no source %s", name)
	return SourceView{}
}

func on(name, addr string) Entry { return Entry{Name: name, Addr: addr, Weight: 1} }
func said(name, addr string, word Word) Entry {
	return Entry{Name: name, Addr: addr, Weight: 1, Word: word}
}
func started(name, addr string, at int64) Entry {
	return Entry{Name: name, Addr: addr, Weight: 1, Since: at}
}

var plainSources = []Policy{{Name: "list"}, {Name: "dns"}, {Name: "store"}}

func TestAbsenceFromOneSourceIsNoRemoval(t *testing.T) {
	r := newRig(t, plainSources...)
	r.whole("list", on("a", "h:1"), on("b", "h:2"))
	r.whole("dns", on("", "h:1"), on("", "h:3"))
	r.is("a", "b", "h:3")
	r.whole("dns") // dropped by DNS, held by the list
	r.is("a", "b")
	r.whole("dns", on("", "h:1"))
	r.whole("list") // and the other way round: it keeps its name
	r.is("a")
	require.Equal(t, "h:1", r.router["a"].Addr)
	r.whole("dns")
	r.is()
	r.reason(Dropped)
}

func TestAnExplicitWordWinsUntilItsSourceTakesItBack(t *testing.T) {
	for _, word := range []Word{Draining, Gone} {
		r := newRig(t, plainSources...)
		r.whole("list", on("a", "h:1"))
		r.whole("store", on("a", "h:1"))
		r.is("a")
		r.change("store", said("a", "h:1", word))
		want := map[Word][]string{Draining: {"~a"}, Gone: nil}[word]
		r.is(want...)
		require.Equal(t, "store", r.last[0].Source)
		r.now = r.now.Add(100 * time.Millisecond)
		r.whole("list", on("a", "h:1")) // listed again by the other
		r.whole("dns", on("", "h:1"))
		r.is(want...)
		r.pass(time.Hour)
		r.is(want...)
		r.whole("store", on("b", "h:2")) // left out is not taken back
		r.pass(time.Hour)
		r.whole("list", on("a", "h:1"))
		r.is("b")
		r.whole("store", on("a", "h:1"))
		r.is("a")
	}
}

func TestGoneOfAWorkerNobodyHasListedYet(t *testing.T) {
	r := newRig(t, plainSources...)
	r.change("store", Entry{Name: "a", Word: Gone})
	r.whole("list", on("a", "h:1"))
	r.is()
	r.change("store", on("a", "h:1"))
	r.is("a")
}

func TestGoneHoldsForAStatedTimeIfSoConfigured(t *testing.T) {
	r := newRig(t, Policy{Name: "list"}, Policy{Name: "store", GoneFor: time.Minute})
	r.whole("list", on("a", "h:1"))
	r.change("store", said("a", "h:1", Gone))
	r.is()
	r.pass(time.Minute - 1)
	r.is()
	r.pass(1)
	r.is("a")
}

func TestSameWorkerUnderTwoNames(t *testing.T) {
	r := newRig(t, plainSources...)
	r.whole("list", on("a", "h:1"))
	r.whole("store", on("b", "h:1"))
	r.is("a")
	require.Empty(t, r.last, "the second name changes nothing")
	r.change("store", said("b", "h:1", Draining)) // one process: it drains under both
	r.is("~a")
	r.change("store", on("b", "h:1"))
	r.is("a")
	r.change("store", said("b", "h:1", Gone))
	r.is()
	// The address is given to another worker, known to have started later.
	r.now = r.now.Add(time.Second)
	r.change("list", started("c", "h:1", r.now.UnixNano()))
	r.is("c")
	// Or the source that saw the first one go lists the second.
	r = newRig(t, plainSources...)
	r.whole("store", on("b", "h:1"))
	r.whole("list", on("c", "h:1"))
	r.change("store", said("b", "h:1", Gone))
	r.is()
	r.change("store", on("c", "h:1"))
	r.is("c")
}

func TestAddressConflictGoesToTheLatestIncarnation(t *testing.T) {
	r := newRig(t, plainSources...)
	r.whole("list", on("a", "h:1"))
	r.whole("store", on("a", "h:2"))
	require.Equal(t, "h:1", r.router["a"].Addr, "of equals, the first source")
	require.Equal(t, []string{"h:1", "h:2"}, r.set.Workers()[0].Conflict)
	r.change("store", started("a", "h:2", 5e9))
	require.Equal(t, Member{Name: "a", Addr: "h:2", Weight: 1, Since: 5e9}, r.router["a"])
	r.reason(Moved)
	r.change("store", started("a", "h:2", 6e9))
	r.reason(Restarted)
	r.change("store", Entry{Name: "a", Addr: "h:2", Weight: 1, Since: 6e9, Cell: 4})
	require.Empty(t, r.last, "figures are the first source's")
	r.change("list", Entry{Name: "a", Addr: "h:1", Weight: 2})
	r.reason(Amended)
	require.Equal(t, Member{Name: "a", Addr: "h:2", Weight: 2, Since: 6e9}, r.router["a"])
}

func TestReListingIsNoRestart(t *testing.T) {
	r := newRig(t, plainSources...)
	r.whole("store", started("a", "h:1", 5e9))
	r.whole("store", started("a", "h:1", 5e9))
	require.Empty(t, r.last)
	r.whole("dns", on("", "h:1"))
	require.Empty(t, r.last)
}

func TestNewWorkersAreMarkedAsFreshAndFirstOnesAreNot(t *testing.T) {
	r := newRig(t, plainSources...)
	r.whole("dns") // an empty list is no first one
	r.now = r.now.Add(time.Minute)
	r.whole("dns", on("", "h:1"))
	require.Zero(t, r.router["h:1"].Since)
	r.now = r.now.Add(time.Minute)
	r.whole("dns", on("", "h:1"), on("", "h:2"))
	require.Zero(t, r.router["h:1"].Since)
	require.Equal(t, r.now.UnixNano(), r.router["h:2"].Since)
	fresh := r.router["h:2"].Since
	r.now = r.now.Add(time.Minute)
	r.whole("dns", on("", "h:1"), on("", "h:2"))
	require.Equal(t, fresh, r.router["h:2"].Since)
	r.whole("list", started("a", "h:2", LongAgo))
	require.Equal(t, LongAgo, r.router["a"].Since, "another source knows better")
}

var bounded = Policy{Name: "dns", EmptyTimes: 3, EmptyOver: 10 * time.Second, LossShare: 0.5, LossTimes: 2, LossOver: 5 * time.Second}

func fleet(from, to int) (out []Entry) {
	for i := from; i < to; i++ {
		out = append(out, on("", fmt.Sprintf("h:%d", i+1)))
	}
	return out
}

func names(from, to int) (out []string) {
	for _, e := range fleet(from, to) {
		out = append(out, e.Addr)
	}
	return out
}

func TestAnEmptyAnswerIsBelievedOnceConfirmed(t *testing.T) {
	r := newRig(t, bounded)
	r.whole("dns", fleet(0, 4)...)
	for range 5 { // many in a short time are not enough
		r.whole("dns")
		r.pass(time.Second)
	}
	r.is(names(0, 4)...)
	require.Equal(t, 4, r.source("dns").Held)
	r.whole("dns", fleet(0, 4)...) // a full one starts the count anew
	require.Zero(t, r.source("dns").Held)
	r.pass(time.Minute)
	r.whole("dns")
	r.pass(time.Minute)
	r.whole("dns") // long enough, not often enough
	r.is(names(0, 4)...)
	r.whole("dns")
	r.is()
}

func TestAnEmptyAnswerThatIsMeantNeedsNoConfirmation(t *testing.T) {
	r := newRig(t, bounded, Policy{Name: "list"})
	r.whole("dns", fleet(0, 4)...)
	r.whole("list", on("a", "h:1"))
	r.report(Report{Source: "dns", Whole: true, Final: true})
	r.is("a")
}

func TestMassLossWaitsForItsConfirmation(t *testing.T) {
	r := newRig(t, bounded)
	r.whole("dns", fleet(0, 10)...)
	r.whole("dns", fleet(0, 5)...) // half is within the bound
	r.is(names(0, 5)...)
	r.whole("dns", fleet(0, 2)...)
	r.is(names(0, 5)...)
	r.pass(6 * time.Second)
	r.whole("dns", fleet(0, 2)...)
	r.is(names(0, 2)...)
}

func TestMostWorkersReplacedInOneReport(t *testing.T) {
	r := newRig(t, bounded)
	r.whole("dns", fleet(0, 20)...)
	r.whole("dns", fleet(19, 39)...)
	r.is(names(0, 39)...) // the new ones at once, the old ones until it is confirmed
	r.pass(6 * time.Second)
	r.whole("dns", fleet(19, 39)...)
	r.is(names(19, 39)...)
}

func TestMassLossByChangesIsBelievedWithTime(t *testing.T) {
	absent := func(from, to int) (out []Entry) {
		for _, e := range fleet(from, to) {
			e.Word = Absent
			out = append(out, e)
		}
		return out
	}
	r := newRig(t, bounded)
	r.whole("dns", fleet(0, 10)...)
	r.change("dns", absent(0, 8)...)
	r.is(names(0, 10)...)
	r.pass(time.Second)
	r.change("dns", fleet(0, 1)...) // one is back
	r.pass(4*time.Second - 1)
	r.is(names(0, 10)...)
	r.pass(1)
	r.is("h:1", "h:9", "h:10")
	explicit := fleet(8, 10)
	for i := range explicit {
		explicit[i].Word = Gone
	}
	r.change("dns", explicit...) // an explicit word is never held
	r.is("h:1")
}

func TestSilentSourcesKeepTheirListAndComeBackWithHalf(t *testing.T) {
	dns, list := bounded, Policy{Name: "list", Silent: 30 * time.Second, Keep: 10 * time.Minute}
	dns.Silent, dns.Keep = 30*time.Second, 10*time.Minute
	r := newRig(t, list, dns)
	r.whole("dns", fleet(0, 10)...)
	r.whole("list", on("a", "l:1"), on("b", "l:2"))
	all := append(names(0, 10), "a", "b")
	r.pass(time.Minute)
	require.True(t, r.source("dns").Stale)
	require.True(t, r.source("list").Stale)
	require.Contains(t, r.source("dns").Fault, "30s")
	r.is(all...)
	r.whole("dns", fleet(0, 4)...)
	require.False(t, r.source("dns").Stale)
	r.is(all...)
	r.pass(5 * time.Second)
	r.whole("dns", fleet(0, 4)...)
	r.is("h:1", "h:2", "h:3", "h:4", "a", "b")
	r.pass(10*time.Minute - 36*time.Second)
	r.is("h:1", "h:2", "h:3", "h:4", "a", "b")
	r.pass(time.Minute) // the list has been stale for too long
	r.is("h:1", "h:2", "h:3", "h:4")
	require.True(t, r.source("list").Expired)
	r.whole("list", on("a", "l:1"), on("b", "l:2"))
	r.is("h:1", "h:2", "h:3", "h:4", "a", "b")
}

func TestAFailedSourceWithoutKeepHoldsForGood(t *testing.T) {
	r := newRig(t, bounded)
	r.whole("dns", fleet(0, 3)...)
	r.fail("dns")
	r.pass(1000 * time.Hour)
	r.is(names(0, 3)...)
	require.Equal(t, "no answer", r.source("dns").Fault)
}

func TestASourceThatFlapsEverySecondChangesNothing(t *testing.T) {
	r := newRig(t, bounded)
	r.whole("dns", fleet(0, 6)...)
	for range 120 {
		r.whole("dns")
		r.pass(time.Second)
		require.Empty(t, r.last)
		r.whole("dns", fleet(0, 6)...)
		require.Empty(t, r.last)
		r.pass(time.Second)
	}
	r.is(names(0, 6)...)
}

func TestAWorkerThatFlapsIsKeptOutForAWhile(t *testing.T) {
	damped := bounded
	damped.Damping = Damping{HalfLife: time.Minute, Suppress: 3, Reuse: 1, Share: 0.25}
	r := newRig(t, damped, Policy{Name: "list"})
	flips := 0
	for range 30 {
		r.whole("dns", fleet(0, 7)...)
		r.pass(time.Second)
		r.whole("dns", fleet(0, 8)...)
		flips += len(r.last)
		r.pass(time.Second)
	}
	require.LessOrEqual(t, flips, 4, "in at first, and for a few returns")
	r.is(names(0, 7)...)
	require.Equal(t, 1, r.source("dns").Damped)
	r.whole("list", on("", "h:8"))
	r.is(names(0, 8)...) // another source holds it all the same
	r.whole("list")
	r.is(names(0, 7)...)
	r.pass(10 * time.Minute)
	r.is(names(0, 8)...)
	require.Zero(t, r.source("dns").Damped)
}

func TestDampingIsBounded(t *testing.T) {
	r := newRig(t, Policy{Name: "dns", Damping: Damping{HalfLife: time.Minute, Suppress: 2, Reuse: 1, Share: 0.25}})
	for range 20 {
		r.whole("dns", fleet(0, 2)...)
		r.whole("dns", fleet(0, 8)...)
	}
	require.LessOrEqual(t, r.source("dns").Damped, 2)
	require.GreaterOrEqual(t, r.set.Serving(), 6)
}

func TestStandbyServesOnlyWhenTheBetterGroupDoesNot(t *testing.T) {
	prio := func(p int, entries ...Entry) []Entry {
		for i := range entries {
			entries[i].Priority = p
		}
		return entries
	}
	r := newRig(t, plainSources...)
	both := append(prio(10, fleet(0, 2)...), prio(20, fleet(2, 4)...)...)
	r.whole("dns", both...)
	r.is("h:1", "h:2", "~h:3", "~h:4")
	r.change("store", said("", "h:1", Draining))
	r.is("~h:1", "h:2", "~h:3", "~h:4")
	r.change("store", said("", "h:2", Gone)) // nobody left in service
	r.is("~h:1", "h:3", "h:4")
	require.Equal(t, 20, r.source("dns").Priority)
	r.whole("list", on("c", "h:3")) // held by a list without priorities
	r.change("store", on("", "h:2"))
	r.is("~h:1", "h:2", "c", "~h:4")
}

func TestLateAndUnknownReportsAreDropped(t *testing.T) {
	r := newRig(t, plainSources...)
	r.report(Report{Source: "store", Whole: true, Version: 7, Entries: []Entry{on("a", "h:1")}})
	_, _, err := r.set.Report(r.now, Report{Source: "store", Version: 6, Entries: []Entry{said("a", "h:1", Gone)}})
	require.ErrorIs(t, err, ErrOldVersion)
	_, _, err = r.set.Report(r.now, Report{Source: "else"})
	require.ErrorIs(t, err, ErrUnknownSource)
	_, _, err = r.set.Report(r.now, Report{Source: "dns", Whole: true, Entries: make([]Entry, MaxEntries+1)})
	require.ErrorIs(t, err, ErrTooMany)
	r.is("a")
	r.report(Report{Source: "store", Whole: true, Version: 1, Anew: true, Entries: []Entry{on("b", "h:2")}})
	r.is("b")
}

func TestEntriesThatMakeNoSenseLeaveTheirWorkersAlone(t *testing.T) {
	r := newRig(t, plainSources...)
	r.whole("list", on("a", "h:1"), on("b", "h:2"))
	problems := r.report(Report{Source: "list", Whole: true, Entries: []Entry{on("a", "nowhere"), on("b", "h:2"),
		started("c", "h:3", -1), {Name: "d", Addr: "h:4", Weight: -1}, {}, on("b", "h:5"), on("e", "h:6")}})
	require.Len(t, problems, 5)
	require.ErrorContains(t, problems[0], `worker "a": address "nowhere"`)
	require.ErrorContains(t, problems[4], `"b" is listed twice`)
	r.is("a", "b", "e")
	require.Equal(t, "h:2", r.router["b"].Addr)
}

func TestOtherSourcesKeepWhatTheOldOnesSaid(t *testing.T) {
	r := newRig(t, plainSources...)
	r.whole("list", on("a", "h:1"))
	r.whole("dns", on("", "h:2"))
	r.change("store", said("a", "h:1", Gone))
	changes, err := r.set.Configure(r.now, Policy{Name: "dns"}, Policy{Name: "list"}, Policy{Name: "new"})
	require.NoError(t, err)
	r.took(changes)
	r.is("a", "h:2") // the word of a source that is no longer asked is void
	r.whole("new", on("a", "h:3"))
	require.Equal(t, "h:1", r.router["a"].Addr)
	changes, err = r.set.Configure(r.now, Policy{Name: "new"}, Policy{Name: "list"})
	require.NoError(t, err)
	r.took(changes)
	r.is("a")
	require.Equal(t, "h:3", r.router["a"].Addr, "the first source goes before")
	for _, bad := range [][]Policy{{{Name: "x"}, {Name: "x"}}, {{}}, {{Name: "x", LossShare: 2}}, {{Name: "x", Keep: -1}},
		{{Name: "x", Damping: Damping{HalfLife: 1, Suppress: 1, Reuse: 2, Share: 1}}}} {
		_, err = r.set.Configure(r.now, bad...)
		require.Error(t, err)
		r.is("a")
	}
}

// Names that come and go must not be kept for ever, and one that is explicit
// about a worker that others list must be.
func TestWhatNobodyListsIsForgotten(t *testing.T) {
	r := newRig(t, Policy{Name: "dns", Damping: Damping{HalfLife: time.Minute, Suppress: 3, Reuse: 1, Share: 1}}, Policy{Name: "list"})
	r.whole("list", on("", "h:1"))
	r.change("dns", said("", "h:1", Gone))
	for i := range 200 {
		r.whole("dns", fleet(10*(i+1), 10*(i+2))...)
		r.pass(10 * time.Second)
	}
	r.whole("dns")
	r.pass(time.Hour)
	r.is()
	require.Len(t, r.set.workers, 1)
	require.Len(t, r.set.sites, 1)
	require.LessOrEqual(t, len(r.set.timers), 2)
}

// While a loss waits, its share is that of the workers before it: the new ones
// of the same answer must not make it look small the next time.
func TestALossIsMeasuredAgainstWhatWasThereBefore(t *testing.T) {
	r := newRig(t, bounded)
	r.whole("dns", fleet(0, 4)...)
	r.whole("dns", fleet(4, 24)...)
	r.whole("dns", fleet(4, 24)...)
	r.is(names(0, 24)...) // seen twice, but not for long enough
	r.pass(6 * time.Second)
	r.whole("dns", fleet(4, 24)...)
	r.is(names(4, 24)...)
}

// A caller that tells the time late changes nothing of what was said when.
func TestWhatIsDueCountsFromWhenItWasDue(t *testing.T) {
	r := newRig(t, bounded)
	r.whole("dns", fleet(0, 4)...)
	lost := fleet(0, 3)
	for i := range lost {
		lost[i].Word = Absent
	}
	r.change("dns", lost...)
	r.now = r.now.Add(time.Hour)
	r.took(r.set.Advance(r.now))
	r.is("h:4")
	for _, w := range r.set.Workers() {
		require.Equal(t, "h:4", w.Name, "the others were lost long enough ago to be forgotten")
	}
}
