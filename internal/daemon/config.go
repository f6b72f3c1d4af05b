package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"path"
	"sync"
	"time"

	"lichenshelf/fleet/node"
	"lichenshelf/front/modelapi"
	"lichenshelf/router"
	"lichenshelf/store"
)

const (
	// acksPath is the parent of the acknowledgements, which are at acksPath/CONFIGURATION/ROUTER.
	acksPath         = "/acks"
	ackTimeout       = 5 * time.Second
	ackRetryInterval = time.Second
)

// storeChecks holds the configurations that may be published, with their checks.
var storeChecks = store.Checks{modelapi.ConfigName: modelapi.CheckText}

// Ack is a router's acknowledgement of the configuration version that it uses.
type Ack struct {
	Router  string `json:"router"`
	Version uint64 `json:"version"`
	// Number identifies all versions that the router acts on, as in its event log.
	Number  uint64   `json:"number"`
	Restart []string `json:"restart,omitempty"` // keys that take effect at its next start
	Fault   string   `json:"fault,omitempty"`   // why a later version was refused
	Refused uint64   `json:"refused,omitempty"` // the refused version
	TimeMs  int64    `json:"time_ms"`
}

// AckPath returns the path of a router's acknowledgement of a configuration.
func AckPath(config, router string) string { return path.Join(acksPath, config, router) }

// storeClient is the access of a router to the store: its own replica, or other replicas over their
// API.
type storeClient interface {
	ID() string
	Latest(config string) store.Revision
	// CatchUp fails if the newest version of a configuration cannot be determined.
	CatchUp(ctx context.Context, config string) error
	// Follow returns a channel that is closed at the next version of a configuration.
	Follow(config string) (changed <-chan struct{}, stop func(), err error)
	// Revisions returns the retained versions of a configuration, oldest first.
	Revisions(config string) ([]store.Revision, error)
	Get(path string) ([]byte, store.Stat, error)
	CompareAndSet(ctx context.Context, path string, data []byte, version int64) error
	CreateAll(ctx context.Context, path string, data []byte) error
	DeleteIfExists(ctx context.Context, path string) error
}

// ownReplica is the replica of this process as a storeClient.
type ownReplica struct{ *store.Replica }

func (r ownReplica) CatchUp(ctx context.Context, _ string) error { return r.Replica.CatchUp(ctx) }

func (r ownReplica) Revisions(config string) ([]store.Revision, error) {
	return r.Published(config), nil
}

func (r ownReplica) Follow(config string) (<-chan struct{}, func(), error) {
	w, err := r.Watch(path.Join("/config", config))
	if err != nil {
		return nil, nil, err
	}
	return w.Changed(), w.Stop, nil
}

// configFollower follows the model API's configuration in the store and applies each version to the
// running front.
type configFollower struct {
	d          *daemon
	front      *modelapi.Front
	core       *router.Core
	fileConfig modelapi.Config // from the file; each published version overrides it
	cfg        *modelapi.Config
	ackPath    string
	retry      chan struct{}  // retries a refused version
	received   chan node.Text // from another router

	mu  sync.Mutex // guards ack, which the run goroutine changes and others read
	ack Ack
}

const configPart = "config/" + modelapi.ConfigName

// newConfigFollower returns a follower whose configuration is the file's, overridden by the one in
// the store if there is one. It reads this router's last acknowledgement first: the router does not
// use a lower version than it has acknowledged, which would contradict it.
func (d *daemon) newConfigFollower(ctx context.Context, file *modelapi.Config) (*configFollower, error) {
	ctx, cancel := context.WithTimeout(ctx, storeStartTimeout)
	defer cancel()
	p := &configFollower{d: d, fileConfig: *file, ackPath: AckPath(modelapi.ConfigName, d.storeClient.ID()), ack: Ack{Router: d.storeClient.ID()}, retry: make(chan struct{}, 1), received: make(chan node.Text, 1)}
	acknowledged, err := p.readAck(ctx)
	if err != nil {
		return nil, err
	}
	latest, err := d.readLatest(ctx, acknowledged)
	if err != nil {
		return nil, err
	}
	d.versionLog.setFloor(configPart, acknowledged)
	first, err := p.selectFirst(latest, acknowledged)
	if err != nil {
		return nil, err
	}
	if p.ack.Number, err = d.versionLog.activate(configPart, first.Version); err != nil {
		return nil, fmt.Errorf("configuration %s in the store: %w: the store's data may be older than this router", modelapi.ConfigName, err)
	}
	p.ack.Version = first.Version
	return p, nil
}

