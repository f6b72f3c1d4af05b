package cli

import (
	"context"
	"fmt"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"lichenshelf/downstream"
	"lichenshelf/logic"
	"lichenshelf/metrics"
	"lichenshelf/platform"
	"lichenshelf/router"
)

const (
	defaultSockets = 1024
	spareSockets   = 64          // for discovery, the listener, files and the runtime
	workerPart     = 0.4         // of the other sockets; the rest is for clients
	memoryPart     = 0.7         // of the limit, from where on the collector works harder
	settleWait     = time.Second // for discovery's first word, where workers are known already
)

// serve runs the router until a SIGTERM has been seen through.
func serve(ctx context.Context, cfg *platform.Config, log *logrus.Logger) error {
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(cfg.MemoryMB<<20) * memoryPart))
	}
	if cfg.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Cores))))
	}
	sockets := cfg.Sockets
	if sockets <= 2*spareSockets {
		sockets = defaultSockets
	}
	workerConns := int(float64(sockets-spareSockets) * workerPart)
	clientConns := sockets - spareSockets - workerConns

	counters := &metrics.Set{}
	defer printCounters(counters, log)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	defer signal.Stop(signals)

	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen for clients: %w", err)
	}
	core := router.New(router.Config{
		Decider: logic.New(cfg.Settings, cfg.Seed), Transport: platform.NewTransport(cfg, workerConns, counters),
		Counters: counters, MaxAttempts: cfg.Settings.MaxAttempts, MaxOpen: openLimit(cfg, clientConns),
		Log: func(text string) { log.Info(text) },
	})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go core.Run(ctx)
	watch := platform.NewWatch(cfg, core, log)
	go watch.Run(ctx)

	var stopping atomic.Bool
	started := time.Now()
	ready := func() bool {
		settled := watch.Told() || len(cfg.Known.Instances) > 0 && time.Since(started) > settleWait
		return settled && !stopping.Load()
	}
	server := downstream.NewServer(listener, downstream.Config{
		Core: core, Handler: platform.NewFront(cfg, ready).Handle, Problem: platform.Problem,
		MaxConns: clientConns, Counters: counters,
	})
	failed := make(chan error, 1)
	go func() { failed <- server.Serve() }()
	log.WithFields(logrus.Fields{"name": cfg.Name, "listen": cfg.Listen, "clients": clientConns,
		"workers": workerConns}).Info("serving")
	for {
		select {
		case err := <-failed:
			return err
		case s := <-signals:
			if s == syscall.SIGUSR1 {
				printCounters(counters, log)
				continue
			}
			log.WithField("open", core.Open()).Info("stopping: finishing what is in hand")
			stopping.Store(true)
			if err := server.Stop(ctx); err != nil {
				return err
			}
			core.Settle(ctx)
			return nil
		}
	}
}

func openLimit(cfg *platform.Config, clients int) int {
	if cfg.OpenCap > 0 {
		return min(cfg.OpenCap, clients)
	}
	return clients
}

func printCounters(counters *metrics.Set, log *logrus.Logger) {
	if err := counters.Print(os.Stderr); err != nil {
		log.WithError(err).Warn("counters not printed")
	}
}
