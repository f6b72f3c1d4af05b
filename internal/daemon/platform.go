package daemon

import (
	"context"
	"fmt"
	"math"
	"net"
	"os"
	"runtime"
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
	defaultSockets    = 1024
	reservedSockets   = 40          // for discovery, listeners, files and the runtime
	workerSocketShare = 0.4         // of the other sockets; the rest is for clients
	firstListTimeout  = time.Second // for the first list of discovery, if workers are known already
)

// discoveryPart, followed by the address of a discovery, names a list of workers among the versions
// that the router acts on.
const discoveryPart = "workers/discovery@"

// ConfigWarnings describes settings of the platform's file that are valid but probably not
// intended, with key, value and their effect.
func ConfigWarnings(cfg *platform.Config) []string {
	out := cfg.Warnings()
	if cfg.Sockets <= 2*reservedSockets {
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

// divideSockets divides the sockets that a front may hold between workers and clients.
func divideSockets(sockets int) (workers, clients int) {
	if sockets <= 2*reservedSockets {
		sockets = defaultSockets
	}
	workers = int(float64(sockets-reservedSockets) * workerSocketShare)
	return workers, sockets - reservedSockets - workers
}

// applyLimits applies the limits of the platform's file to the runtime. It returns the memory limit
// in bytes; 0 means none.
func applyLimits(cfg *platform.Config) (memory int64) {
	memory = int64(cfg.MemoryMB) << 20
	setMemoryLimit(memory)
	if cfg.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Cores))))
	}
	return memory
}

// startPlatform starts the platform's front, its list of workers and the operators' address. The
// clients' address is opened last, when nothing can fail any more.
func (d *daemon) startPlatform(ctx, starting context.Context, cfg *platform.Config) error {
	for _, warning := range ConfigWarnings(cfg) {
		d.log.Warn(warning)
	}
	limit := applyLimits(cfg)
	workers, clients := divideSockets(cfg.Sockets)
	memory := divideMemory(limit, clients)
	open := clients
	if cfg.OpenCap > 0 {
		open = min(open, cfg.OpenCap)
	}
	sharing := d.shareFront(sources.Platform, cfg.Settings, cfg.Reports.HasKnownField(), cfg.Names("zone"))
	core := d.startCore(ctx, logic.New(cfg.Settings, cfg.Seed), sharing.wrapTransport(platform.NewTransport(cfg, workers, memory.answers, d.counters)), sharing,
		cfg.Settings, open)
	receiver := sharing.memberReceiver(core)
	var failed func(error)
	if d.sources.HasSourcesFor(sources.Platform) {
		feed, err := d.startFeed(sources.Platform, receiver, cfg)
		if err != nil {
			return err
		}
		receiver, failed = ownList{feed}, ownList{feed}.failed
	}
	d.cordon = cordon.New(receiver, cordon.Path(os.TempDir(), cfg.Name), d.log)
	go d.cordon.Follow(ctx)
	d.cordon.OnChange(func(v uint64) { d.versionLog.observe(version.LocalPrefix+"workers/by-hand", v) })
	receiver = d.cordon
	d.watch = platform.NewWatch(cfg, receiver, d.log)
	d.watch.OnError, d.watch.OnList = failed, d.recordList
	go d.watch.Run(ctx)
	started := time.Now()
	ready := func() bool {
		settled := d.watch.HasSynced() || len(cfg.Known.Instances) > 0 && time.Since(started) > firstListTimeout
		return settled && !d.stopping.Load()
	}
	d.platform, d.platformCore = platform.NewFront(cfg, ready), core
	d.addShuttable(d.platform)
	d.initialShutdownTiming = platformShutdownTiming(cfg)
	d.shutdownTiming = newCurrentShutdownTiming(d.initialShutdownTiming)
	var operators net.Listener
	if cfg.Console != "" {
		var err error
		if operators, err = d.openConsole(starting, cfg.Console); err != nil {
			return err
		}
	}
	l, err := d.openForClients(starting, cfg.Listen)
	if err != nil {
		return err
	}
	err = d.serve(l, front{core: core, shutdownTiming: d.shutdownTiming}, downstream.Config{Handler: d.countArrivals(d.platform.Handle),
		Problem: downstream.TextProblem, MaxBody: platform.MaxBody,
		MaxBytes: memory.bodies, MaxRequestBytes: memory.requests, MaxConns: clients})
	if err == nil && operators != nil {
		d.serveConsole(operators, console.New(ready, d.cordon))
	}
	return err
}

// recordList records the discovery and the version of the list that the router acts on.
func (d *daemon) recordList(addr string, generation int64) {
	if last := d.lastListAddr.Swap(&addr); last != nil && *last != addr {
		// Generations of different discoveries cannot be compared.
		d.versionLog.remove(discoveryPart + *last)
	}
	d.versionLog.observe(discoveryPart+addr, uint64(max(generation, 0)))
}

// openConsole opens an operators' address.
func (d *daemon) openConsole(starting context.Context, addr string) (net.Listener, error) {
	l, err := d.open(starting, addr, listenTCP)
	if err != nil {
		return nil, fmt.Errorf("listen for the console: %w", err)
	}
	return l, nil
}

// serveConsole serves an operators' address until the process ends.
func (d *daemon) serveConsole(l net.Listener, c *console.Console) {
	d.serveBeside("console", d.withMetrics(c).Server(l, d.counters).Serve)
	d.log.WithField("console", l.Addr().String()).Info("serving the console")
}
