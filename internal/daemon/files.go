package daemon

import (
	"errors"
	"fmt"
	"os"

	"lichenshelf/discovery/sources"
	"lichenshelf/fleet/agent"
	"lichenshelf/front/modelapi"
	"lichenshelf/front/platform"
	"lichenshelf/store"
)

// Files holds the paths of the router's configuration files; an empty path is not used.
type Files struct {
	Platform, ModelAPI, Store, Sources, Fleet string
}

// configs are the configuration files as read at the start. Each is nil if its path is empty or the
// file leaves the component off.
type configs struct {
	platform *platform.Config
	modelAPI *modelapi.Config
	store    *store.Config
	fleet    *agent.Config
	sources  *sources.Config
}

// loadFile reads a configuration file. It returns nil if the path is empty.
func loadFile[C any](path string, load func(path string) (*C, error)) (*C, error) {
	if path == "" {
		return nil, nil
	}
	return load(path)
}

func loadPlatform(path string) (*platform.Config, error) { return platform.LoadConfig(path, os.Getenv) }

// load reads and checks all files, so that an invalid one ends the start before anything is started.
func (f *Files) load() (c configs, err error) {
	if c.sources, err = loadFile(f.Sources, sources.LoadConfig); err != nil {
		return c, fmt.Errorf("sources: %w", err)
	}
	if c.store, err = loadFile(f.Store, store.LoadConfig); err != nil {
		return c, fmt.Errorf("start the store: %w", err)
	}
	if c.store != nil && c.store.ID == "" && len(c.store.Follow) == 0 {
		c.store = nil
	}
	if c.fleet, err = loadFile(f.Fleet, agent.LoadConfig); err != nil {
		return c, fmt.Errorf("start the fleet agent: %w", err)
	}
	if c.fleet != nil && c.fleet.Fleet == "" {
		c.fleet = nil
	}
	if c.platform, err = loadFile(f.Platform, loadPlatform); err != nil {
		return c, fmt.Errorf("start the platform's front: %w", err)
	}
	if c.modelAPI, err = loadFile(f.ModelAPI, modelapi.LoadConfig); err != nil {
		return c, fmt.Errorf("start the model API: %w", err)
	}
	if c.modelAPI != nil && c.modelAPI.Listen == "" {
		c.modelAPI = nil
	}
	if c.platform == nil && c.modelAPI == nil && (c.store == nil || c.store.ID == "") {
		return c, errors.New("nothing to serve: --config FILE (or ROUTER_CONFIG) starts the platform's front, " +
			"--modelapi FILE with listen set the model API, --store FILE with id set the store")
	}
	return c, nil
}
