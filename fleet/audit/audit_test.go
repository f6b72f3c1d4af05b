package audit

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// of makes an event log of numbered records, beginning with a start.
func of(router string, incarnation uint64, records ...Record) Trail {
	t := Trail{Router: router}
	t.add(incarnation, records...)
	return t
}

func (t *Trail) add(incarnation uint64, records ...Record) {
	for i, r := range append([]Record{{Kind: Started, Router: t.Router}}, records...) {
		r.Incarnation, r.Seq = incarnation, uint64(i+1)
		t.Entries = append(t.Entries, Entry{r, Place{t.Router, int64(len(t.Entries))}})
	}
}

func taken(part string, v, number uint64, at time.Duration) Record {
	return Record{Kind: Taken, Part: part, Version: v, Number: number, At: at}
}

func acked(part string, v uint64, at time.Duration) Record {
	return Record{Kind: Acknowledged, Part: part, Version: v, At: at}
}

func sent(worker string, number uint64, from, until time.Duration) Record {
	return Record{Kind: Sent, Worker: worker, Number: number, At: from, Until: until, Count: 3}
}

func out(worker string, at time.Duration) Record {
	return Record{Kind: Out, Worker: worker, At: at, Window: 250 * ms}
}

// Each rule finds its breach at the right places, and no other breach.
func TestCheckFindsEachBreach(t *testing.T) {
	restarted := of("r", 1, taken("config", 3, 1, 10*ms), acked("config", 3, 20*ms), sent("w", 1, 30*ms, 40*ms))
	restarted.add(2, taken("config", 2, 1, 10*ms), sent("w", 1, 30*ms, 40*ms))
	again := of("r", 1, taken("config", 3, 1, 10*ms), acked("config", 3, 20*ms))
	again.add(2, taken("config", 3, 1, 10*ms), sent("w", 1, 30*ms, 40*ms))
	torn := of("r", 1, sent("w", 0, 1*ms, 2*ms))
	torn.Damages = []Damage{{Place{"f", 77}, "torn"}}
	pruned := of("r", 1, taken("config", 1, 1, 1*ms), taken("config", 2, 2, 2*ms), sent("w", 2, 3*ms, 4*ms))
	pruned.Entries = pruned.Entries[3:]
	cut := of("r", 1, taken("config", 1, 1, 1*ms), out("w", 2*ms), sent("v", 1, 3*ms, 4*ms))
	cut.Entries = append(cut.Entries[:2], cut.Entries[3:]...)
	for name, c := range map[string]struct {
		trail Trail
		rule  string
	}{
		"no breach":                {of("r", 1, taken("config", 1, 1, 10*ms), acked("config", 1, 20*ms), sent("w", 1, 30*ms, 40*ms)), ""},
		"within the window":        {of("r", 1, out("w", 100*ms), sent("w", 0, 110*ms, 340*ms)), ""},
		"past the window":          {of("r", 1, out("w", 100*ms), sent("w", 0, 110*ms, 440*ms)), RuleWindow},
		"to another":               {of("r", 1, out("w", 100*ms), sent("v", 0, 110*ms, 940*ms)), ""},
		"to its next start":        {of("r", 1, out("w", 100*ms), Record{Kind: Sent, Worker: "w", Since: 5, At: 900 * ms, Until: 950 * ms, Count: 1}), ""},
		"back before":              {of("r", 1, out("w", 100*ms), Record{Kind: Back, Worker: "w", At: 300 * ms}, sent("w", 0, 310*ms, 940*ms)), ""},
		"under an older version":   {of("r", 1, taken("config", 1, 1, 10*ms), taken("config", 2, 2, 20*ms), acked("config", 2, 30*ms), sent("w", 1, 200*ms, 210*ms)), RuleOlder},
		"older after a restart":    {restarted, RuleOlder},
		"the same after a restart": {again, ""},
		"a version goes backwards": {of("r", 1, taken("config", 2, 1, 10*ms), taken("config", 1, 2, 20*ms)), RuleOrder},
		"under no number":          {of("r", 1, sent("w", 7, 1*ms, 2*ms)), RuleOrder},
		"sent while shut out":      {of("r", 1, Record{Kind: ShutOut, At: 10 * ms}, sent("w", 0, 20*ms, 90*ms)), RuleShut},
		"sent once readmitted":     {of("r", 1, Record{Kind: ShutOut, At: 10 * ms}, Record{Kind: Readmitted, At: 20 * ms}, sent("w", 0, 30*ms, 90*ms)), ""},
		"a record is missing":      {cut, RuleOrder},
		"its beginning is pruned":  {pruned, ""},
		"torn":                     {torn, RuleDamaged},
	} {
		breaches := Check([]Trail{of("other", 1), c.trail})
		if c.rule == "" {
			require.Empty(t, breaches, name)
			continue
		}
		require.Len(t, breaches, 1, name)
		require.Equal(t, c.rule, breaches[0].Rule, name)
		require.NotEmpty(t, breaches[0].Places, name)
		require.Contains(t, breaches[0].String(), "r: ", name)
	}
}

