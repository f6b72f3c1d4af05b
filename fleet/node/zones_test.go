package node

import (
	"flag"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lichenshelf/fleet/members"
	"lichenshelf/fleet/solver"
	"lichenshelf/fleet/traffic"
	"lichenshelf/fleet/zone"
)

var large = flag.Bool("large", false, "TestNodesAgreeOnZones at 80 and 300 routers")

var zoneNames = []string{"a", "b", "c"}

func zoneConfig() ZoneConfig {
	c := ZoneConfig{Safe: 0.8, Capacity: map[string]solver.Zone{}, Terms: traffic.Terms{Fresh: 5 * time.Second, Fade: 20 * time.Second, Spill: 0.2},
		Judge: zone.Config{Zones: zoneNames, MinAttempts: 3, Failing: 0.2, Lost: 0.8, Strain: 0.8, Confirm: time.Second, Hold: 20 * time.Second, Return: 10 * time.Second, Trial: 0.05},
		Pace:  traffic.Pace{Every: time.Second, Up: 0.2, Back: 0.05, Band: 0.02, Burst: 12, PerMin: 20, Reserve: 4}}
	for i, name := range zoneNames {
		c.Capacity[name] = solver.Zone{Read: 100, Write: 100}
		far := []float64{0.5, 0.5, 0.5}
		far[i] = 0
		c.Far = append(c.Far, far)
	}
	return c
}

// zoned runs nodes in three zones whose requests follow their shares.
type zoned struct {
	*fleet
	failing map[string]bool      // zones where all attempts fail
	dead    map[string]bool      // routers
	sent    map[string][]float64 // latest shares of each router
	load    float64              // requests per second that enter at each zone
}

func newZoned(t testing.TB, n int) *zoned {
	z := &zoned{failing: map[string]bool{}, dead: map[string]bool{}, sent: map[string][]float64{}, load: 60}
	z.fleet = newFleet(t, n, 0, func(c *Config) {
		for i := range n {
			c.Zones[fmt.Sprintf("r-%d", i)] = zoneNames[i%len(zoneNames)]
		}
	})
	for _, node := range z.nodes {
		require.NoError(t, node.Zones(zoneConfig(), z.now))
		node.SetZoneServing(map[string]float64{"a": 1, "b": 1, "c": 1})
	}
	return z
}

const zoneTick = 50 * time.Millisecond

func (z *zoned) run(d time.Duration) {
	n := len(z.nodes)
	each := z.load * float64(len(zoneNames)) / float64(n) * zoneTick.Seconds()
	for end := z.now + d; z.now < end; z.now += zoneTick {
		for i := range n {
			name := fmt.Sprintf("r-%d", i)
			node := z.nodes[name]
			if z.dead[name] {
				continue
			}
			routing, ok := node.ZoneRouting(z.now)
			shares, barred := routing.Shares, routing.Barred
			require.True(z.t, ok)
			z.sent[name] = shares
			// Adds the expected numbers of requests and attempts of this tick, as fractions, in place
			// of calls of ObserveArrival and ObserveZoneAttempt.
			node.zones.fade(z.now)
			node.zones.ownReport.Load += each / zoneTimeConstant.Seconds()
			for k, of := range zoneNames {
				attempts := shares[k]*each + 0.1 // 0.1: sessions that are bound to the zone
				if barred[k] {
					attempts = 0
				}
				node.zones.ownReport.Attempts[of] += attempts
				if z.failing[of] {
					node.zones.ownReport.Failures[of] += attempts
				}
			}
			z.send(node.Tick(z.now))
		}
	}
}

func (z *zoned) states(of string) map[string]int {
	out := map[string]int{}
	for name, node := range z.nodes {
		if z.dead[name] {
			continue
		}
		v, _ := node.ZoneView(z.now)
		for _, s := range v.States {
			if s.Zone == of {
				out[s.State.String()]++
			}
		}
	}
	return out
}

func (z *zoned) epochs() (lowest, highest uint64, deciders int) {
	lowest = math.MaxUint64
	for name, node := range z.nodes {
		if z.dead[name] {
			continue
		}
		v, _ := node.ZoneView(z.now)
		if v.Decides {
			deciders++
		}
		if v.Map != nil {
			lowest, highest = min(lowest, v.Map.Epoch), max(highest, v.Map.Epoch)
		}
	}
	return lowest, highest, deciders
}