// readAck returns the version that a previous process of this router has acknowledged; 0 means none.
func (p *configFollower) readAck(ctx context.Context) (uint64, error) {
	text, err := p.d.readNode(ctx, p.ackPath)
	if err != nil || text == nil {
		return 0, err
	}
	var previous Ack
	if err := json.Unmarshal(text, &previous); err != nil {
		p.d.log.WithError(err).WithField("node", p.ackPath).Warn("own acknowledgement is malformed, ignored")
	}
	return previous.Version, nil
}

// readLatest returns the newest configuration in the store. One that was never published has
// version 0.
func (d *daemon) readLatest(ctx context.Context, acknowledged uint64) (store.Revision, error) {
	latest := d.storeClient.Latest(modelapi.ConfigName)
	// The previous process acknowledged a version that was published after the store was read.
	if latest.Version < acknowledged {
		if err := askStore(ctx, func() error { return d.storeClient.CatchUp(ctx, modelapi.ConfigName) }); err != nil {
			return latest, err
		}
		latest = d.storeClient.Latest(modelapi.ConfigName)
	}
	if latest.Version == 0 { // never published: the node may have been set by hand
		text, err := d.readNode(ctx, modelapi.ConfigPath)
		if err != nil {
			return latest, err
		}
		latest.Text = string(text)
	}
	return latest, nil
}

// selectFirst sets the configuration to start with, and returns its version: the latest, or if this
// router's file does not go with it the one that the router has acknowledged, or the file's if it
// has acknowledged none.
func (p *configFollower) selectFirst(latest store.Revision, acknowledged uint64) (store.Revision, error) {
	cfg, refused := p.override(latest.Text)
	if refused == nil {
		p.cfg = cfg
		return latest, nil
	}
	p.refuse(latest.Version, refused)
	if acknowledged == 0 {
		p.cfg, _ = p.override("")
		return store.Revision{}, nil
	}
	if acknowledged < latest.Version {
		revision, err := p.d.readRevision(acknowledged)
		if err != nil {
			return revision, err
		}
		if p.cfg, err = p.override(revision.Text); err == nil {
			return revision, nil
		}
	}
	return store.Revision{}, fmt.Errorf("neither version %d nor the acknowledged version %d goes with this router's file: %w", latest.Version, acknowledged, refused)
}

// override returns the file's configuration, overridden by a text.
func (p *configFollower) override(text string) (*modelapi.Config, error) {
	cfg := p.fileConfig
	if err := cfg.Override(text); err != nil {
		return nil, err
	}
	return &cfg, nil
}

// refuse records that a version does not go with this router's file.
func (p *configFollower) refuse(version uint64, why error) {
	p.acknowledgeFault(version, why)
	p.d.versionLog.recordRefusal(configPart, version, why)
}

// acknowledgeFault logs that a version was not applied, and adds it to the acknowledgement.
func (p *configFollower) acknowledgeFault(version uint64, why error) {
	p.d.log.WithError(why).WithField("configuration", modelapi.ConfigName).WithField("version", version).Error("published configuration not applied, the previous one stays in use")
	p.updateAck(func(a *Ack) { a.Fault, a.Refused = why.Error(), version })
}

// readRevision returns a retained version of the configuration.
func (d *daemon) readRevision(version uint64) (store.Revision, error) {
	revisions, err := d.storeClient.Revisions(modelapi.ConfigName)
	if err != nil {
		return store.Revision{}, err
	}
	for _, r := range revisions {
		if r.Version == version {
			return r, nil
		}
	}
	return store.Revision{}, fmt.Errorf("%w: %s, version %d", store.ErrNoRevision, modelapi.ConfigName, version)
}

// readNode reads a node, with retries until ctx ends. It returns nil if the node does not exist.
func (d *daemon) readNode(ctx context.Context, path string) (text []byte, err error) {
	err = askStore(ctx, func() error {
		text, _, err = d.storeClient.Get(path)
		if errors.Is(err, store.ErrNoNode) {
			text, err = nil, nil
		} else if err == nil && text == nil {
			text = []byte{}
		}
		return err
	})
	return text, err
}

// version returns the version that this router uses.
func (p *configFollower) version() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ack.Version
}

// retryRefused makes the follower try a refused version again.
func (p *configFollower) retryRefused() {
	select {
	case p.retry <- struct{}{}:
	default:
	}
}

