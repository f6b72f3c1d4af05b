package daemon

import (
	"context"
	"fmt"
	"math"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"lichenshelf/cordon"
	"lichenshelf/discovery/sources"
	"lichenshelf/downstream"
	"lichenshelf/fleet/version"
	"lichenshelf/front/console"
	"lichenshelf/front/platform"
	"lichenshelf/logic"
)

const (
	defaultSockets = 1024
	spareSockets   = 40          // for discovery, the listener, files and the runtime
	workerPart     = 0.4         // of the other sockets; the rest is for clients
	memoryPart     = 0.7         // of the limit, from where on the collector works harder
	programSize    = 16 << 20    // of the limit, for the program itself: 14.6 to 14.9 MB mapped from files were seen, beside its data
	bodiesPart     = 0.25        // of the limit, for the bodies of requests in hand
	settleWait     = time.Second // for discovery's first word, where workers are known already
)

// discoveryPart and an address name a list of workers among what the router acts on.
const discoveryPart = "workers/discovery@"

// Doubts names what is legal in the platform's file but can hardly be meant, with
// key and value and what the router does about it.
func Doubts(cfg *platform.Config) []string {
	out := cfg.Warnings()
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

// applyLimits has the runtime keep to the limits of the platform's file. It returns that of memory in bytes; 0 means none.
func applyLimits(cfg *platform.Config) (memory int64) {
	memory = int64(cfg.MemoryMB) << 20
	if memory > 0 {
		// Of a large limit memoryPart leaves room for the program itself, of a small one it does not.
		debug.SetMemoryLimit(max(min(int64(float64(memory)*memoryPart), memory-programSize), memory/4))
	}
	if cfg.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Cores))))
	}
	return memory
}

// startPlatform starts the platform's front, with the list of workers that it goes by and the operators' address.
func (d *daemon) startPlatform(ctx, starting context.Context) error {
	cfg, err := platform.LoadConfig(d.files.Platform, os.Getenv)
	if err != nil {
		return err
	}
	for _, doubt := range Doubts(cfg) {
		d.log.Warn(doubt)
	}
	memory := applyLimits(cfg)
	workers, clients := shares(cfg.Sockets)
	open := clients
	if cfg.OpenCap > 0 {
		open = min(open, cfg.OpenCap)
	}
	part := d.shares(sources.Platform, cfg.Settings, cfg.Reports.HasKnownField(), cfg.Names("zone"))
	core := d.core(ctx, logic.New(cfg.Settings, cfg.Seed), part.watch(platform.NewTransport(cfg, workers, d.counters)), part,
		cfg.Settings, open)
	taker := part.before(core)
	var failed func(error)
	if d.sources.HasSourcesFor(sources.Platform) {
		feed, err := d.feed(sources.Platform, taker, cfg)
		if err != nil {
			return err
		}
		taker, failed = ownList{feed}, ownList{feed}.failed
	}
	d.cordon = cordon.New(taker, cordon.Path(os.TempDir(), cfg.Name), d.log)
	go d.cordon.Follow(ctx)
	d.cordon.OnChange(func(v uint64) { d.acts.follow(version.LocalPrefix+"workers/by-hand", v) })
	taker = d.cordon
	d.watch = platform.NewWatch(cfg, taker, d.log)
	d.watch.OnError, d.watch.OnList = failed, d.tookList
	go d.watch.Run(ctx)
	started := time.Now()
	ready := func() bool {
		settled := d.watch.HasSynced() || len(cfg.Known.Instances) > 0 && time.Since(started) > settleWait
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

// tookList notes which version of whose list the router acts on.
func (d *daemon) tookList(addr string, generation int64) {
	if last := d.listFrom.Swap(&addr); last != nil && *last != addr {
		d.acts.leave(discoveryPart + *last) // another discovery may count otherwise
	}
	d.acts.follow(discoveryPart+addr, uint64(max(generation, 0)))
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
