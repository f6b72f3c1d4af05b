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

// signals holds the handled signals. Each kind has its own channel with a buffer of one: further
// signals of a kind add nothing, and none can displace a termination signal.
type signals struct {
	terminate chan os.Signal // SIGTERM, SIGINT
	reload    chan os.Signal // SIGHUP
	counters  chan os.Signal // SIGUSR1
}

func listenForSignals() signals {
	s := signals{make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1)}
	signal.Notify(s.terminate, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Notify(s.counters, syscall.SIGUSR1)
	return s
}

func (s signals) stop() {
	for _, c := range []chan os.Signal{s.terminate, s.reload, s.counters} {
		signal.Stop(c)
	}
}

// onEach calls do after each signal, one call at a time, until ctx ends.
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

// reload rereads the files that may change while the router runs. If a file cannot be read, what it
// configures stays unchanged.
func (d *daemon) reload() {
	if d.watch != nil {
		// The whole file is checked before anything is applied: a file that fails changes nothing.
		cfg, err := platform.ReadConfig(d.files.Platform)
		if err == nil {
			err = d.watch.SwitchDiscovery(cfg)
		}
		if err != nil {
			d.log.WithError(err).Error("configuration not reloaded, discovery stays as it is, and so do the settings")
		} else {
			rules, publish := d.platform.Retune(cfg)
			d.platformCore.Retune(rules, cfg.Settings.MaxAttempts)
			publish()
			// The platform kills the process after the longest deadline, which may have changed.
			d.shutdownTiming.set(d.initialShutdownTiming.earlier(platformShutdownTiming(cfg)))
			d.log.WithField("classes", len(cfg.Settings.Classes)).Info("settings read again")
		}
	}
	if d.files.Sources != "" {
		if err := d.reloadSources(); err != nil {
			d.log.WithError(err).Error("sources not reloaded, the previous ones stay in use")
		}
	}
	if d.modelAPIFile() != nil {
		cfg, err := modelapi.LoadConfig(d.files.ModelAPI)
		if err == nil {
			err = d.reportModelAPIBackends(cfg)
		}
		if err != nil {
			d.log.WithError(err).Error("backends not reloaded, the previous list stays in use")
			return
		}
		d.log.WithField("backends", len(cfg.Backends)).Info("backends read again")
	}
}

// reloadSources applies the current content of the file, at all fronts or at none.
func (d *daemon) reloadSources() error {
	c, err := sources.LoadConfig(d.files.Sources)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.HasSourcesFor(sources.Platform) && d.watch != nil && d.feeds[sources.Platform] == nil {
		return fmt.Errorf("%s: the platform's front was started without sources; a restart is needed to add them", d.files.Sources)
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
