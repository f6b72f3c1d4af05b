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
	acksPath = "/acks" // below it: a node for each configuration, below that one for each router
	ackWait  = 5 * time.Second
	ackAgain = time.Second
)

// storeChecks are the configurations that may be published.
var storeChecks = store.Checks{modelapi.ConfigName: modelapi.CheckText}

// Ack is what a router says of the version that it goes by.
type Ack struct {
	Router  string   `json:"router"`
	Version uint64   `json:"version"`
	Number  uint64   `json:"number"`            // of all that it acts on, as its trail names it
	Restart []string `json:"restart,omitempty"` // keys that count from its next start on
	Fault   string   `json:"fault,omitempty"`   // why a later version was not taken
	Refused uint64   `json:"refused,omitempty"` // that version
	TimeMs  int64    `json:"time_ms"`
}

// AckPath is where a router's word on a configuration stands.
func AckPath(config, router string) string { return path.Join(acksPath, config, router) }

// records is what a router needs of the store: of its own replica, or of others' over their API.
type records interface {
	ID() string
	Latest(config string) store.Revision
	// CatchUp fails where it can't be told what is newest of a configuration.
	CatchUp(ctx context.Context, config string) error
	// Follow returns a channel that is closed at the next version of a configuration.
	Follow(config string) (changed <-chan struct{}, stop func(), err error)
	Get(path string) ([]byte, store.Stat, error)
	CompareAndSet(ctx context.Context, path string, data []byte, version int64) error
	CreateAll(ctx context.Context, path string, data []byte) error
	DeleteIfExists(ctx context.Context, path string) error
}

// ownReplica is the replica of this process as records.
type ownReplica struct{ *store.Replica }

func (r ownReplica) CatchUp(ctx context.Context, _ string) error { return r.Replica.CatchUp(ctx) }

func (r ownReplica) Follow(config string) (<-chan struct{}, func(), error) {
	w, err := r.Watch(path.Join("/config", config))
	if err != nil {
		return nil, nil, err
	}
	return w.Changed(), w.Stop, nil
}

// published follows the model API's configuration in the store and applies it to the front
// as it runs.
type published struct {
	d     *daemon
	front *modelapi.Front
	core  *router.Core
	file  modelapi.Config // the file's, over which each version is laid
	cfg   *modelapi.Config
	path  string
	kick  chan struct{}  // to try again what was refused
	given chan node.Text // by another router

	mu  sync.Mutex // held where what the goroutine that follows has said is changed
	ack Ack
}

const configPart = "config/" + modelapi.ConfigName

// newPublished lays the configuration that the store holds over the file's, if it holds one,
// and reads what this router has acknowledged before it was started: it does not go below
// that, or it would act on what it has said to be over.
func (d *daemon) newPublished(ctx context.Context, cfg *modelapi.Config) (*published, error) {
	ctx, cancel := context.WithTimeout(ctx, storeWait)
	defer cancel()
	p := &published{d: d, file: *cfg, cfg: cfg, path: AckPath(modelapi.ConfigName, d.records.ID()), ack: Ack{Router: d.records.ID()}, kick: make(chan struct{}, 1), given: make(chan node.Text, 1)}
	var before Ack
	text, err := d.read(ctx, p.path)
	if err != nil {
		return nil, err
	}
	if text != nil {
		if err := json.Unmarshal(text, &before); err != nil {
			d.log.WithError(err).WithField("node", p.path).Warn("own acknowledgement makes no sense, passed over")
		}
	}
	latest := d.records.Latest(modelapi.ConfigName)
	if latest.Version < before.Version { // published, and acknowledged by the process before this one, since it was asked for
		if err := tell(ctx, func() error { return d.records.CatchUp(ctx, modelapi.ConfigName) }); err != nil {
			return nil, err
		}
		latest = d.records.Latest(modelapi.ConfigName)
	}
	if latest.Version == 0 { // never published: somebody may have set the node by hand
		text, err := d.read(ctx, modelapi.ConfigPath)
		if err != nil {
			return nil, err
		}
		latest.Text = string(text)
	}
	d.acts.resume(configPart, before.Version)
	if p.ack.Number, err = d.acts.take(configPart, latest.Version); err != nil {
		return nil, fmt.Errorf("the store's configuration %s: %w: its data may be older than this router", modelapi.ConfigName, err)
	}
	p.ack.Version = latest.Version
	return p, cfg.Override(latest.Text)
}

// read reads a node, as often as it takes until ctx ends; nil if there is none.
func (d *daemon) read(ctx context.Context, path string) (text []byte, err error) {
	err = tell(ctx, func() error {
		text, _, err = d.records.Get(path)
		if errors.Is(err, store.ErrNoNode) {
			text, err = nil, nil
		} else if err == nil && text == nil {
			text = []byte{}
		}
		return err
	})
	return text, err
}

