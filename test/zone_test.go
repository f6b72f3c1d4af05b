package test

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lichenshelf/fleet/agent"
	relay "lichenshelf/internal/standin/link"
	"lichenshelf/lab/demo"
	"lichenshelf/lab/engine"
)

const zones = 3

// zonedSite returns three equal zones, each with two readers, three writers and a mixed worker.
func zonedSite() engine.Config {
	cfg := demo.Site()
	cfg.Servers = nil
	for z := range zones {
		add := func(kind int, name string) {
			cfg.Servers = append(cfg.Servers, engine.Spec{Name: fmt.Sprintf("%s-z%d", name, z), Kind: kind, Cell: z, Zone: z, Started: -time.Hour})
		}
		add(0, "reader-0")
		add(0, "reader-1")
		add(1, "writer-0")
		add(1, "writer-1")
		add(1, "writer-2")
		add(2, "mixed-0")
	}
	return cfg
}

const zonedFleet = labFleet + "most_out = 0.0\n[shift]\nleast = 1.5\nconfirm = \"500ms\"\nhold = \"2s\"\nreturn = \"4s\"\ntrial = 0.1\nfresh = \"2s\"\nfade = \"10s\"\nspill = 0.3\n" +
	"[[zone]]\nname = \"z0\"\nread = 40.0\nwrite = 40.0\n[[zone]]\nname = \"z1\"\nread = 40.0\nwrite = 40.0\n[[zone]]\nname = \"z2\"\nread = 40.0\nwrite = 40.0\n"

// zonedRig runs two programs in each of three zones.
type zonedRig struct {
	*labRig
}

func (z *zonedRig) page(i int) (p agent.ZonesPage) {
	f := &fleetRig{t: z.t}
	for _, r := range z.layout.Routers {
		f.operator = append(f.operator, r.Operator)
	}
	f.fetchPage(i, "zones", &p)
	return p
}

func (z *zonedRig) state(i int, name string) string {
	for _, l := range z.page(i).Zones {
		if l.Name == name {
			return l.State
		}
	}
	return ""
}

// arrivals counts the attempts that the workers of a zone received after since.
func (z *zonedRig) arrivals(zone int, since time.Time) (n int) {
	for _, a := range z.site.Record() {
		if strings.HasSuffix(a.Worker, fmt.Sprintf("-z%d", zone)) && a.At.After(since) {
			n++
		}
	}
	return n
}

// waitForState waits until all routers report the zone in this state.
func (z *zonedRig) waitForState(zone, state string) {
	z.t.Helper()
	for i := range z.routers {
		eventually(z.t, func() bool { return z.state(i, zone) == state }, fmt.Sprintf("%s is %s at router %d", zone, state, i))
	}
}

// Six programs in three zones. All workers of one zone fail at once: all routers report the zone
// as lost, its workers receive nothing more, and the other zones serve. Once its workers are
// healthy, the zone returns gradually. An operator's drain applies at all routers, a drain of the
// last zone is refused, and a dry run changes nothing.
func TestAZoneIsLostAndDrainedByAgreement(t *testing.T) {
	t.Parallel()
	rules := demo.Rules
	rules.Zoned = true
	z := &zonedRig{newLabRigOf(t, zonedSite(), rules, 2*zones, zonedFleet, 30, 5)}
	z.waitForState("z0", "healthy")
	eventually(t, func() bool {
		deciders := 0
		for i := range z.routers {
			if z.page(i).Decides {
				deciders++
			}
		}
		return deciders == 1
	}, "one router decides once they have each other's heartbeats")
	eventually(t, func() bool { return z.arrivals(0, time.Time{}) > 20 && z.arrivals(1, time.Time{}) > 20 }, "all zones are used")

	setFailing := func(on bool) {
		for _, s := range zonedSite().Servers {
			if s.Zone == 0 {
				z.site.Set(s.Name, engine.Fault{Errors: on})
			}
		}
	}
	setFailing(true)
	z.waitForState("z0", "lost")
	eventually(t, func() bool {
		since := time.Now().Add(-500 * time.Millisecond)
		return z.arrivals(0, since) == 0 && z.arrivals(1, since)+z.arrivals(2, since) > 5
	}, "z0 receives nothing more, the other zones serve")
	// The zone still fails: each time its hold ends, it is tried for a moment and is lost again.
	lost := regexp.MustCompile(`z0 +lost +0%`)
	eventually(t, func() bool {
		out, err := command(t, "zone", "show", "--operator", z.layout.Routers[3].Operator)
		require.NoError(t, err, out)
		return lost.MatchString(out) && strings.Contains(out, "went wrong, as seen from")
	}, "the command shows the zone as lost, with the reason")
	setFailing(false)
	z.waitForState("z0", "returning")
	z.waitForState("z0", "healthy")
	returnedAt := time.Now()
	eventually(t, func() bool { return z.arrivals(0, returnedAt) > 20 }, "the zone is used again")

	operator := z.layout.Routers[4].Operator
	out, err := command(t, "zone", "drain", "--operator", operator, "--dry-run", "z1")
	require.NoError(t, err, out)
	require.Contains(t, out, "without z1")
	require.Equal(t, "healthy", z.state(4, "z1"))
	for _, name := range []string{"z1", "z2"} {
		out, err = command(t, "zone", "drain", "--operator", operator, name)
		require.NoError(t, err, out)
		z.waitForState(name, "out")
	}
	out, err = command(t, "zone", "drain", "--operator", operator, "z0")
	require.Error(t, err)
	require.Contains(t, out, "no other zone could take its traffic")
	out, err = command(t, "zone", "drain", "--operator", operator, "elsewhere")
	require.Error(t, err, out)
	eventually(t, func() bool {
		since := time.Now().Add(-500 * time.Millisecond)
		return z.arrivals(1, since)+z.arrivals(2, since) == 0 && z.arrivals(0, since) > 0
	}, "all requests go to the last zone")
	for _, name := range []string{"z1", "z2"} {
		out, err = command(t, "zone", "return", "--operator", operator, name)
		require.NoError(t, err, out)
		z.waitForState(name, "healthy")
	}
	outcomes, all := z.stopClients()
	z.requireOneAnswerEach()
	t.Logf("%d requests: %v", all, outcomes)
	require.Greater(t, outcomes[0], all/2)
}

