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

// startFleet starts this router's fleet agent.
func (d *daemon) startFleet(ctx, starting context.Context, cfg *agent.Config) error {
	life := uint64(time.Now().UnixNano())
	if err := d.openEventLog(cfg, life); err != nil {
		return err
	}
	a, err := agent.New(cfg, life, life, d.versionLog.loanRecorder(), d.counters, d.log)
	if err != nil {
		return fmt.Errorf("%s: %w", d.files.Fleet, err)
	}
	l, err := d.open(starting, cfg.Listen, func(addr string) (net.Listener, error) { return net.Listen("tcp4", addr) })
	if err != nil {
		return fmt.Errorf("listen for the fleet: %w", err)
	}
	d.fleet, d.fleetSize = a, len(cfg.Routers)
	d.versionLog.advanceLocal("fleet/terms", a.Terms())
	d.versionLog.setOnChange(a.SetVersions)
	if g := cfg.Straggler.Grace.Duration; g > 0 {
		d.fence = newFence(g)
	}
	d.serveBeside("fleet", func() error { return a.Serve(l) })
	go func() {
		defer l.Close()
		a.Run(ctx)
	}()
	d.log.WithField("fleet", cfg.Fleet).WithField("router", cfg.Self).Info("fleet agent started")
	if cfg.Operator == "" {
		return nil
	}
	operators, err := d.openConsole(starting, cfg.Operator)
	if err != nil {
		return err
	}
	d.serveConsole(operators, console.New(func() bool { return !d.stopping.Load() }, nil).WithFleet(fleetPages{a, &d.versionLog}))
	return nil
}

// setQuotas makes the quotas of accounts limits over all routers. They are a separate version in
// the event log.
func (d *daemon) setQuotas(cfg *modelapi.Config) {
	quotas := cfg.Quotas()
	d.fleet.SetLimits(modelapi.QuotaPrefix, quotas)
	d.versionLog.advanceLocal("fleet/quotas", fmt.Sprint(quotas))
}

// eventLogPage is the name of the page that returns this router's event log as a tar archive.
const eventLogPage = "trail"

// fleetPages serves the pages of the operator's address: those of the agent, and the event log.
type fleetPages struct {
	*agent.Agent
	versionLog *versionLog
}

// Page implements console.Fleet.
func (f fleetPages) Page(name string) (any, bool) {
	if name != eventLogPage {
		return f.Agent.Page(name)
	}
	if f.versionLog.eventLog == nil {
		return nil, false
	}
	f.versionLog.eventLog.Flush()
	r, w := io.Pipe()
	go func() { _ = w.CloseWithError(eventlog.Archive(f.versionLog.dir, w)) }()
	return r, true
}

// frontSharing connects a front to the fleet. Without a fleet it passes a transport and a core
// through unchanged, and has no permit.
type frontSharing struct{ front *agent.Front }

func (d *daemon) shareFront(name string, s logic.Settings, reports bool, zones []string) frontSharing {
	if d.fleet == nil {
		return frontSharing{}
	}
	return frontSharing{d.fleet.Front(node.FrontConfig{Name: name, Settings: s, Reports: reports, Zones: zones}, d.versionLog.recorder())}
}

func (s frontSharing) wrapTransport(t router.Transport) router.Transport {
	if s.front == nil {
		return t
	}
	return s.front.WrapTransport(t)
}

// countArrivals wraps a handler of calls so that the fleet agent, if there is one, counts them.
func (d *daemon) countArrivals(handle func(*downstream.Call)) func(*downstream.Call) {
	if d.fleet == nil {
		return handle
	}
	return func(call *downstream.Call) {
		d.fleet.ObserveArrival()
		handle(call)
	}
}

func (s frontSharing) permit() router.Permit {
	if s.front == nil {
		return nil
	}
	return s.front
}

func (s frontSharing) memberReceiver(core *router.Core) cordon.MemberReceiver {
	if s.front == nil {
		return core
	}
	return s.front.Attach(core)
}
