package daemon

import (
	"fmt"

	"lichenshelf/discovery/membership"
	"lichenshelf/discovery/sources"
	"lichenshelf/discovery/storesource"
	"lichenshelf/fleet/version"
	"lichenshelf/front/modelapi"
	"lichenshelf/front/platform"
	"lichenshelf/router"
)

// feed starts the sources of a front, between them and its core.
func (d *daemon) feed(front string, core sources.Core, names sources.Names) (*sources.Feed, error) {
	var registry storesource.Registry
	if d.replica != nil {
		registry = storesource.Replica{Replica: d.replica}
	}
	f := sources.NewFeed(front, core, registry, names, d.log)
	f.Took = func(source string, v uint64, own bool) {
		part := "workers/" + front + "/" + source
		if !own {
			part = version.Here + part
		}
		d.acts.follow(part, v)
	}
	if err := f.Apply(d.ctx, d.sources, d.sourcesOf(front, d.sources)); err != nil {
		return nil, err
	}
	d.feeds[front] = f
	return f, nil
}

// sourcesOf is what a front takes. The workers registered in the store have
// always been the model API's, with a file of sources or without.
func (d *daemon) sourcesOf(front string, c *sources.Config) []sources.Source {
	return c.For(front, d.replica != nil && front == sources.ModelAPI)
}

// tellBackends reports the backends of the model API's own file.
func tellBackends(f *sources.Feed, cfg *modelapi.Config) error {
	entries, err := modelapi.Entries(cfg.Backends)
	if err != nil {
		return err
	}
	if own := f.Own(); own != nil {
		own.Report(membership.Report{Whole: true, Final: true, Entries: entries})
	}
	return nil
}

// ownList hands discovery's word to whatever port its front has for it by now.
type ownList struct{ feed *sources.Feed }

func (o ownList) Discovered(members []router.Member, whole bool) {
	if own := o.feed.Own(); own != nil {
		own.Discovered(members, whole)
	}
}

func (o ownList) failed(err error) {
	if own := o.feed.Own(); own != nil {
		own.Fail(err)
	}
}

// reload reads the files again that may change while the router runs. What can't
// be read leaves things as they are.
func (d *daemon) reload() {
	if d.watch != nil {
		// Checked whole before anything is taken: a file that fails changes nothing.
		cfg, err := platform.ReadConfig(d.files.Platform)
		if err == nil {
			err = d.watch.Move(cfg)
		}
		if err != nil {
			d.log.WithError(err).Error("configuration not read again, discovery stays as it is, and so do the settings")
		} else {
			d.platCore.Retune(d.platform.Retune(cfg), cfg.Settings.MaxAttempts)
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
	if c.Takes(sources.Platform) && d.watch != nil && d.feeds[sources.Platform] == nil {
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
