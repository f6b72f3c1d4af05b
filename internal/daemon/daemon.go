// Package daemon runs the router: it starts what its files switch on, follows
// signals and ends in good order.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"lichenshelf/cordon"
	"lichenshelf/discovery/sources"
	"lichenshelf/downstream"
	"lichenshelf/fleet/agent"
	"lichenshelf/fleet/version"
	"lichenshelf/front/platform"
	"lichenshelf/front/zkfront"
	"lichenshelf/logic"
	"lichenshelf/metrics"
	"lichenshelf/router"
	"lichenshelf/store"
)

// Files are what the router was given to read; an empty path is not used.
type Files struct {
	Platform, ModelAPI, Store, Sources, Fleet string
}

// daemon is what runs: fronts, each with a core of its own, and the store.
type daemon struct {
	log      *logrus.Logger
	counters *metrics.Set
	files    Files
	fronts   []front
	frontsMu sync.RWMutex // for who reads fronts beside the start
	watch    *platform.Watch
	sources  *sources.Config          // nil without a file
	feeds    map[string]*sources.Feed // by front, those that take sources
	ctx      context.Context          // ends with the program; what a reload starts runs until then
	replica  *store.Replica
	records  records // of the store; nil without one
	api      *store.API
	zk       *zkfront.Server // nil: off
	cordon   *cordon.Cordon  // nil without the platform's front
	platform *platform.Front
	platCore *router.Core // the platform's
	atStart  ending       // the platform's, by its file at the start
	endings  *endings     // the platform's, by its file as read last and at the start
	fleet    *agent.Agent // nil: this router shares nothing with others
	fleetOf  int          // how many routers share, with a fleet
	fleetCfg *agent.Config
	fence    *fence // nil: this router may always send
	follow   *published
	shutters []shutter
	acts     acts
	failed   chan error
	stopping atomic.Bool
	listFrom atomic.Pointer[string] // the discovery whose list was taken last
}

// shutter is a front that can be made to take nothing new.
type shutter interface{ Shut(bool) }

type front struct {
	core    *router.Core
	server  *downstream.Server
	endings *endings
	log     logrus.FieldLogger
}

// Serve runs until a SIGTERM has been seen through.
func Serve(ctx context.Context, files Files, log *logrus.Logger) error {
	d := &daemon{log: log, counters: &metrics.Set{}, files: files, feeds: map[string]*sources.Feed{}, failed: make(chan error, 4),
		acts: acts{versions: version.New(nil), log: log}}
	defer d.printCounters()
	defer d.acts.close()
	d.freeFromLog()
	signals := listenForSignals()
	defer signals.stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer d.closeStore()
	// A start that waits for the store must not keep a SIGTERM waiting.
	starting, started := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	err := d.start(ctx, starting)
	ended := starting.Err() != nil
	started()
	if err != nil && ended {
		return nil
	}
	if err != nil {
		return err
	}
	// Files may hang, and so may who reads the counters: neither keeps the end of the process waiting.
	go onEach(ctx, signals.reload, d.reload)
	go onEach(ctx, signals.counters, d.printCounters)
	go d.watchLateness(ctx)
	select {
	case err := <-d.failed:
		return err
	case <-signals.end:
		return d.stop(ctx)
	}
}

// start starts what is on, to run until ctx ends; starting ends when the program is
// told to stop meanwhile.
func (d *daemon) start(ctx, starting context.Context) error {
	d.ctx = ctx
	if d.files.Sources != "" {
		var err error
		if d.sources, err = sources.LoadConfig(d.files.Sources); err != nil {
			return fmt.Errorf("sources: %w", err)
		}
	}
	if d.files.Store != "" {
		if err := d.startStore(starting); err != nil {
			return fmt.Errorf("start the store: %w", err)
		}
	}
	if d.files.Fleet != "" {
		if err := d.startFleet(ctx, starting); err != nil {
			return fmt.Errorf("start the fleet's part: %w", err)
		}
	}
	if d.files.Platform != "" {
		if err := d.startPlatform(ctx, starting); err != nil {
			return fmt.Errorf("start the platform's front: %w", err)
		}
	}
	if d.files.ModelAPI != "" {
		if err := d.startModelAPI(ctx, starting); err != nil {
			return fmt.Errorf("start the model API: %w", err)
		}
	}
	if d.fleetCfg != nil && len(d.fronts) > 0 {
		if err := d.watchStraggling(ctx, d.fleetCfg); err != nil {
			return err
		}
	}
	if len(d.fronts) == 0 && d.replica == nil {
		return errors.New("nothing to serve: --config FILE (or ROUTER_CONFIG) starts the platform's front, " +
			"--modelapi FILE with listen set the model API, --store FILE with id set the store")
	}
	return nil
}

func (d *daemon) core(ctx context.Context, decider logic.Decider, t router.Transport, p share, settings logic.Settings, open int) *router.Core {
	core := router.New(router.Config{Decider: decider, Transport: t, Permit: p.permit(), Fence: d.fence.check(), Counters: d.counters,
		Settings: settings, MaxOpen: open, Log: d.log})
	go core.Run(ctx)
	return core
}

// stop finishes what is in hand, at all fronts at once.
func (d *daemon) stop(ctx context.Context) error {
	began := time.Now()
	d.stopping.Store(true)
	if d.fleet != nil {
		d.fleet.Leave()
	}
	ends := make(chan error, len(d.fronts))
	for _, f := range d.fronts {
		d.log.WithField("open", f.core.Open()).Info("stopping: finishing what is in hand")
		go func() {
			stopped := make(chan struct{})
			go f.giveUp(began, stopped)
			err := f.server.Stop(ctx, f.endings.take)
			close(stopped)
			d.log.WithField("after_ms", time.Since(began).Milliseconds()).Info("stopping: no client is left")
			unsettled := f.core.WaitForReleases(ctx)
			d.log.WithFields(logrus.Fields{"after_ms": time.Since(began).Milliseconds(), "releases_out": unsettled}).Info("stopping: done")
			ends <- err
		}()
	}
	var all error
	for range d.fronts {
		all = errors.Join(all, <-ends)
	}
	return all
}
