package daemon

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"lichenshelf/discovery/sources"
	"lichenshelf/front/modelapi"
	"lichenshelf/front/platform"
)

// signals are those that the program hears. Each kind has a channel of its own with room for one: more of a kind at a time
// say nothing new, and none of them can take the place of an end.
type signals struct {
	end      chan os.Signal // SIGTERM, SIGINT
	reload   chan os.Signal // SIGHUP
	counters chan os.Signal // SIGUSR1
}

func listenForSignals() signals {
	s := signals{make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1)}
	signal.Notify(s.end, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Notify(s.counters, syscall.SIGUSR1)
	return s
}

func (s signals) stop() {
	for _, c := range []chan os.Signal{s.end, s.reload, s.counters} {
		signal.Stop(c)
	}
}

// onEach runs do after each signal, one at a time, until ctx ends.
func onEach(ctx context.Context, signals <-chan os.Signal, do func()) {
	for {
		select {
		case <-signals:
			do()
		case <-ctx.Done():
			return
		}
	}
}

// reload reads the files again that may change while the router runs. What can't
// be read leaves things as they are.
func (d *daemon) reload() {
	if d.watch != nil {
		// Checked whole before anything is taken: a file that fails changes nothing.
		cfg, err := platform.ReadConfig(d.files.Platform)
		if err == nil {
			err = d.watch.SwitchDiscovery(cfg)
		}
		if err != nil {
			d.log.WithError(err).Error("configuration not read again, discovery stays as it is, and so do the settings")
		} else {
			rules, publish := d.platform.Retune(cfg)
			d.platCore.Retune(rules, cfg.Settings.MaxAttempts)
			publish()
			// The kill after a SIGTERM goes by the longest deadline, which may be another one now.
			d.endings.set(d.atStart.sooner(platformEnding(cfg)))
			d.log.WithField("classes", len(cfg.Settings.Classes)).Info("settings read again")
		}
	}
	if d.files.Sources != "" {
		if err := d.reloadSources(); err != nil {
			d.log.WithError(err).Error("sources not read again, the old ones stay")
		}
	}
	if feed := d.feeds[sources.ModelAPI]; feed != nil {
		cfg, err := modelapi.LoadConfig(d.files.ModelAPI)
		if err == nil {
			err = tellBackends(feed, cfg)
		}
		if err != nil {
			d.log.WithError(err).Error("backends not read again, the old list stays")
			return
		}
		d.log.WithField("backends", len(cfg.Backends)).Info("backends read again")
	}
}

// reloadSources goes over to what the file says now, at all fronts or at none.
func (d *daemon) reloadSources() error {
	c, err := sources.LoadConfig(d.files.Sources)
	if err != nil {
		return err
	}
	if c.HasSourcesFor(sources.Platform) && d.watch != nil && d.feeds[sources.Platform] == nil {
		return fmt.Errorf("%s: the platform's front has started without sources and takes them from its next start on", d.files.Sources)
	}
	for front, f := range d.feeds {
		if err := f.Check(c, d.sourcesOf(front, c)); err != nil {
			return err
		}
	}
	for front, f := range d.feeds {
		if err := f.Apply(d.ctx, c, d.sourcesOf(front, c)); err != nil {
			return err
		}
	}
	d.sources = c
	d.log.WithField("sources", len(c.Sources)).Info("sources read again")
	return nil
}