// All attempts at a zone fail: all routers notice, follow one map, send nothing there, and return
// to the zone when it has recovered, although the decider dies in between.
func TestNodesAgreeOnZones(t *testing.T) {
	sizes := []int{6, 30}
	if *large {
		sizes = []int{80, 300}
	}
	for _, n := range sizes {
		z := newZoned(t, n)
		// Time for reports to reach all routers.
		spread := 5*time.Second + time.Duration(n)*100*time.Millisecond
		z.run(2 * spread)
		require.Equal(t, map[string]int{"healthy": n}, z.states("a"))
		_, _, deciders := z.epochs()
		require.Equal(t, 1, deciders, "%d routers", n)
		for _, shares := range z.sent {
			require.InDelta(t, 1, shares[0]+shares[1]+shares[2], 1e-6)
		}
		z.failing["a"] = true
		began, barred := z.now, 0
		for until := z.now + 2*spread; barred < n && z.now < until; {
			z.run(100 * time.Millisecond)
			barred = 0
			for _, node := range z.nodes {
				if routing, _ := node.ZoneRouting(z.now); routing.Barred[0] {
					shares := routing.Shares
					barred++
					require.Zero(t, shares[0], "nothing is sent to a barred zone")
				}
			}
		}
		require.Equal(t, n, barred, "%d routers: %v", n, z.states("a"))
		took := z.now - began
		z.dead["r-0"] = true // the decider
		z.failing["a"] = false
		z.run(4*spread + 90*time.Second)
		require.Equal(t, n-1, z.states("a")["healthy"], "%d routers: %v", n, z.states("a"))
		lowest, highest, deciders := z.epochs()
		require.Equal(t, 1, deciders, "%d routers", n)
		require.LessOrEqual(t, highest-lowest, uint64(1), "%d routers", n)
		for i := 3; i < n; i += 3 {
			require.Greater(t, z.sent[fmt.Sprintf("r-%d", i)][0], 0.9, "router %d of %d reads in its own zone again", i, n)
		}
		t.Logf("%d routers: the zone is barred at all routers %v after it began to fail; epoch %d at the end", n, took, highest)
	}
}

// Invalid reports and maps are ignored, the latest command of an operator wins, and the last zone
// is not drained unless forced.
func TestInvalidZoneReportsAndOperators(t *testing.T) {
	z := newZoned(t, 3)
	node := z.nodes["r-0"]
	for name, report := range map[string]ZoneReport{
		"a negative count": {Attempts: map[string]float64{"b": -1}},
		"not a number":     {Failures: map[string]float64{"b": math.NaN()}},
		"no such zone":     {Serving: map[string]float64{"nowhere": 1}},
		"infinite load":    {Load: math.Inf(1)},
		"a negative age":   {Age: -1},
	} {
		node.Receive(Envelope{From: "r-1", Members: &members.Message{From: "r-1", To: "r-0"}, ZoneReport: &report}, z.now)
		require.Empty(t, node.zones.peerReports, name)
	}
	foreign := traffic.Map{Epoch: 1 << 60, Zones: []string{"x", "b", "c"}}
	wild := traffic.Map{Epoch: 1 << 60, Zones: zoneNames, Read: [][]float64{{2, 0, 0}, {0, 1, 0}, {0, 0, 1}}, Write: [][]float64{{1, 0, 0}, {0, 1, 0}, {0, 0, 1}}}
	for _, m := range []*traffic.Map{&foreign, &wild} {
		node.Receive(Envelope{From: "r-1", Members: &members.Message{From: "r-1", To: "r-0"}, ZoneReport: &ZoneReport{Map: m}}, z.now)
		held, _ := node.zones.keeper.Map(0)
		require.Nil(t, held)
	}
	z.run(5 * time.Second)
	require.ErrorIs(t, node.SetZoneOut("nowhere", true, false, z.now), ErrNoZone)
	require.NoError(t, node.SetZoneOut("a", true, false, z.now))
	require.NoError(t, z.nodes["r-2"].SetZoneOut("b", true, false, z.now))
	z.run(5 * time.Second)
	require.ErrorIs(t, node.SetZoneOut("c", true, false, z.now), ErrLastZone)
	p, err := node.PlanWithoutZone("c")
	require.NoError(t, err)
	require.False(t, p.Feasible(), "no zone would be left")
	require.NoError(t, node.SetZoneOut("a", false, false, z.now))
	z.run(20 * time.Second)
	require.Equal(t, map[string]int{"strained": 3}, z.states("a"), "it carries the load of b")
	require.Equal(t, map[string]int{"out": 3}, z.states("b"))
	require.NoError(t, node.SetZoneOut("c", true, true, z.now))
}

// In a network partition, the side whose routers receive heartbeats of less than half of the others
// decides nothing, and its traffic moves to its own zone as the map ages. After the partition heals
// it takes the newer epoch.
func TestSmallerSideOfPartition(t *testing.T) {
	z := newZoned(t, 9)
	z.run(10 * time.Second)
	small := map[string]bool{"r-0": true, "r-3": true} // both of zone a; r-0 was the decider
	z.cut = func(from, to string) bool { return small[from] != small[to] }
	z.run(60 * time.Second)
	v, _ := z.nodes["r-0"].ZoneView(z.now)
	require.False(t, v.Decides)
	require.Greater(t, v.Age, 20*time.Second)
	require.InDeltaSlice(t, []float64{0.8, 0.1, 0.1}, z.sent["r-0"], 0.01, "its own zone, and the spill to the others")
	w, _ := z.nodes["r-1"].ZoneView(z.now)
	require.True(t, w.Decides)
	require.Less(t, w.Age, 2*time.Second)
	z.cut = nil
	z.run(20 * time.Second)
	v, _ = z.nodes["r-0"].ZoneView(z.now)
	require.True(t, v.Decides, "it continues from the epoch received after the partition")
	require.GreaterOrEqual(t, v.Map.Epoch, w.Map.Epoch)
	require.Less(t, v.Age, 2*time.Second)
}
