package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// rig drives a set and derives the router's list of workers from the changes alone.
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

func (r *rig) apply(changes []Change) {
	r.last = changes
	for _, c := range changes {
		was, in := r.router[c.Member.Name]
		require.Equal(r.t, c.Kind != Added, in, "%v", c)
		switch c.Kind {
		case Removed:
			require.Equal(r.t, was, c.Member)
			require.Contains(r.t, []Reason{ReportedGone, Dropped, Expired, Damped, Shadowed}, c.Reason)
			delete(r.router, c.Member.Name)
		default:
			require.NotEqual(r.t, was, c.Member)
			require.Contains(r.t, []Reason{Listed, ReportedDraining, OnStandby, Restarted, Moved, Amended}, c.Reason)
			require.Equal(r.t, c.Member.Draining, c.Reason == ReportedDraining || c.Reason == OnStandby)
			r.router[c.Member.Name] = c.Member
		}
	}
}

func (r *rig) report(rep Report) []error {
	changes, problems, err := r.set.Report(r.now, rep)
	require.NoError(r.t, err)
	r.apply(changes)
	return problems
}

func (r *rig) fullReport(source string, entries ...Entry) {
	require.Empty(r.t, r.report(Report{Source: source, Whole: true, Entries: entries}))
}

func (r *rig) changeReport(source string, entries ...Entry) {
	require.Empty(r.t, r.report(Report{Source: source, Entries: entries}))
}

func (r *rig) fail(source string) { r.apply(r.set.Fail(r.now, source, "no answer")) }

// advance moves the time on as a caller would, from one due action to the next.
func (r *rig) advance(d time.Duration) {
	until := r.now.Add(d)
	for {
		next, ok := r.set.Next()
		if !ok || next.After(until) {
			break
		}
		r.now = latest(r.now, next)
		r.apply(r.set.Advance(r.now))
	}
	r.now = until
	r.apply(r.set.Advance(r.now))
}