// Whatever versions routers take, the order keeps that of each event log and puts each version
// after the previous one.
func TestTimelineKeepsTheOrderOfEachLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var trails []Trail
		for i := range rapid.IntRange(1, 6).Draw(t, "routers") {
			var records []Record
			v := uint64(0)
			for n := range rapid.IntRange(0, 12).Draw(t, "records") {
				if rapid.Bool().Draw(t, "takes") {
					v += rapid.Uint64Range(1, 3).Draw(t, "by")
					records = append(records, taken("config", v, uint64(n), 0))
				} else {
					records = append(records, sent("w", 0, 0, 0))
				}
			}
			trails = append(trails, of(fmt.Sprint("r", i), 1, records...))
		}
		steps := Timeline(trails)
		last, first := map[string]uint64{}, map[uint64]uint64{}
		for _, s := range steps {
			require.Greater(t, s.Seq, last[s.TrailRouter], "the order of its own event log")
			last[s.TrailRouter] = s.Seq
			if s.Kind != Taken {
				continue
			}
			if _, ok := first[s.Version]; !ok {
				first[s.Version] = s.Order
			}
			if before, ok := first[s.Version-1]; ok {
				require.Greater(t, s.Order, before, "version %d", s.Version)
			}
		}
		n := 0
		for _, tr := range trails {
			n += len(tr.Entries)
		}
		require.Len(t, steps, n)
	})
}

func TestHoldersAndLags(t *testing.T) {
	a := of("a", 1, taken("config", 1, 1, 10*ms), sent("w", 1, 0, 0), taken("list", 4, 2, 20*ms), sent("w", 2, 0, 0), acked("config", 1, 30*ms),
		taken("config", 2, 3, 40*ms), sent("w", 3, 0, 0))
	b := of("b", 1, Record{Kind: Refused, Part: "config", Version: 1, Text: "no"})
	c := of("c", 1)
	holders := Holders([]Trail{a, b, c}, "config", 1)
	require.Len(t, holders, 2)
	require.Equal(t, uint64(6), holders[0].Sends, "under both numbers that hold it")
	require.NotNil(t, holders[0].Acknowledged)
	require.Equal(t, "no", holders[1].Refused.Text)
	latest, lags := Lags([]Trail{a, b, c})
	require.Equal(t, uint64(2), latest["config"])
	require.Equal(t, uint64(2), lags["c"]["config"])
	require.Equal(t, uint64(0), lags["a"]["config"])
}

// The lag of a router is reported at its sends, along the order of all records.
func TestLagPoints(t *testing.T) {
	a := of("a", 1, taken("config", 1, 1, 10*ms), taken("config", 2, 2, 20*ms), taken("config", 3, 3, 30*ms), sent("w", 3, 40*ms, 0))
	b := of("b", 1, taken("config", 1, 1, 10*ms), sent("w", 1, 500*ms, 0), sent("w", 1, 600*ms, 0), sent("w", 1, 700*ms, 0))
	c := of("c", 1, sent("w", 0, 10*ms, 0))
	maxLag, sends := map[string]uint64{}, map[string]uint64{}
	for _, p := range LagPoints([]Trail{a, b, c}) {
		maxLag[p.Router] = max(maxLag[p.Router], p.Lag)
		sends[p.Router] += p.Sends
	}
	require.Equal(t, map[string]uint64{"a": 0, "b": 2, "c": 0}, maxLag, "c has no such part")
	require.Positive(t, sends["b"])
}

func BenchmarkCheckAMillion(b *testing.B) {
	var trails []Trail
	for i := range 10 {
		var records []Record
		for n := range 100_000 {
			if n%100 == 0 {
				records = append(records, taken("config", uint64(n/100+1), uint64(n/100+1), time.Duration(n)*ms))
				continue
			}
			records = append(records, sent(fmt.Sprint("w", n%50), uint64(n/100+1), time.Duration(n)*ms, time.Duration(n+1)*ms))
		}
		trails = append(trails, of(fmt.Sprint("r", i), 1, records...))
	}
	for b.Loop() {
		require.Empty(b, Check(trails))
	}
}
