// Package daemon runs the router: it starts the components that its files enable, handles signals
// and shuts down gracefully.
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

// Files holds the paths of the router's configuration files; an empty path is not used.
type Files struct {
	Platform, ModelAPI, Store, Sources, Fleet string
}

// daemon holds the running components: fronts, each with its own core, and the store.
type daemon struct {
	log                   *logrus.Logger
	counters              *metrics.Set
	files                 Files
	fronts                []front
	frontsMu              sync.RWMutex // guards fronts, which other goroutines read during the start
	watch                 *platform.Watch
	sources               *sources.Config          // nil without a file
	feeds                 map[string]*sources.Feed // by front, for fronts that take sources
	ctx                   context.Context          // ends with the program; for goroutines of a reload
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
	fleetCfg        *agent.Config
	fence           *fence // nil if this router may always send
	configFollower  *configFollower
	shuttableFronts []shuttableFront
	versionLog      versionLog
	failed          chan error
	stopping        atomic.Bool
	lastListAddr    atomic.Pointer[string] // address of the discovery whose list was used last
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
			return fmt.Errorf("start the fleet agent: %w", err)
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
		if err := d.startStragglerMonitor(ctx, d.fleetCfg); err != nil {
			return err
		}
	}
	if len(d.fronts) == 0 && d.replica == nil {
		return errors.New("nothing to serve: --config FILE (or ROUTER_CONFIG) starts the platform's front, " +
			"--modelapi FILE with listen set the model API, --store FILE with id set the store")
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
	d.stopping.Store(true)
	if d.fleet != nil {
		d.fleet.Leave()
	}
	results := make(chan error, len(d.fronts))
	for _, f := range d.fronts {
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
	for range d.fronts {
		all = errors.Join(all, <-results)
	}
	return all
}
