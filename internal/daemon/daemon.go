// Package daemon runs the router: it starts the components that its files enable, handles signals
// and shuts down gracefully.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
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

// daemon holds the running components: fronts, each with its own core, and the store.
type daemon struct {
	log                   *logrus.Logger
	counters              *metrics.Set
	files                 Files
	watch                 *platform.Watch
	ctx                   context.Context // ends with the program; for goroutines of a reload
	replica               *store.Replica
	storeClient           storeClient // nil without a store
	api                   *store.API
	zk                    *zkfront.Server // nil if off
	cordon                *cordon.Cordon  // nil without the platform's front
	platform              *platform.Front
	platformCore          *router.Core   // of the platform's front
	initialShutdownTiming shutdownTiming // of the platform's front, by its file at the start
	// shutdownTiming is that of the platform's front, safe for its file as last read and at the
	// start.
	shutdownTiming  *currentShutdownTiming
	fleet           *agent.Agent // nil if this router shares nothing with others
	fleetSize       int          // number of routers in the fleet
	fence           *fence       // nil if this router may always send
	versionLog      versionLog
	failed          chan error
	stopping        atomic.Bool
	modelAPIServing atomic.Bool
	lastListAddr    atomic.Pointer[string] // address of the discovery whose list was used last

	// The model API starts once the store can be read, beside all other components; mu guards what
	// its start changes.
	mu              sync.RWMutex
	configs         configs // as read at the start; the model API's as last read
	fronts          []front
	sources         *sources.Config          // nil without a file
	feeds           map[string]*sources.Feed // by front, for fronts that take sources
	configFollower  *configFollower
	shuttableFronts []shuttableFront
	shut            bool // the fronts refuse new requests
}

// shuttableFront is a front that can be made to refuse new requests.
type shuttableFront interface{ Shut(bool) }

type front struct {
	core           *router.Core
	server         *downstream.Server
	shutdownTiming *currentShutdownTiming
	log            logrus.FieldLogger
}

// Serve runs the router until the shutdown that follows a SIGTERM has ended.
func Serve(ctx context.Context, files Files, log *logrus.Logger) error {
	d := &daemon{log: log, counters: &metrics.Set{}, files: files, feeds: map[string]*sources.Feed{}, failed: make(chan error, 4),
		versionLog: versionLog{tracker: version.New(nil), log: log}}
	defer d.printCounters()
	defer d.versionLog.close()
	d.isolateLog()
	signals := listenForSignals()
	defer signals.stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer d.closeStore()
	// A start that waits for the store must not delay a shutdown.
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
	// Reading files may block, and so may the reader of the counters: neither may delay the
	// shutdown.
	go onEach(ctx, signals.reload, d.reload)
	go onEach(ctx, signals.counters, d.printCounters)
	go d.watchLateness(ctx)
	select {
	case err := <-d.failed:
		return err
	case <-signals.terminate:
		return d.stop(ctx)
	}
}

// start starts the enabled components, to run until ctx ends. starting ends when the program
// receives a stop signal during the start.
func (d *daemon) start(ctx, starting context.Context) error {
	d.ctx = ctx
	var err error
	if d.configs, err = d.files.load(); err != nil {
		return err
	}
	d.sources = d.configs.sources
	if c := d.configs.store; c != nil {
		if err := d.startStore(starting, c); err != nil {
			return fmt.Errorf("start the store: %w", err)
		}
	}
	if c := d.configs.fleet; c != nil {
		if err := d.startFleet(ctx, starting, c); err != nil {
			return fmt.Errorf("start the fleet agent: %w", err)
		}
	}
	monitor, err := d.newStragglerMonitor()
	if err != nil {
		return err
	}
	if err := d.startFronts(ctx, starting); err != nil {
		return err
	}
	if monitor != nil {
		go monitor.run(ctx)
	}
	return nil
}

// startFronts starts the fronts. All that can fail the start comes before the first front serves:
// from then on there are requests that would be lost.
func (d *daemon) startFronts(ctx, starting context.Context) error {
	api := d.configs.modelAPI
	if api != nil {
		if err := d.checkSources(sources.ModelAPI, nil); err != nil {
			return fmt.Errorf("start the model API: %w", err)
		}
	}
	var apiListener net.Listener
	if api != nil && d.storeClient == nil {
		var err error
		if apiListener, err = d.openForClients(starting, api.Listen); err != nil {
			return fmt.Errorf("start the model API: %w", err)
		}
	}
	if c := d.configs.platform; c != nil {
		if err := d.startPlatform(ctx, starting, c); err != nil {
			return fmt.Errorf("start the platform's front: %w", err)
		}
	}
	switch {
	case api == nil:
	case apiListener != nil:
		if err := d.serveModelAPI(ctx, api, nil, apiListener); err != nil {
			return fmt.Errorf("start the model API: %w", err)
		}
	default:
		go d.startModelAPIFromStore(ctx)
	}
	return nil
}

func (d *daemon) startCore(ctx context.Context, decider logic.Decider, t router.Transport, sharing frontSharing, settings logic.Settings, open int) *router.Core {
	core := router.New(router.Config{Decider: decider, Transport: t, Permit: sharing.permit(), Fence: d.fence.sendCheck(), Counters: d.counters,
		Settings: settings, MaxOpen: open, Log: d.log})
	go core.Run(ctx)
	return core
}

// stop finishes the open requests, at all fronts at once.
func (d *daemon) stop(ctx context.Context) error {
	began := time.Now()
	d.mu.Lock()
	d.stopping.Store(true) // no front is added from now on
	fronts := d.fronts
	d.mu.Unlock()
	if d.fleet != nil {
		d.fleet.Leave()
	}
	results := make(chan error, len(fronts))
	for _, f := range fronts {
		d.log.WithField("open", f.core.Open()).Info("stopping: finishing open requests")
		go func() {
			stopped := make(chan struct{})
			go f.cancelInSteps(began, stopped)
			err := f.server.Stop(ctx, f.shutdownTiming.acceptFor)
			close(stopped)
			d.log.WithField("after_ms", time.Since(began).Milliseconds()).Info("stopping: all client connections are closed")
			unsettled := f.core.WaitForReleases(ctx)
			d.log.WithFields(logrus.Fields{"after_ms": time.Since(began).Milliseconds(), "releases_out": unsettled}).Info("stopping: done")
			results <- err
		}()
	}
	var all error
	for range fronts {
		all = errors.Join(all, <-results)
	}
	return all
}
