package daemon

import (
	"context"
	"fmt"

	"github.com/sirupsen/logrus"

	"lichenshelf/discovery/sources"
	"lichenshelf/front/modelapi"
	"lichenshelf/front/platform"
	"lichenshelf/router"
	"lichenshelf/store"
)

// discardCore is a core that ignores discovered workers.
type discardCore struct{}

func (discardCore) Discovered([]router.Member, bool) {}

// StartSources starts the sources of a front without the front, until ctx ends. The store is
// queried over its API, at the replicas named in its file.
func StartSources(ctx context.Context, front string, files Files, log *logrus.Logger) (*sources.Feed, error) {
	if front != sources.Platform && front != sources.ModelAPI {
		return nil, fmt.Errorf("front %q is neither platform nor modelapi", front)
	}
	config, err := loadFile(files.Sources, sources.LoadConfig)
	if err != nil {
		return nil, err
	}
	storeConfig, err := loadFile(files.Store, store.LoadConfig)
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	var replicas []string
	if storeConfig != nil {
		for _, p := range storeConfig.Peers {
			replicas = append(replicas, p.API)
		}
	}
	list := config.SourcesOf(front, len(replicas) > 0 && front == sources.ModelAPI)
	for i := range list {
		if list[i].Kind == sources.KindStore && len(list[i].API) == 0 {
			list[i].API = replicas
		}
	}
	if front == sources.Platform {
		return startPlatformSources(ctx, files, config, list, log)
	}
	cfg := &modelapi.Config{}
	if files.ModelAPI != "" {
		if cfg, err = modelapi.LoadConfig(files.ModelAPI); err != nil {
			return nil, err
		}
	}
	feed := sources.NewFeed(front, discardCore{}, nil, nil, log)
	if err := feed.Apply(ctx, config, list); err != nil {
		return nil, err
	}
	return feed, reportBackends(feed, cfg)
}

func startPlatformSources(ctx context.Context, files Files, config *sources.Config, list []sources.Source, log *logrus.Logger) (*sources.Feed, error) {
	cfg, err := loadPlatform(files.Platform)
	if err != nil {
		return nil, err
	}
	feed := sources.NewFeed(sources.Platform, discardCore{}, nil, cfg, log)
	if err := feed.Apply(ctx, config, list); err != nil {
		return nil, err
	}
	watch := platform.NewWatch(cfg, ownList{feed}, log)
	watch.OnError = ownList{feed}.failed
	go watch.Run(ctx)
	return feed, nil
}