// recordEpochs records the epoch of each router's current map, and fails if one has decreased.
func (z *zonedRig) recordEpochs(last []uint64) {
	z.t.Helper()
	for i := range z.routers {
		if m := z.page(i).Map; m != nil {
			require.GreaterOrEqual(z.t, m.Epoch, last[i], "the epoch of the map of router %d", i)
			last[i] = m.Epoch
		}
	}
}

// Six programs in three zones. The decider is stopped, and a zone fails meanwhile: another router
// makes the next maps, and nothing is sent to the zone. The maps of an old epoch that the first
// decider sends once it continues must change nothing. The zone recovers while the links from
// another zone's routers lose all messages in that direction; then all links are delayed by 2 s. No
// router may ever replace its map by an older one; once the links are healed, one router decides
// and all zones are used.
func TestMapsSurviveAStoppedDeciderAndLossyLinks(t *testing.T) {
	t.Parallel()
	rules := demo.Rules
	rules.Zoned = true
	z := &zonedRig{newLabRigOf(t, zonedSite(), rules, 2*zones, zonedFleet, 30, 6)}
	last := make([]uint64, 2*zones)
	setFailing := func(on bool) {
		for _, s := range zonedSite().Servers {
			if s.Zone == 0 {
				z.site.Set(s.Name, engine.Fault{Errors: on})
			}
		}
	}
	deciders := func(of []int) (indexes []int) {
		for _, i := range of {
			if z.page(i).Decides {
				indexes = append(indexes, i)
			}
		}
		return indexes
	}
	all, others := []int{0, 1, 2, 3, 4, 5}, []int{1, 2, 3, 4, 5}
	z.waitForState("z0", "healthy")
	eventually(t, func() bool { return slices.Equal(deciders(all), []int{0}) }, "the first router by name decides")
	eventually(t, func() bool { return z.arrivals(0, time.Time{}) > 20 && z.arrivals(1, time.Time{}) > 20 }, "all zones are used")

	z.clients.Avoid(0, true)
	z.routers[0].signal(syscall.SIGSTOP)
	setFailing(true)
	for _, i := range others {
		eventually(t, func() bool { return z.state(i, "z0") == "lost" }, fmt.Sprintf("z0 is lost at router %d", i))
	}
	z0Unused := func() bool {
		since := time.Now().Add(-500 * time.Millisecond)
		return z.arrivals(0, since) == 0 && z.arrivals(1, since)+z.arrivals(2, since) > 5
	}
	eventually(t, z0Unused, "z0 receives nothing more, the other zones serve")
	eventually(t, func() bool { return slices.Equal(deciders(others), []int{1}) }, "the second router by name decides")
	epoch := z.page(1).Map.Epoch
	z.routers[0].signal(syscall.SIGCONT)
	eventually(t, func() bool {
		z.recordEpochs(last)
		m := z.page(0).Map
		return m != nil && m.Epoch >= epoch && z.state(0, "z0") == "lost" && slices.Equal(deciders(all), []int{0})
	}, "it adopts the map decided without it, and decides again")
	z.clients.Avoid(0, false)
	eventually(t, z0Unused, "z0 receives nothing because of its old map")

	ofZ1 := func(i int) bool { return i%zones == 1 }
	z.layout.SetFaults(func(from, to int) bool { return ofZ1(from) && !ofZ1(to) }, relay.Fault{Drop: [2]bool{true, false}})
	setFailing(false)
	for i := range all {
		eventually(t, func() bool { z.recordEpochs(last); return z.state(i, "z0") == "healthy" }, fmt.Sprintf("z0 is back at router %d", i))
	}
	z.layout.SetFaults(func(int, int) bool { return true }, relay.Fault{Delay: 2 * time.Second})
	for until := z.seconds() + 5; z.seconds() < until; {
		z.recordEpochs(last)
		time.Sleep(pollInterval)
	}
	z.layout.SetFaults(func(int, int) bool { return false }, relay.Fault{})
	z.waitForState("z0", "healthy")
	eventually(t, func() bool { z.recordEpochs(last); return slices.Equal(deciders(all), []int{0}) }, "the first router decides again")
	t0 := time.Now()
	eventually(t, func() bool { return z.arrivals(0, t0) > 10 && z.arrivals(1, t0) > 10 && z.arrivals(2, t0) > 10 }, "all zones are used again")
	outcomes, n := z.stopClients()
	z.requireOneAnswerEach()
	t.Logf("%d requests: %v; epochs %v", n, outcomes, last)
	require.Greater(t, outcomes[0], n/2)
}
