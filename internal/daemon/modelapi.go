package daemon

import (
	"context"
	"fmt"
	"time"

	"lichenshelf/discovery/sources"
	"lichenshelf/downstream"
	"lichenshelf/front/modelapi"
	"lichenshelf/internal/transient"
	"lichenshelf/logic"
)

// modelAPIAcceptFor is how long after SIGTERM the model API accepts new client connections.
const modelAPIAcceptFor = 30 * time.Second

func (d *daemon) startModelAPI(ctx, starting context.Context) error {
	cfg, err := modelapi.LoadConfig(d.files.ModelAPI)
	if err != nil || cfg.Listen == "" {
		return err
	}
	var follower *configFollower
	if d.storeClient != nil {
		if err := d.waitForStore(starting); err != nil {
			return err
		}
		if follower, err = d.newConfigFollower(starting, cfg); err != nil {
			return err
		}
	}
	workers, clients := divideSockets(defaultSockets)
	var budgets modelapi.Budgets
	if d.fleet != nil {
		cfg.Routers = d.fleetSize
		d.setQuotas(cfg)
		budgets = d.fleet
	}
	settings := cfg.Settings()
	if d.fleet != nil {
		// The fleet enforces the quotas, so the decider needs no tenants of its own.
		settings.Tenants = nil
	}
	sharing := d.shareFront(sources.ModelAPI, settings, false, nil)
	core := d.startCore(ctx, logic.New(settings, uint64(time.Now().UnixNano())), sharing.wrapTransport(modelapi.NewTransport(cfg, workers, d.counters)), sharing,
		settings, cfg.MaxOpen)
	feed, err := d.startFeed(sources.ModelAPI, sharing.memberReceiver(core), nil)
	if err != nil {
		return err
	}
	if err := reportBackends(feed, cfg); err != nil {
		return err
	}
	ready := func() bool { return feed.Ready() && !d.stopping.Load() }
	models := modelapi.NewFront(cfg, ready, budgets)
	d.shuttableFronts = append(d.shuttableFronts, models)
	if follower != nil {
		follower.front, follower.core = models, core
		d.configFollower = follower
		go follower.run(ctx)
	}
	return d.listen(starting, cfg.Listen, front{core: core, shutdownTiming: newCurrentShutdownTiming(shutdownTiming{acceptFor: modelAPIAcceptFor})}, downstream.Config{Handler: models.Handle,
		Problem: modelapi.Problem, MaxBody: cfg.MaxBody,
		MaxBytes: cfg.MaxBytes, MaxConns: clients})
}

// waitForStore waits until the newest configuration can be read from the store. Otherwise a router
// could start with a configuration older than that of the other routers.
func (d *daemon) waitForStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeStartTimeout)
	defer cancel()
	if d.replica != nil {
		select {
		case <-d.replica.CaughtUp():
			return nil
		case <-ctx.Done():
			return fmt.Errorf("read the newest configuration from the store: %w", ctx.Err())
		}
	}
	return askStore(ctx, func() error { return d.storeClient.CatchUp(ctx, modelapi.ConfigName) })
}

// askStore repeats a request to the store until it succeeds or ctx ends: a broken connection must
// not fail the start.
func askStore(ctx context.Context, request func() error) error {
	if err := transient.Retry(ctx, storeRetryInterval, nil, request); err != nil {
		return fmt.Errorf("read the newest configuration from the store: %w", err)
	}
	return nil
}