// version is what this router goes by.
func (p *published) version() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ack.Version
}

// again has what was refused tried once more.
func (p *published) again() {
	select {
	case p.kick <- struct{}{}:
	default:
	}
}

// give hands in a text that another router gave. One that finds another waiting is dropped: it is asked for again.
func (p *published) give(t node.Text) {
	select {
	case p.given <- t:
	default:
	}
}

func (p *published) change(f func(*Ack)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(&p.ack)
}

// follow applies what is published until ctx ends.
func (p *published) follow(ctx context.Context) {
	log := p.d.log.WithField("configuration", modelapi.ConfigName)
	for told := p.ack.Version == 0; ctx.Err() == nil; {
		changed, stop, err := p.d.records.Follow(modelapi.ConfigName)
		if err != nil {
			log.WithError(err).Error("published configurations can't be followed")
			return
		}
		r := p.d.records.Latest(modelapi.ConfigName)
		if p.d.fleet != nil && r.Version > 0 {
			p.d.fleet.SetText(node.Text{Part: configPart, Version: r.Version, Text: r.Text})
		}
		if r.Version > p.ack.Version && r.Version != p.ack.Refused {
			p.take(r)
			told = false
		}
		again := (<-chan time.Time)(nil)
		if !told {
			if told = p.acknowledge(ctx) == nil; !told {
				again = time.After(ackAgain)
			}
		}
		select {
		case <-changed:
		case <-again:
		case <-p.kick:
			p.change(func(a *Ack) { a.Refused = 0 })
		case t := <-p.given:
			if t.Version > p.ack.Version && t.Version != p.ack.Refused {
				log.WithField("version", t.Version).Warn("the store can't be asked: the published configuration comes from another router")
				p.take(store.Revision{Version: t.Version, Text: t.Text})
				told = false
			}
		case <-ctx.Done():
		}
		stop()
	}
}

// take applies a version, or says why not; the one before stays then.
func (p *published) take(r store.Revision) {
	log := p.d.log.WithField("configuration", modelapi.ConfigName).WithField("version", r.Version)
	next := p.file
	if err := next.Override(r.Text); err != nil {
		log.WithError(err).Error("published configuration not taken, the one before stays")
		p.change(func(a *Ack) { a.Fault, a.Refused = err.Error(), r.Version })
		p.d.acts.refuse(configPart, r.Version, err)
		return
	}
	number, err := p.d.acts.take(configPart, r.Version)
	if err != nil {
		log.WithError(err).Error("published configuration not taken, the one before stays")
		p.change(func(a *Ack) { a.Fault, a.Refused = err.Error(), r.Version })
		return
	}
	var restart []string
	p.cfg, restart = p.cfg.Applied(&next, p.d.fleet != nil)
	if p.d.fleet != nil {
		p.d.setQuotas(p.cfg)
	}
	settings := p.cfg.Settings()
	p.core.Retune(settings.Classes, settings.MaxAttempts)
	p.front.SetConfig(p.cfg)
	p.change(func(a *Ack) { *a = Ack{Router: a.Router, Version: r.Version, Number: number, Restart: restart} })
	log.WithField("restart", restart).Info("published configuration taken")
}

// write puts the acknowledgement in the place of the one that is there, which is not of a later version: a call whose outcome
// is not known may be applied long after, also one of a process before this one, and must not take back what was said since.
func (p *published) write(ctx context.Context, text []byte) error {
	old, stat, err := p.d.records.Get(p.path)
	if errors.Is(err, store.ErrNoNode) {
		return p.d.records.CreateAll(ctx, p.path, text)
	}
	if err != nil {
		return err
	}
	var said Ack
	if json.Unmarshal(old, &said) == nil && said.Version > p.ack.Version {
		return fmt.Errorf("%s acknowledges version %d there, this process goes by %d", p.ack.Router, said.Version, p.ack.Version)
	}
	return p.d.records.CompareAndSet(ctx, p.path, text, stat.Version)
}

// acknowledge tells the store what this router goes by.
func (p *published) acknowledge(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, ackWait)
	defer cancel()
	p.change(func(a *Ack) { a.TimeMs = time.Now().UnixMilli() })
	text, err := json.Marshal(p.ack)
	if err == nil {
		err = p.write(ctx, text)
	}
	if err != nil {
		p.d.log.WithError(err).Warn("version not acknowledged yet")
		return err
	}
	p.d.acts.acknowledge(configPart)
	return nil
}
