package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"lichenshelf/discovery/sources"
	"lichenshelf/downstream"
	"lichenshelf/front/modelapi"
	"lichenshelf/internal/transient"
	"lichenshelf/logic"
)

// modelAPIAcceptFor is how long after SIGTERM the model API accepts new client connections.
const modelAPIAcceptFor = 30 * time.Second

// The pauses between attempts to start the model API.
const (
	minModelAPIRetry = time.Second
	maxModelAPIRetry = 30 * time.Second
)

// startModelAPIFromStore starts the model API with the newest configuration in the store. Until the
// store can be read, and after any error, it tries again: the other components need no model API.
func (d *daemon) startModelAPIFromStore(ctx context.Context) {
	retryable := func(err error) bool {
		if ctx.Err() != nil || errors.Is(err, errStopping) {
			return false
		}
		d.log.WithError(err).Error("model API not started yet, retrying")
		return true
	}
	_ = transient.RetryWithBackoff(ctx, minModelAPIRetry, maxModelAPIRetry, retryable, func() error { return d.tryModelAPIFromStore(ctx) })
}

func (d *daemon) tryModelAPIFromStore(ctx context.Context) error {
	if err := d.waitForStore(ctx); err != nil {
		return err
	}
	file := d.modelAPIFile()
	follower, err := d.newConfigFollower(ctx, file)
	if err != nil {
		return err
	}
	l, err := d.openForClients(ctx, file.Listen)
	if err != nil {
		return err
	}
	return d.serveModelAPI(ctx, follower.cfg, follower, l)
}

// serveModelAPI starts the model API with a configuration, which a follower then keeps up to date
// unless it is nil.
func (d *daemon) serveModelAPI(ctx context.Context, cfg *modelapi.Config, follower *configFollower, l net.Listener) error {
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
	if err == nil {
		err = d.reportModelAPIBackends(nil)
	}
	if err != nil {
		return errors.Join(err, l.Close())
	}
	ready := func() bool { return feed.Ready() && !d.stopping.Load() }
	models := modelapi.NewFront(cfg, ready, budgets)
	d.addShuttable(models)
	if follower != nil {
		follower.front, follower.core = models, core
		d.setFollower(follower)
		go follower.run(ctx)
	}
	err = d.serve(l, front{core: core, shutdownTiming: newCurrentShutdownTiming(shutdownTiming{acceptFor: modelAPIAcceptFor})}, downstream.Config{Handler: models.Handle,
		Problem: modelapi.Problem, MaxBody: cfg.MaxBody,
		MaxBytes: cfg.MaxBytes, MaxRequestBytes: int64(cfg.MaxOpen) * downstream.RequestMemory, MaxConns: clients})
	d.modelAPIServing.Store(err == nil)
	return err
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
