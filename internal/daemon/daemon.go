// Package daemon runs the router: it starts what its files switch on, follows
// signals and ends in good order.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
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
	"lichenshelf/front/console"
	"lichenshelf/front/modelapi"
	"lichenshelf/front/platform"
	"lichenshelf/front/zkfront"
	"lichenshelf/internal/listener"
	"lichenshelf/internal/transient"
	"lichenshelf/logic"
	"lichenshelf/metrics"
	"lichenshelf/router"
	"lichenshelf/store"
)

// discoveryPart and an address name a list of workers among what the router acts on.
const discoveryPart = "workers/discovery@"

const (
	defaultSockets = 1024
	spareSockets   = 40          // for discovery, the listener, files and the runtime
	workerPart     = 0.4         // of the other sockets; the rest is for clients
	memoryPart     = 0.7         // of the limit, from where on the collector works harder
	programSize    = 16 << 20    // of the limit, for the program itself: 14.6 to 14.9 MB mapped from files were seen, beside its data
	bodiesPart     = 0.25        // of the limit, for the bodies of requests in hand
	settleWait     = time.Second // for discovery's first word, where workers are known already
	storeWait      = 30 * time.Second
	settleAgain    = 200 * time.Millisecond
	followPace     = 500 * time.Millisecond // of looks at a store without a replica here
	takeModelAPI   = 30 * time.Second       // after SIGTERM, while clients come
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

// Doubts names what is legal in the platform's file but can hardly be meant, with
// key and value and what the router does about it.
func Doubts(cfg *platform.Config) []string {
	out := cfg.Doubts()
	if cfg.Sockets <= 2*spareSockets {
		out = append(out, fmt.Sprintf("limits.sockets is %d: too few to work with or not stated, counted as %d", cfg.Sockets, defaultSockets))
	}
	if cfg.MemoryMB <= 0 {
		out = append(out, fmt.Sprintf("limits.memory_mb is %d: not stated, memory is not bounded", cfg.MemoryMB))
	}
	if cfg.Cores <= 0 {
		out = append(out, fmt.Sprintf("limits.cores is %g: not stated, all cores are used", cfg.Cores))
	}
	return out
}

// shares divides the sockets that a front may hold between workers and clients.
func shares(sockets int) (workers, clients int) {
	if sockets <= 2*spareSockets {
		sockets = defaultSockets
	}
	workers = int(float64(sockets-spareSockets) * workerPart)
	return workers, sockets - spareSockets - workers
}

func (d *daemon) startPlatform(ctx, starting context.Context) error {
	cfg, err := platform.LoadConfig(d.files.Platform, os.Getenv)
	if err != nil {
		return err
	}
	for _, doubt := range Doubts(cfg) {
		d.log.Warn(doubt)
	}
	memory := int64(cfg.MemoryMB) << 20
	if memory > 0 {
		// Of a large limit memoryPart leaves room for the program itself, of a small one it does not.
		debug.SetMemoryLimit(max(min(int64(float64(memory)*memoryPart), memory-programSize), memory/4))
	}
	if cfg.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Cores))))
	}
	workers, clients := shares(cfg.Sockets)
	open := clients
	if cfg.OpenCap > 0 {
		open = min(open, cfg.OpenCap)
	}
	part := d.shares(sources.Platform, cfg.Settings, cfg.Reports.Understands(), cfg.Names("zone"))
	core := d.core(ctx, logic.New(cfg.Settings, cfg.Seed), part.watch(platform.NewTransport(cfg, workers, d.counters)), part,
		cfg.Settings, open)
	taker := part.before(core)
	var failed func(error)
	if d.sources.Takes(sources.Platform) {
		feed, err := d.feed(sources.Platform, taker, cfg)
		if err != nil {
			return err
		}
		taker, failed = ownList{feed}, ownList{feed}.failed
	}
	d.cordon = cordon.New(taker, cordon.Path(os.TempDir(), cfg.Name), d.log)
	go d.cordon.Follow(ctx)
	d.cordon.OnChange(func(v uint64) { d.acts.follow(version.Here+"workers/by-hand", v) })
	taker = d.cordon
	d.watch = platform.NewWatch(cfg, taker, d.log)
	d.watch.Failed = failed
	d.watch.Took = func(addr string, generation int64) {
		if last := d.listFrom.Swap(&addr); last != nil && *last != addr {
			d.acts.leave(discoveryPart + *last) // another discovery may count otherwise
		}
		d.acts.follow(discoveryPart+addr, uint64(max(generation, 0)))
	}
	go d.watch.Run(ctx)
	started := time.Now()
	ready := func() bool {
		settled := d.watch.Told() || len(cfg.Known.Instances) > 0 && time.Since(started) > settleWait
		return settled && !d.stopping.Load()
	}
	d.platform, d.platCore = platform.NewFront(cfg, ready), core
	d.shutters = append(d.shutters, d.platform)
	d.atStart = platformEnding(cfg)
	d.endings = newEndings(d.atStart)
	if err := d.listen(starting, cfg.Listen, front{core: core, endings: d.endings}, downstream.Config{Handler: d.counted(d.platform.Handle),
		Problem: downstream.TextProblem, MaxBody: platform.MaxBody,
		MaxBytes: int64(float64(memory) * bodiesPart), MaxConns: clients}); err != nil {
		return err
	}
	if cfg.Console == "" {
		return nil
	}
	return d.serveConsole(starting, cfg.Console, console.New(ready, d.cordon))
}

