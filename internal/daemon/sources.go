package daemon

import (
	"lichenshelf/discovery/membership"
	"lichenshelf/discovery/sources"
	"lichenshelf/discovery/storesource"
	"lichenshelf/fleet/version"
	"lichenshelf/front/modelapi"
	"lichenshelf/router"
)

// registry returns the access of sources to this router's replica, nil if it holds none.
func (d *daemon) registry() storesource.Registry {
	if d.replica == nil {
		return nil
	}
	return storesource.Replica{Replica: d.replica}
}

// checkSources checks the sources of a front that has not started.
func (d *daemon) checkSources(front string, names sources.Names) error {
	return sources.NewFeed(front, discardCore{}, d.registry(), names, d.log).Check(d.configs.sources, d.sourcesOf(front, d.configs.sources))
}

// startFeed starts the sources of a front, which report to its core.
func (d *daemon) startFeed(front string, core sources.Core, names sources.Names) (*sources.Feed, error) {
	f := sources.NewFeed(front, core, d.registry(), names, d.log)
	f.OnReport = func(source string, v uint64, own bool) {
		part := "workers/" + front + "/" + source
		if !own {
			part = version.LocalPrefix + part
		}
		d.versionLog.observe(part, v)
	}
	// The lock keeps a reload from replacing the sources meanwhile.
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := f.Apply(d.ctx, d.sources, d.sourcesOf(front, d.sources)); err != nil {
		return nil, err
	}
	d.feeds[front] = f
	return f, nil
}

// sourcesOf returns the sources of a front. The workers registered in the store belong to the model
// API, with a file of sources or without.
func (d *daemon) sourcesOf(front string, c *sources.Config) []sources.Source {
	return c.SourcesOf(front, d.replica != nil && front == sources.ModelAPI)
}

// reportBackends reports the backends of the model API's own file.
func reportBackends(f *sources.Feed, cfg *modelapi.Config) error {
	entries, err := modelapi.Entries(cfg.Backends)
	if err != nil {
		return err
	}
	if own := f.Own(); own != nil {
		own.Report(membership.Report{Whole: true, Confirmed: true, Entries: entries})
	}
	return nil
}

// ownList forwards discovery's list to the port of the front's own list in a feed. A reload may
// replace that port, so it is looked up for each list.
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
