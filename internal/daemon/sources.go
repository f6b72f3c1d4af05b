package daemon

import (
	"lichenshelf/discovery/membership"
	"lichenshelf/discovery/sources"
	"lichenshelf/discovery/storesource"
	"lichenshelf/fleet/version"
	"lichenshelf/front/modelapi"
	"lichenshelf/router"
)

// feed starts the sources of a front, between them and its core.
func (d *daemon) feed(front string, core sources.Core, names sources.Names) (*sources.Feed, error) {
	var registry storesource.Registry
	if d.replica != nil {
		registry = storesource.Replica{Replica: d.replica}
	}
	f := sources.NewFeed(front, core, registry, names, d.log)
	f.OnReport = func(source string, v uint64, own bool) {
		part := "workers/" + front + "/" + source
		if !own {
			part = version.LocalPrefix + part
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
	return c.SourcesOf(front, d.replica != nil && front == sources.ModelAPI)
}

// tellBackends reports the backends of the model API's own file.
func tellBackends(f *sources.Feed, cfg *modelapi.Config) error {
	entries, err := modelapi.Entries(cfg.Backends)
	if err != nil {
		return err
	}
	if own := f.Own(); own != nil {
		own.Report(membership.Report{Whole: true, Confirmed: true, Entries: entries})
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