// serveConsole opens an operators' address. It answers until the process ends.
func (d *daemon) serveConsole(starting context.Context, addr string, c *console.Console) error {
	l, err := d.open(starting, addr, listenTCP)
	if err != nil {
		return fmt.Errorf("listen for the console: %w", err)
	}
	server := d.withMetrics(c).Server(l, d.counters)
	go func() {
		if err := server.Serve(); err != nil {
			d.failed <- err
		}
	}()
	d.log.WithField("console", addr).Info("serving the console")
	return nil
}

func (d *daemon) startModelAPI(ctx, starting context.Context) error {
	cfg, err := modelapi.LoadConfig(d.files.ModelAPI)
	if err != nil || cfg.Listen == "" {
		return err
	}
	var follow *published
	if d.records != nil {
		if err := d.settle(starting); err != nil {
			return err
		}
		if follow, err = d.newPublished(starting, cfg); err != nil {
			return err
		}
	}
	workers, clients := shares(defaultSockets)
	var budgets modelapi.Budgets
	if d.fleet != nil {
		cfg.Routers = d.fleetOf
		d.setQuotas(cfg)
		budgets = d.fleet
	}
	settings := cfg.Settings()
	if d.fleet != nil {
		settings.Tenants = nil // quotas are the fleet's, so the decisions know no account past its own
	}
	part := d.shares(sources.ModelAPI, settings, false, nil)
	core := d.core(ctx, logic.New(settings, uint64(time.Now().UnixNano())), part.watch(modelapi.NewTransport(cfg, workers, d.counters)), part,
		settings, cfg.MaxOpen)
	feed, err := d.feed(sources.ModelAPI, part.before(core), nil)
	if err != nil {
		return err
	}
	if err := tellBackends(feed, cfg); err != nil {
		return err
	}
	ready := func() bool { return feed.Ready() && !d.stopping.Load() }
	models := modelapi.NewFront(cfg, ready, budgets)
	d.shutters = append(d.shutters, models)
	if follow != nil {
		follow.front, follow.core = models, core
		d.follow = follow
		go follow.follow(ctx)
	}
	return d.listen(starting, cfg.Listen, front{core: core, endings: newEndings(ending{take: takeModelAPI})}, downstream.Config{Handler: models.Handle,
		Problem: modelapi.Problem, MaxBody: cfg.MaxBody,
		MaxBytes: cfg.MaxBytes, MaxConns: clients})
}

// settle waits until the store has told what is newest: a router must not start with another
// configuration than its fellows for want of patience.
func (d *daemon) settle(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeWait)
	defer cancel()
	if d.replica != nil {
		select {
		case <-d.replica.Settled():
			return nil
		case <-ctx.Done():
			return fmt.Errorf("the store can't tell what is newest, for the configuration: %w", ctx.Err())
		}
	}
	return tell(ctx, func() error { return d.records.CatchUp(ctx, modelapi.ConfigName) })
}

// tell asks the store over and over until it answers or ctx ends: a connection that breaks must not end a start.
func tell(ctx context.Context, ask func() error) error {
	if err := transient.Retry(ctx, settleAgain, nil, ask); err != nil {
		return fmt.Errorf("the store can't tell what is newest, for the configuration: %w", err)
	}
	return nil
}

