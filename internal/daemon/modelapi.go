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

// takeModelAPI is how long after SIGTERM the model API goes on, while clients come.
const takeModelAPI = 30 * time.Second

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
		case <-d.replica.CaughtUp():
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
