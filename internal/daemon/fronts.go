package daemon

import (
	"lichenshelf/discovery/sources"
	"lichenshelf/front/modelapi"
)

// addFront registers a front, so that stop waits for it.
func (d *daemon) addFront(f front) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopping.Load() {
		return errStopping
	}
	d.fronts = append(d.fronts, f)
	return nil
}

// addShuttable registers a front that setShut affects.
func (d *daemon) addShuttable(f shuttableFront) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shuttableFronts = append(d.shuttableFronts, f)
	f.Shut(d.shut)
}

// setShut makes all fronts refuse new requests, or accept them again, also those that start later.
func (d *daemon) setShut(shut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shut = shut
	for _, f := range d.shuttableFronts {
		f.Shut(shut)
	}
}

// follower returns the follower of the published configuration, nil until the model API has started
// with a store.
func (d *daemon) follower() *configFollower {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.configFollower
}

func (d *daemon) setFollower(f *configFollower) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.configFollower = f
}

// modelAPIFile returns the model API's file as last read, nil if the model API is off.
func (d *daemon) modelAPIFile() *modelapi.Config {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.configs.modelAPI
}

// reportModelAPIBackends reports the backends of the model API's file, if the model API has started.
// A file that has been read again replaces the previous one; nil means that it has not.
func (d *daemon) reportModelAPIBackends(file *modelapi.Config) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if file != nil {
		file.Listen = d.configs.modelAPI.Listen
		d.configs.modelAPI = file
	}
	if feed := d.feeds[sources.ModelAPI]; feed != nil {
		return reportBackends(feed, d.configs.modelAPI)
	}
	return nil
}
