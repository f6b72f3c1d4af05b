package replay_test

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lichenshelf/lab/demo"
	"lichenshelf/lab/engine"
	"lichenshelf/lab/replay"
	"lichenshelf/lab/virtual"
	"lichenshelf/logic"
)

var record = flag.Bool("record", false, "overwrite the recordings with new runs in virtual time")

// deployment describes a run whose first router is recorded.
type deployment struct {
	site     engine.Config
	routers  int
	rate     float64
	settings func(*logic.Settings)
	faults   []virtual.Fault
}

// only returns the demonstration's site with the servers of some roles only.
func only(roles ...logic.Role) engine.Config {
	site := demo.Site()
	var servers []engine.Spec
	for _, s := range site.Servers {
		for _, role := range roles {
			if site.Kinds[s.Kind].Role == role {
				servers = append(servers, s)
			}
		}
	}
	site.Servers = servers
	return site
}

// uneven returns a site with readers and writers in cells of different sizes, and some servers that
// have just started.
func uneven() engine.Config {
	site := only(logic.RoleRead, logic.RoleWrite)
	for i := range site.Servers {
		s := &site.Servers[i]
		if s.Name == "writer-3" || s.Name == "writer-5" {
			s.Cell = 0
		}
		if s.Name == "reader-4" || s.Name == "writer-6" {
			s.Started = -time.Second
		}
	}
	return site
}

func kill(at time.Duration, name string) virtual.Fault {
	return virtual.Fault{At: at, Do: func(w *virtual.World) { w.Kill(name, 2*time.Second) }}
}

func fault(at time.Duration, name string, f engine.Fault) virtual.Fault {
	return virtual.Fault{At: at, Do: func(w *virtual.World) { w.Site.Set(name, f) }}
}

// deployments cover all roles, the effects of classes, routers that receive most or only a
// small part of a fleet's requests, cold servers, and faults.
var deployments = map[string]deployment{
	"readers-writers": {site: uneven(), routers: 2, rate: 32, faults: []virtual.Fault{
		kill(2*time.Second, "reader-0"), fault(3*time.Second, "writer-1", engine.Fault{Silent: true}), fault(5*time.Second, "writer-2", engine.Fault{Errors: true}),
		fault(20*time.Second, "writer-1", engine.Fault{}), fault(20*time.Second, "writer-2", engine.Fault{}), kill(24*time.Second, "writer-3"), fault(28*time.Second, "reader-2", engine.Fault{Slow: 4})}},
	"all-roles-alone": {site: demo.Site(), routers: 1, rate: 20, settings: func(s *logic.Settings) { s.Resume, s.Weights = true, true }, faults: []virtual.Fault{
		fault(time.Second, "reader-1", engine.Fault{Slow: 6}), kill(3*time.Second, "writer-0"), fault(4*time.Second, "mixed-0", engine.Fault{Errors: true})}},
	"mixed": {site: only(logic.RoleBoth), routers: 2, rate: 5, settings: func(s *logic.Settings) { s.WritersRead = true }, faults: []virtual.Fault{
		kill(3*time.Second, "mixed-1"), fault(6*time.Second, "mixed-0", engine.Fault{BreakShare: 0.3})}},
	"many-routers-by-key": {site: only(logic.RoleRead, logic.RoleWrite), routers: 40, rate: 40, settings: func(s *logic.Settings) {
		s.Classes[0].Effect, s.Classes[0].Group, s.Classes[0].RepeatWindow = logic.EffectByKey, logic.GroupCell, 2*time.Second
		s.Tenants = []logic.Tenant{{QuotaPerSecond: 20}}
	}, faults: []virtual.Fault{kill(2*time.Second, "reader-2"), kill(2*time.Second, "writer-3"), fault(4*time.Second, "reader-3", engine.Fault{Silent: true})}},
}

func (d deployment) run(t *testing.T) *replay.Recording {
	settings := demo.Settings(&d.site)
	if d.settings != nil {
		d.settings(&settings)
	}
	const seed = 11
	rec := &replay.Recording{Settings: settings, Seed: virtual.RouterSeed(seed, 0)}
	rec.Settings.Gateways = d.routers
	_, err := virtual.Run(virtual.Config{Routers: d.routers, Site: d.site, Load: demo.Load(d.rate), Settings: settings, Patience: 4 * time.Second,
		Skew: 0.25, Hop: time.Millisecond, For: 40 * time.Second, Seed: seed, Faults: d.faults,
		Record: func(router int, now logic.Time, events []logic.Event, actions []logic.Action) {
			if router == 0 {
				rec.Add(now, events, actions)
			}
		}})
	require.NoError(t, err)
	return rec
}

// The module's decisions are the recorded ones, action by action. After an intended change of
// decisions, write new recordings with: go test ./lab/replay -record
func TestDecisionsMatchRecordings(t *testing.T) {
	for name, d := range deployments {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join("testdata", name+".cbor.gz")
			if *record {
				var text bytes.Buffer
				require.NoError(t, d.run(t).Write(&text))
				require.NoError(t, os.WriteFile(file, text.Bytes(), 0o644))
			}
			text, err := os.ReadFile(file)
			require.NoError(t, err)
			rec, err := replay.Read(bytes.NewReader(text))
			require.NoError(t, err)
			t.Logf("%d steps, actions by kind %v, %d bytes", len(rec.Steps), rec.Kinds(), len(text))
			require.NoError(t, rec.Compare())
		})
	}
}

// Compare finds a changed, a missing and an additional action.
func TestCompareFindsDifferences(t *testing.T) {
	rec := deployments["mixed"].run(t)
	require.NoError(t, rec.Compare())
	for _, change := range []func(*replay.Step){
		func(s *replay.Step) { s.Actions[0].After++ },
		func(s *replay.Step) { s.Actions = s.Actions[1:] },
		func(s *replay.Step) { s.Actions = append(s.Actions, s.Actions[0]) },
	} {
		other := *rec
		other.Steps = append([]replay.Step(nil), rec.Steps...)
		for i := len(other.Steps) / 2; ; i++ {
			if step := &other.Steps[i]; len(step.Actions) > 0 {
				step.Actions = append([]logic.Action(nil), step.Actions...)
				change(step)
				break
			}
		}
		require.ErrorIs(t, other.Compare(), replay.ErrDiffers)
	}
}
