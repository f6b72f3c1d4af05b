package daemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"lichenshelf/cordon"
	"lichenshelf/downstream"
	"lichenshelf/fleet/agent"
	"lichenshelf/fleet/eventlog"
	"lichenshelf/fleet/node"
	"lichenshelf/front/console"
	"lichenshelf/front/modelapi"
	"lichenshelf/logic"
	"lichenshelf/router"
)

// startFleet starts this router's part in its fleet, if the file names one.
func (d *daemon) startFleet(ctx, starting context.Context) error {
	cfg, err := agent.LoadConfig(d.files.Fleet)
	if err != nil || cfg.Fleet == "" {
		return err
	}
	life := uint64(time.Now().UnixNano())
	if err := d.openTrail(cfg, life); err != nil {
		return err
	}
	a, err := agent.New(cfg, life, life, d.acts.loans(), d.counters, d.log)
	if err != nil {
		return fmt.Errorf("%s: %w", d.files.Fleet, err)
	}
	l, err := d.open(starting, cfg.Listen, func(addr string) (net.Listener, error) { return net.Listen("tcp4", addr) })
	if err != nil {
		return fmt.Errorf("listen for the fleet: %w", err)
	}
	d.fleet, d.fleetOf, d.fleetCfg = a, len(cfg.Routers), cfg
	d.acts.count("fleet/terms", a.Terms())
	d.acts.tellOthers(a.SetVersions)
	if g := cfg.Straggler.Grace.Duration; g > 0 {
		d.fence = newFence(g)
	}
	go func() {
		if err := a.Serve(l); err != nil {
			d.failed <- err
		}
	}()
	go func() {
		defer l.Close()
		a.Run(ctx)
	}()
	d.log.WithField("fleet", cfg.Fleet).WithField("router", cfg.Self).Info("sharing with the fleet")
	if cfg.Operator == "" {
		return nil
	}
	return d.serveConsole(starting, cfg.Operator, console.New(func() bool { return !d.stopping.Load() }, nil).WithFleet(fleetPages{a, &d.acts}))
}

// setQuotas makes accounts' quotas limits over all routers. They are a version of their own in the trail.
func (d *daemon) setQuotas(cfg *modelapi.Config) {
	quotas := cfg.Quotas()
	d.fleet.SetLimits(modelapi.QuotaPrefix, quotas)
	d.acts.count("fleet/quotas", fmt.Sprint(quotas))
}

// trailPage is the name of the page that holds this router's trail, as a tar.
const trailPage = "trail"

// fleetPages is what the operator's address shows: the agent's pages, and the trail.
type fleetPages struct {
	*agent.Agent
	acts *acts
}

// Page implements console.Fleet.
func (f fleetPages) Page(name string) (any, bool) {
	if name != trailPage {
		return f.Agent.Page(name)
	}
	if f.acts.trail == nil {
		return nil, false
	}
	f.acts.trail.Flush()
	r, w := io.Pipe()
	go func() { _ = w.CloseWithError(eventlog.Archive(f.acts.dir, w)) }()
	return r, true
}

// share is a front's part in the fleet; without a fleet all passes it as it is.
type share struct{ front *agent.Front }

func (d *daemon) shares(name string, s logic.Settings, reports bool, zones []string) share {
	if d.fleet == nil {
		return share{}
	}
	return share{d.fleet.Front(node.FrontConfig{Name: name, Settings: s, Reports: reports, Zones: zones}, d.acts.recorder())}
}

func (s share) watch(t router.Transport) router.Transport {
	if s.front == nil {
		return t
	}
	return s.front.WrapTransport(t)
}

// counted is a handler of calls that also tells the fleet of them, where it shares.
func (d *daemon) counted(handle func(*downstream.Call)) func(*downstream.Call) {
	if d.fleet == nil {
		return handle
	}
	return func(call *downstream.Call) {
		d.fleet.ObserveArrival()
		handle(call)
	}
}

func (s share) permit() router.Permit {
	if s.front == nil {
		return nil
	}
	return s.front
}

func (s share) before(core *router.Core) cordon.MemberReceiver {
	if s.front == nil {
		return core
	}
	return s.front.Attach(core)
}