func (d *daemon) core(ctx context.Context, decider logic.Decider, t router.Transport, p share, settings logic.Settings, open int) *router.Core {
	core := router.New(router.Config{Decider: decider, Transport: t, Permit: p.permit(), Fence: d.fence.check(), Counters: d.counters,
		Settings: settings, MaxOpen: open, Log: d.log})
	go core.Run(ctx)
	return core
}

// open opens a listener at an address. What the system lacks for a moment, or an address that is not free yet, delays a start
// and does not end it.
func (d *daemon) open(starting context.Context, addr string, listen func(addr string) (net.Listener, error)) (net.Listener, error) {
	return listener.Open(starting, func() (net.Listener, error) { return listen(addr) }, func(err error) {
		d.log.WithError(err).WithField("listen", addr).Warn("can't listen for now, tried again")
	})
}

func listenTCP(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

func (d *daemon) listen(starting context.Context, addr string, f front, cfg downstream.Config) error {
	l, err := d.open(starting, addr, downstream.Listen)
	if err != nil {
		return fmt.Errorf("listen for clients: %w", err)
	}
	cfg.Core, cfg.Counters = f.core, d.counters
	server := downstream.NewServer(l, cfg)
	f.server, f.log = server, d.log
	d.frontsMu.Lock()
	d.fronts = append(d.fronts, f)
	d.frontsMu.Unlock()
	go func() {
		if err := server.Serve(); err != nil {
			d.failed <- err
		}
	}()
	d.log.WithFields(logrus.Fields{"listen": addr, "connections": cfg.MaxConns}).Info("serving")
	return nil
}

// startStore starts this router's replica, or follows others'; starting ends when the program is told to stop meanwhile.
func (d *daemon) startStore(starting context.Context) error {
	cfg, err := store.LoadConfig(d.files.Store)
	if err == nil && len(cfg.Follow) > 0 {
		f := store.NewFollower(cfg.Name, followPace, cfg.Follow...)
		d.records = f
		go f.Run(d.ctx, modelapi.ConfigName)
		d.log.WithField("name", cfg.Name).WithField("follow", cfg.Follow).Info("following the store")
	}
	if err != nil || cfg.ID == "" {
		return err
	}
	cfg.Log = d.log.Out
	l, err := d.open(starting, cfg.Self().API, listenTCP)
	if err != nil {
		return fmt.Errorf("listen for the store's clients: %w", err)
	}
	if d.replica, err = d.openReplica(starting, *cfg); err != nil {
		return errors.Join(err, l.Close())
	}
	d.records = ownReplica{d.replica}
	d.api = store.NewAPI(d.replica, storeChecks)
	go func() {
		if err := d.api.Serve(l); err != nil {
			d.failed <- err
		}
	}()
	d.log.WithFields(logrus.Fields{"id": cfg.ID, "api": cfg.Self().API}).Info("store open")
	if cfg.ZooKeeper == "" {
		return nil
	}
	clients, err := d.open(starting, cfg.ZooKeeper, listenTCP)
	if err != nil {
		return fmt.Errorf("listen for ZooKeeper clients: %w", err)
	}
	d.zk = zkfront.New(d.replica, zkfront.Config{Self: cfg.ID, Log: d.log})
	go func() {
		if err := d.zk.Serve(clients); err != nil {
			d.failed <- err
		}
	}()
	d.log.WithField("zookeeper", cfg.ZooKeeper).Info("serving ZooKeeper clients")
	return nil
}

// openReplica opens the replica. A disk that takes no writes for a while does not end the start: it is tried again, for
// storeWait in all.
func (d *daemon) openReplica(starting context.Context, cfg store.Config) (*store.Replica, error) {
	ctx, cancel := context.WithTimeout(starting, storeWait)
	defer cancel()
	var r *store.Replica
	err := transient.Retry(ctx, settleAgain, diskFault, func() (err error) {
		if r, err = store.Open(cfg); err != nil && diskFault(err) {
			d.log.WithError(err).Error("the store's folder can't be written, tried again")
		}
		return err
	})
	return r, err
}

// diskFault tells whether an error is the disk's, and may pass.
func diskFault(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EIO) || errors.Is(err, syscall.EDQUOT)
}

func (d *daemon) closeStore() {
	if d.replica == nil {
		return
	}
	if d.zk != nil {
		d.zk.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := errors.Join(d.api.Close(ctx), d.replica.Close()); err != nil {
		d.log.WithError(err).Warn("store not closed in good order")
	}
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
			unsettled := f.core.Settle(ctx)
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
