package daemon

import (
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"lichenshelf/fleet/agent"
	"lichenshelf/fleet/audit"
	"lichenshelf/fleet/budget"
	"lichenshelf/fleet/eventlog"
	"lichenshelf/fleet/version"
)

const mostText = 512 // bytes of what a record says

// acts knows the versions that this router acts on, and keeps its trail if there is one. Its
// methods may be called from any goroutine and wait for no disk.
type acts struct {
	mu       sync.Mutex
	versions *version.Tracker
	trail    *eventlog.Writer // nil: none is kept
	dir      string           // where it is
	log      logrus.FieldLogger
	tell     func(version.Vector) // the other routers; nil: nobody
}

// openTrail begins this router's trail, if the fleet's file names a directory.
func (d *daemon) openTrail(cfg *agent.Config, life uint64) error {
	if cfg.Trail == "" {
		return nil
	}
	w, err := eventlog.Open(eventlog.Config{Dir: filepath.Join(cfg.Trail, cfg.Self), Router: cfg.Self, Incarnation: life, Bytes: cfg.TrailBytes, Count: d.counters})
	if err != nil {
		return err
	}
	d.acts.trail, d.acts.dir = w, filepath.Join(cfg.Trail, cfg.Self)
	d.log.WithField("trail", filepath.Join(cfg.Trail, cfg.Self)).Info("keeping a trail")
	return nil
}

// recorder is what fronts are given; nil without a trail.
func (a *acts) recorder() agent.Recorder {
	if a.trail == nil {
		return nil
	}
	return recorder{a.trail}
}

// loans is what the fleet's agent is given; nil without a trail.
func (a *acts) loans() func(budget.Move) {
	if a.trail == nil {
		return nil
	}
	kinds := map[budget.MoveKind]audit.Kind{budget.Lent: audit.Lent, budget.Returned: audit.Returned, budget.Borrowed: audit.Borrowed}
	return func(m budget.Move) {
		a.trail.Note(audit.Record{Kind: kinds[m.Kind], Part: m.Key, Peer: m.Router, Epoch: m.Incarnation, Number: m.Seq, Version: m.Using,
			Amount: m.Amount, Share: m.Share, Window: m.Left})
	}
}

// resume begins anew above what was acknowledged before the start.
func (a *acts) resume(part string, acked uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.versions.Floor(part, acked)
}

// take goes over to a version of a part, and returns the number of all that is acted on.
func (a *acts) take(part string, v uint64) (uint64, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	changed, err := a.versions.Take(part, v)
	if err != nil {
		a.note(audit.Record{Kind: audit.Refused, Part: part, Version: v, Text: err.Error()})
		return a.versions.Number(), err
	}
	if changed {
		a.note(audit.Record{Kind: audit.Taken, Part: part, Version: v, Number: a.versions.Number()})
		if a.tell != nil && !strings.HasPrefix(part, version.LocalPrefix) {
			a.tell(a.versions.Held().Shared())
		}
	}
	return a.versions.Number(), nil
}

// follow is take for what the router has gone over to already, whatever it is; an older version than was held shows in the trail.
func (a *acts) follow(part string, v uint64) {
	if _, err := a.take(part, v); err != nil {
		a.log.WithError(err).Debug("an older version of " + part)
	}
}

// count takes the next version of a part that this router counts by itself.
func (a *acts) count(part, text string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	part = version.LocalPrefix + part
	v := a.versions.Held()[part] + 1
	text = text[:min(len(text), mostText)]
	if _, err := a.versions.Take(part, v); err == nil {
		a.note(audit.Record{Kind: audit.Taken, Part: part, Version: v, Number: a.versions.Number(), Text: text})
	}
}

// leave gives up a part, which this router does not act on any more.
func (a *acts) leave(part string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.versions.Remove(part)
}

// tellOthers has f told of what can be compared with other routers' versions, now and at each change.
func (a *acts) tellOthers(f func(version.Vector)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tell = f
	f(a.versions.Held().Shared())
}

// held is what can be compared with other routers' versions.
func (a *acts) held() version.Vector {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.versions.Held().Shared()
}

// refuse notes that a version is not taken.
func (a *acts) refuse(part string, v uint64, why error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.note(audit.Record{Kind: audit.Refused, Part: part, Version: v, Text: why.Error()})
}

// shut notes that this router takes nothing new, or does again.
func (a *acts) shut(kind audit.Kind, why string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.note(audit.Record{Kind: kind, Text: why})
}

// acknowledge notes that others have been told of the held version.
func (a *acts) acknowledge(part string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.versions.Acknowledge(part)
	a.note(audit.Record{Kind: audit.Acknowledged, Part: part, Version: a.versions.Held()[part]})
}

func (a *acts) note(r audit.Record) {
	if a.trail != nil {
		a.trail.Note(r)
	}
}

func (a *acts) close() {
	if a.trail == nil {
		return
	}
	if err := a.trail.Close(); err != nil {
		a.log.WithError(err).Warn("trail not closed in good order")
	}
}

// recorder implements agent.Recorder on a trail.
type recorder struct{ *eventlog.Writer }

// Failed implements agent.Recorder.
func (r recorder) Failed(worker string, since int64, request, how string) {
	r.Note(audit.Record{Kind: audit.Failed, Worker: worker, Since: since, Request: request, Text: how})
}

// Out implements agent.Recorder.
func (r recorder) Out(worker string, since int64, out bool, grace time.Duration) {
	kind := audit.Back
	if out {
		kind = audit.Out
	}
	r.Note(audit.Record{Kind: kind, Worker: worker, Since: since, Window: grace})
}