// requireSet checks the whole set: names, with "~" before a draining worker.
func (r *rig) requireSet(names ...string) {
	r.t.Helper()
	var got []string
	serving := 0
	for _, m := range r.set.Members() {
		require.Equal(r.t, m, r.router[m.Name], "the changes must lead to the set")
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

func (r *rig) requireReason(want Reason) {
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

func serving(name, addr string) Entry { return Entry{Name: name, Addr: addr, Weight: 1} }
func withStatus(name, addr string, status Status) Entry {
	return Entry{Name: name, Addr: addr, Weight: 1, Status: status}
}
func startedAt(name, addr string, at int64) Entry {
	return Entry{Name: name, Addr: addr, Weight: 1, Since: at}
}

var plainSources = []Policy{{Name: "list"}, {Name: "dns"}, {Name: "store"}}

func TestWorkerLeftOutByOneSourceStays(t *testing.T) {
	r := newRig(t, plainSources...)
	r.fullReport("list", serving("a", "h:1"), serving("b", "h:2"))
	r.fullReport("dns", serving("", "h:1"), serving("", "h:3"))
	r.requireSet("a", "b", "h:3")
	r.fullReport("dns") // dropped by DNS, held by the list
	r.requireSet("a", "b")
	r.fullReport("dns", serving("", "h:1"))
	r.fullReport("list") // dropped by the list, held by DNS: it keeps its name
	r.requireSet("a")
	require.Equal(t, "h:1", r.router["a"].Addr)
	r.fullReport("dns")
	r.requireSet()
	r.requireReason(Dropped)
}

func TestExplicitStatusHoldsUntilItsSourceListsTheWorkerAgain(t *testing.T) {
	for _, status := range []Status{Draining, Gone} {
		r := newRig(t, plainSources...)
		r.fullReport("list", serving("a", "h:1"))
		r.fullReport("store", serving("a", "h:1"))
		r.requireSet("a")
		r.changeReport("store", withStatus("a", "h:1", status))
		want := map[Status][]string{Draining: {"~a"}, Gone: nil}[status]
		r.requireSet(want...)
		require.Equal(t, "store", r.last[0].Source)
		r.now = r.now.Add(100 * time.Millisecond)
		r.fullReport("list", serving("a", "h:1")) // listed again by another source
		r.fullReport("dns", serving("", "h:1"))
		r.requireSet(want...)
		r.advance(time.Hour)
		r.requireSet(want...)
		r.fullReport("store", serving("b", "h:2")) // leaving the worker out does not end its status
		r.advance(time.Hour)
		r.fullReport("list", serving("a", "h:1"))
		r.requireSet("b")
		r.fullReport("store", serving("a", "h:1"))
		r.requireSet("a")
	}
}

func TestGoneBeforeTheFirstListing(t *testing.T) {
	r := newRig(t, plainSources...)
	r.changeReport("store", Entry{Name: "a", Status: Gone})
	r.fullReport("list", serving("a", "h:1"))
	r.requireSet()
	r.changeReport("store", serving("a", "h:1"))
	r.requireSet("a")
}

func TestGoneExpiresAfterGoneFor(t *testing.T) {
	r := newRig(t, Policy{Name: "list"}, Policy{Name: "store", GoneFor: time.Minute})
	r.fullReport("list", serving("a", "h:1"))
	r.changeReport("store", withStatus("a", "h:1", Gone))
	r.requireSet()
	r.advance(time.Minute - 1)
	r.requireSet()
	r.advance(1)
	r.requireSet("a")
}

func TestSameWorkerUnderTwoNames(t *testing.T) {
	r := newRig(t, plainSources...)
	r.fullReport("list", serving("a", "h:1"))
	r.fullReport("store", serving("b", "h:1"))
	r.requireSet("a")
	require.Empty(t, r.last, "the second name changes nothing")
	// One process: it drains under both names.
	r.changeReport("store", withStatus("b", "h:1", Draining))
	r.requireSet("~a")
	r.changeReport("store", serving("b", "h:1"))
	r.requireSet("a")
	r.changeReport("store", withStatus("b", "h:1", Gone))
	r.requireSet()
	// The address goes to another worker that is known to have started later.
	r.now = r.now.Add(time.Second)
	r.changeReport("list", startedAt("c", "h:1", r.now.UnixNano()))
	r.requireSet("c")
	// Or the source that reported the first worker as gone lists the second.
	r = newRig(t, plainSources...)
	r.fullReport("store", serving("b", "h:1"))
	r.fullReport("list", serving("c", "h:1"))
	r.changeReport("store", withStatus("b", "h:1", Gone))
	r.requireSet()
	r.changeReport("store", serving("c", "h:1"))
	r.requireSet("c")
}

func TestAddressConflictGoesToTheLatestIncarnation(t *testing.T) {
	r := newRig(t, plainSources...)
	r.fullReport("list", serving("a", "h:1"))
	r.fullReport("store", serving("a", "h:2"))
	require.Equal(t, "h:1", r.router["a"].Addr, "among equals, the first source")
	require.Equal(t, []string{"h:1", "h:2"}, r.set.Workers()[0].Conflict)
	r.changeReport("store", startedAt("a", "h:2", 5e9))
	require.Equal(t, Member{Name: "a", Addr: "h:2", Weight: 1, Since: 5e9}, r.router["a"])
	r.requireReason(Moved)
	r.changeReport("store", startedAt("a", "h:2", 6e9))
	r.requireReason(Restarted)
	r.changeReport("store", Entry{Name: "a", Addr: "h:2", Weight: 1, Since: 6e9, Cell: 4})
	require.Empty(t, r.last, "weight and cell are those of the first source")
	r.changeReport("list", Entry{Name: "a", Addr: "h:1", Weight: 2})
	r.requireReason(Amended)
	require.Equal(t, Member{Name: "a", Addr: "h:2", Weight: 2, Since: 6e9}, r.router["a"])
}

func TestRepeatedListingIsNoRestart(t *testing.T) {
	r := newRig(t, plainSources...)
	r.fullReport("store", startedAt("a", "h:1", 5e9))
	r.fullReport("store", startedAt("a", "h:1", 5e9))
	require.Empty(t, r.last)
	r.fullReport("dns", serving("", "h:1"))
	require.Empty(t, r.last)
}

func TestStartOfNewWorkersIsFirstListing(t *testing.T) {
	r := newRig(t, plainSources...)
	r.fullReport("dns") // an empty list does not count as the first one
	r.now = r.now.Add(time.Minute)
	r.fullReport("dns", serving("", "h:1"))
	require.Zero(t, r.router["h:1"].Since)
	r.now = r.now.Add(time.Minute)
	r.fullReport("dns", serving("", "h:1"), serving("", "h:2"))
	require.Zero(t, r.router["h:1"].Since)
	require.Equal(t, r.now.UnixNano(), r.router["h:2"].Since)
	fresh := r.router["h:2"].Since
	r.now = r.now.Add(time.Minute)
	r.fullReport("dns", serving("", "h:1"), serving("", "h:2"))
	require.Equal(t, fresh, r.router["h:2"].Since)
	r.fullReport("list", startedAt("a", "h:2", LongAgo))
	require.Equal(t, LongAgo, r.router["a"].Since, "a start stated by another source counts")
}

var boundedPolicy = Policy{Name: "dns", EmptyTimes: 3, EmptyOver: 10 * time.Second, LossShare: 0.5, LossTimes: 2, LossOver: 5 * time.Second}

func fleet(from, to int) (out []Entry) {
	for i := from; i < to; i++ {
		out = append(out, serving("", fmt.Sprintf("h:%d", i+1)))
	}
	return out
}

func names(from, to int) (out []string) {
	for _, e := range fleet(from, to) {
		out = append(out, e.Addr)
	}
	return out
}

func TestEmptyReportNeedsConfirmation(t *testing.T) {
	r := newRig(t, boundedPolicy)
	r.fullReport("dns", fleet(0, 4)...)
	for range 5 { // many reports in a short time are not enough
		r.fullReport("dns")
		r.advance(time.Second)
	}
	r.requireSet(names(0, 4)...)
	require.Equal(t, 4, r.source("dns").Held)
	r.fullReport("dns", fleet(0, 4)...) // a full list restarts the count
	require.Zero(t, r.source("dns").Held)
	r.advance(time.Minute)
	r.fullReport("dns")
	r.advance(time.Minute)
	r.fullReport("dns") // long enough, not often enough
	r.requireSet(names(0, 4)...)
	r.fullReport("dns")
	r.requireSet()
}

func TestConfirmedEmptyReportIsAppliedAtOnce(t *testing.T) {
	r := newRig(t, boundedPolicy, Policy{Name: "list"})
	r.fullReport("dns", fleet(0, 4)...)
	r.fullReport("list", serving("a", "h:1"))
	r.report(Report{Source: "dns", Whole: true, Confirmed: true})
	r.requireSet("a")
}

func TestLargeLossNeedsConfirmation(t *testing.T) {
	r := newRig(t, boundedPolicy)
	r.fullReport("dns", fleet(0, 10)...)
	r.fullReport("dns", fleet(0, 5)...) // half is within the bound
	r.requireSet(names(0, 5)...)
	r.fullReport("dns", fleet(0, 2)...)
	r.requireSet(names(0, 5)...)
	r.advance(6 * time.Second)
	r.fullReport("dns", fleet(0, 2)...)
	r.requireSet(names(0, 2)...)
}

func TestMostWorkersReplacedInOneReport(t *testing.T) {
	r := newRig(t, boundedPolicy)
	r.fullReport("dns", fleet(0, 20)...)
	r.fullReport("dns", fleet(19, 39)...)
	r.requireSet(names(0, 39)...) // the new ones at once, the old ones until the loss is confirmed
	r.advance(6 * time.Second)
	r.fullReport("dns", fleet(19, 39)...)
	r.requireSet(names(19, 39)...)
}

func TestLargeLossByChangesIsAppliedAfterLossOver(t *testing.T) {
	absent := func(from, to int) (out []Entry) {
		for _, e := range fleet(from, to) {
			e.Status = Absent
			out = append(out, e)
		}
		return out
	}
	r := newRig(t, boundedPolicy)
	r.fullReport("dns", fleet(0, 10)...)
	r.changeReport("dns", absent(0, 8)...)
	r.requireSet(names(0, 10)...)
	r.advance(time.Second)
	r.changeReport("dns", fleet(0, 1)...) // one is back
	r.advance(4*time.Second - 1)
	r.requireSet(names(0, 10)...)
	r.advance(1)
	r.requireSet("h:1", "h:9", "h:10")
	explicit := fleet(8, 10)
	for i := range explicit {
		explicit[i].Status = Gone
	}
	r.changeReport("dns", explicit...) // an explicit status is never held
	r.requireSet("h:1")
}

func TestSilentSourcesKeepTheirListAndReturnWithLess(t *testing.T) {
	dns, list := boundedPolicy, Policy{Name: "list", Silent: 30 * time.Second, Keep: 10 * time.Minute}
	dns.Silent, dns.Keep = 30*time.Second, 10*time.Minute
	r := newRig(t, list, dns)
	r.fullReport("dns", fleet(0, 10)...)
	r.fullReport("list", serving("a", "l:1"), serving("b", "l:2"))
	all := append(names(0, 10), "a", "b")
	r.advance(time.Minute)
	require.True(t, r.source("dns").Stale)
	require.True(t, r.source("list").Stale)
	require.Contains(t, r.source("dns").Fault, "30s")
	r.requireSet(all...)
	r.fullReport("dns", fleet(0, 4)...)
	require.False(t, r.source("dns").Stale)
	r.requireSet(all...)
	r.advance(5 * time.Second)
	r.fullReport("dns", fleet(0, 4)...)
	r.requireSet("h:1", "h:2", "h:3", "h:4", "a", "b")
	r.advance(10*time.Minute - 36*time.Second)
	r.requireSet("h:1", "h:2", "h:3", "h:4", "a", "b")
	r.advance(time.Minute) // the list has been stale for too long
	r.requireSet("h:1", "h:2", "h:3", "h:4")
	require.True(t, r.source("list").Expired)
	r.fullReport("list", serving("a", "l:1"), serving("b", "l:2"))
	r.requireSet("h:1", "h:2", "h:3", "h:4", "a", "b")
}

func TestFailedSourceWithoutKeepNeverExpires(t *testing.T) {
	r := newRig(t, boundedPolicy)
	r.fullReport("dns", fleet(0, 3)...)
	r.fail("dns")
	r.advance(1000 * time.Hour)
	r.requireSet(names(0, 3)...)
	require.Equal(t, "no answer", r.source("dns").Fault)
}

func TestSourceThatFlapsEverySecondChangesNothing(t *testing.T) {
	r := newRig(t, boundedPolicy)
	r.fullReport("dns", fleet(0, 6)...)
	for range 120 {
		r.fullReport("dns")
		r.advance(time.Second)
		require.Empty(t, r.last)
		r.fullReport("dns", fleet(0, 6)...)
		require.Empty(t, r.last)
		r.advance(time.Second)
	}
	r.requireSet(names(0, 6)...)
}

func TestFlappingWorkerIsDamped(t *testing.T) {
	damped := boundedPolicy
	damped.Damping = Damping{HalfLife: time.Minute, Suppress: 3, Reuse: 1, Share: 0.25}
	r := newRig(t, damped, Policy{Name: "list"})
	flips := 0
	for range 30 {
		r.fullReport("dns", fleet(0, 7)...)
		r.advance(time.Second)
		r.fullReport("dns", fleet(0, 8)...)
		flips += len(r.last)
		r.advance(time.Second)
	}
	require.LessOrEqual(t, flips, 4, "served at first, and for a few returns")
	r.requireSet(names(0, 7)...)
	require.Equal(t, 1, r.source("dns").Damped)
	r.fullReport("list", serving("", "h:8"))
	r.requireSet(names(0, 8)...) // another source's listing keeps it served
	r.fullReport("list")
	r.requireSet(names(0, 7)...)
	r.advance(10 * time.Minute)
	r.requireSet(names(0, 8)...)
	require.Zero(t, r.source("dns").Damped)
}

func TestDampingIsBounded(t *testing.T) {
	r := newRig(t, Policy{Name: "dns", Damping: Damping{HalfLife: time.Minute, Suppress: 2, Reuse: 1, Share: 0.25}})
	for range 20 {
		r.fullReport("dns", fleet(0, 2)...)
		r.fullReport("dns", fleet(0, 8)...)
	}
	require.LessOrEqual(t, r.source("dns").Damped, 2)
	require.GreaterOrEqual(t, r.set.Serving(), 6)
}

func TestStandbyServesOnlyWithoutABetterPriority(t *testing.T) {
	prio := func(p int, entries ...Entry) []Entry {
		for i := range entries {
			entries[i].Priority = p
		}
		return entries
	}
	r := newRig(t, plainSources...)
	both := append(prio(10, fleet(0, 2)...), prio(20, fleet(2, 4)...)...)
	r.fullReport("dns", both...)
	r.requireSet("h:1", "h:2", "~h:3", "~h:4")
	r.changeReport("store", withStatus("", "h:1", Draining))
	r.requireSet("~h:1", "h:2", "~h:3", "~h:4")
	// No worker of the better priority is in service any more.
	r.changeReport("store", withStatus("", "h:2", Gone))
	r.requireSet("~h:1", "h:3", "h:4")
	require.Equal(t, 20, r.source("dns").Priority)
	r.fullReport("list", serving("c", "h:3")) // held by a list without priorities
	r.changeReport("store", serving("", "h:2"))
	r.requireSet("~h:1", "h:2", "c", "~h:4")
}

func TestLateAndUnknownReportsAreDropped(t *testing.T) {
	r := newRig(t, plainSources...)
	r.report(Report{Source: "store", Whole: true, Version: 7, Entries: []Entry{serving("a", "h:1")}})
	_, _, err := r.set.Report(r.now, Report{Source: "store", Version: 6, Entries: []Entry{withStatus("a", "h:1", Gone)}})
	require.ErrorIs(t, err, ErrOldVersion)
	_, _, err = r.set.Report(r.now, Report{Source: "else"})
	require.ErrorIs(t, err, ErrUnknownSource)
	_, _, err = r.set.Report(r.now, Report{Source: "dns", Whole: true, Entries: make([]Entry, MaxEntries+1)})
	require.ErrorIs(t, err, ErrTooMany)
	r.requireSet("a")
	r.report(Report{Source: "store", Whole: true, Version: 1, VersionReset: true, Entries: []Entry{serving("b", "h:2")}})
	r.requireSet("b")
}

func TestInvalidEntriesDoNotChangeTheirWorkers(t *testing.T) {
	r := newRig(t, plainSources...)
	r.fullReport("list", serving("a", "h:1"), serving("b", "h:2"))
	problems := r.report(Report{Source: "list", Whole: true, Entries: []Entry{serving("a", "nowhere"), serving("b", "h:2"),
		startedAt("c", "h:3", -1), {Name: "d", Addr: "h:4", Weight: -1}, {}, serving("b", "h:5"), serving("e", "h:6")}})
	require.Len(t, problems, 5)
	require.ErrorContains(t, problems[0], `worker "a": address "nowhere"`)
	require.ErrorContains(t, problems[4], `"b" is listed twice`)
	r.requireSet("a", "b", "e")
	require.Equal(t, "h:2", r.router["b"].Addr)
}

func TestRemainingSourcesKeepTheirReports(t *testing.T) {
	r := newRig(t, plainSources...)
	r.fullReport("list", serving("a", "h:1"))
	r.fullReport("dns", serving("", "h:2"))
	r.changeReport("store", withStatus("a", "h:1", Gone))
	changes, err := r.set.Configure(r.now, Policy{Name: "dns"}, Policy{Name: "list"}, Policy{Name: "new"})
	require.NoError(t, err)
	r.apply(changes)
	r.requireSet("a", "h:2") // the entries of a removed source no longer count
	r.fullReport("new", serving("a", "h:3"))
	require.Equal(t, "h:1", r.router["a"].Addr)
	changes, err = r.set.Configure(r.now, Policy{Name: "new"}, Policy{Name: "list"})
	require.NoError(t, err)
	r.apply(changes)
	r.requireSet("a")
	require.Equal(t, "h:3", r.router["a"].Addr, "the first source has precedence")
	for _, bad := range [][]Policy{{{Name: "x"}, {Name: "x"}}, {{}}, {{Name: "x", LossShare: 2}}, {{Name: "x", Keep: -1}},
		{{Name: "x", Damping: Damping{HalfLife: 1, Suppress: 1, Reuse: 2, Share: 1}}}} {
		_, err = r.set.Configure(r.now, bad...)
		require.Error(t, err)
		r.requireSet("a")
	}
}

// Names that no source lists any longer must not be kept indefinitely. An explicit status of a
// worker that other sources list must be kept.
func TestUnlistedWorkersAreForgotten(t *testing.T) {
	r := newRig(t, Policy{Name: "dns", Damping: Damping{HalfLife: time.Minute, Suppress: 3, Reuse: 1, Share: 1}}, Policy{Name: "list"})
	r.fullReport("list", serving("", "h:1"))
	r.changeReport("dns", withStatus("", "h:1", Gone))
	for i := range 200 {
		r.fullReport("dns", fleet(10*(i+1), 10*(i+2))...)
		r.advance(10 * time.Second)
	}
	r.fullReport("dns")
	r.advance(time.Hour)
	r.requireSet()
	require.Len(t, r.set.workers, 1)
	require.Len(t, r.set.sites, 1)
	require.LessOrEqual(t, len(r.set.timers), 2)
}

// While a loss is held, its share is measured against the workers listed before it. The new workers
// of the same report must not make the share look small when it is repeated.
func TestLossShareCountsWorkersListedBefore(t *testing.T) {
	r := newRig(t, boundedPolicy)
	r.fullReport("dns", fleet(0, 4)...)
	r.fullReport("dns", fleet(4, 24)...)
	r.fullReport("dns", fleet(4, 24)...)
	r.requireSet(names(0, 24)...) // reported twice, but not for long enough
	r.advance(6 * time.Second)
	r.fullReport("dns", fleet(4, 24)...)
	r.requireSet(names(4, 24)...)
}

// An Advance that is called late must apply each action as of the time at which it was due.
func TestLateAdvanceUsesTheTimeWhenDue(t *testing.T) {
	r := newRig(t, boundedPolicy)
	r.fullReport("dns", fleet(0, 4)...)
	lost := fleet(0, 3)
	for i := range lost {
		lost[i].Status = Absent
	}
	r.changeReport("dns", lost...)
	r.now = r.now.Add(time.Hour)
	r.apply(r.set.Advance(r.now))
	r.requireSet("h:4")
	for _, w := range r.set.Workers() {
		require.Equal(t, "h:4", w.Name, "the others were lost long enough ago to be forgotten")
	}
}