// offer passes a text received from another router to the follower. If one is pending already, the
// text is dropped, as it will be requested again.
func (p *configFollower) offer(t node.Text) {
	select {
	case p.received <- t:
	default:
	}
}

func (p *configFollower) updateAck(f func(*Ack)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(&p.ack)
}

// run applies published versions until ctx ends.
func (p *configFollower) run(ctx context.Context) {
	log := p.d.log.WithField("configuration", modelapi.ConfigName)
	for acknowledged := p.ack.Version == 0 && p.ack.Refused == 0; ctx.Err() == nil; {
		changed, stop, err := p.d.storeClient.Follow(modelapi.ConfigName)
		if err != nil {
			log.WithError(err).Error("cannot follow published configurations")
			return
		}
		r := p.d.storeClient.Latest(modelapi.ConfigName)
		if p.d.fleet != nil && r.Version > 0 {
			p.d.fleet.SetText(node.Text{Part: configPart, Version: r.Version, Text: r.Text})
		}
		if r.Version > p.ack.Version && r.Version != p.ack.Refused {
			p.apply(r)
			acknowledged = false
		}
		ackRetry := (<-chan time.Time)(nil)
		if !acknowledged {
			if acknowledged = p.acknowledge(ctx) == nil; !acknowledged {
				ackRetry = time.After(ackRetryInterval)
			}
		}
		select {
		case <-changed:
		case <-ackRetry:
		case <-p.retry:
			p.updateAck(func(a *Ack) { a.Refused = 0 })
		case t := <-p.received:
			if t.Version > p.ack.Version && t.Version != p.ack.Refused {
				log.WithField("version", t.Version).Warn("store not reachable, applying the published configuration received from another router")
				p.apply(store.Revision{Version: t.Version, Text: t.Text})
				acknowledged = false
			}
		case <-ctx.Done():
		}
		stop()
	}
}

// apply applies a version. If it is refused, the previous version stays in use and the reason is
// recorded.
func (p *configFollower) apply(r store.Revision) {
	log := p.d.log.WithField("configuration", modelapi.ConfigName).WithField("version", r.Version)
	next, err := p.override(r.Text)
	if err != nil {
		p.refuse(r.Version, err)
		return
	}
	number, err := p.d.versionLog.activate(configPart, r.Version)
	if err != nil {
		p.acknowledgeFault(r.Version, err) // activate has recorded the refusal
		return
	}
	var restart []string
	p.cfg, restart = p.cfg.Applied(next, p.d.fleet != nil)
	if p.d.fleet != nil {
		p.d.setQuotas(p.cfg)
	}
	settings := p.cfg.Settings()
	p.core.Retune(settings.Classes, settings.MaxAttempts)
	p.front.SetConfig(p.cfg)
	p.updateAck(func(a *Ack) { *a = Ack{Router: a.Router, Version: r.Version, Number: number, Restart: restart} })
	log.WithField("restart", restart).Info("published configuration applied")
}

// writeAck replaces the stored acknowledgement by compare-and-set, unless the stored one is for a
// later version. A write with an unknown outcome, also one of a previous process, may be applied
// much later and must not overwrite a newer acknowledgement.
func (p *configFollower) writeAck(ctx context.Context, text []byte) error {
	old, stat, err := p.d.storeClient.Get(p.ackPath)
	if errors.Is(err, store.ErrNoNode) {
		return p.d.storeClient.CreateAll(ctx, p.ackPath, text)
	}
	if err != nil {
		return err
	}
	var stored Ack
	if json.Unmarshal(old, &stored) == nil && stored.Version > p.ack.Version {
		return fmt.Errorf("router %s has acknowledged version %d, this process uses version %d", p.ack.Router, stored.Version, p.ack.Version)
	}
	return p.d.storeClient.CompareAndSet(ctx, p.ackPath, text, stat.Version)
}

// acknowledge writes the version that this router uses to the store.
func (p *configFollower) acknowledge(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	p.updateAck(func(a *Ack) { a.TimeMs = time.Now().UnixMilli() })
	text, err := json.Marshal(p.ack)
	if err == nil {
		err = p.writeAck(ctx, text)
	}
	if err != nil {
		p.d.log.WithError(err).Warn("version not acknowledged yet")
		return err
	}
	p.d.versionLog.recordAcknowledgement(configPart)
	return nil
}
