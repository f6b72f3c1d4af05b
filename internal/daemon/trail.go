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

const maxRecordText = 512 // bytes

// versionLog tracks the versions that this router acts on, and records them in the event log if
// there is one. Its methods are safe for concurrent use and do not wait for the disk.
type versionLog struct {
	mu       sync.Mutex
	tracker  *version.Tracker
	eventLog *eventlog.Writer // nil: no event log
	dir      string           // of the event log
	log      logrus.FieldLogger
	onChange func(version.Vector) // notifies the other routers; nil: no notification
}

// openEventLog opens this router's event log if the fleet's file names a directory.
func (d *daemon) openEventLog(cfg *agent.Config, life uint64) error {
	if cfg.Trail == "" {
		return nil
	}
	w, err := eventlog.Open(eventlog.Config{Dir: filepath.Join(cfg.Trail, cfg.Self), Router: cfg.Self, Incarnation: life, Bytes: cfg.TrailBytes, Count: d.counters})
	if err != nil {
		return err
	}
	d.versionLog.eventLog, d.versionLog.dir = w, filepath.Join(cfg.Trail, cfg.Self)
	d.log.WithField("trail", filepath.Join(cfg.Trail, cfg.Self)).Info("recording the event log")
	return nil
}

// recorder returns the recorder for fronts, or nil without an event log.
func (a *versionLog) recorder() agent.Recorder {
	if a.eventLog == nil {
		return nil
	}
	return recorder{a.eventLog}
}

// loanRecorder returns the recorder of loans for the fleet's agent, or nil without an event log.
func (a *versionLog) loanRecorder() func(budget.Move) {
	if a.eventLog == nil {
		return nil
	}
	kinds := map[budget.MoveKind]audit.Kind{budget.Lent: audit.Lent, budget.Returned: audit.Returned, budget.Borrowed: audit.Borrowed}
	return func(m budget.Move) {
		a.eventLog.Note(audit.Record{Kind: kinds[m.Kind], Part: m.Key, Peer: m.Router, Epoch: m.Incarnation, Number: m.Seq, Version: m.Using,
			Amount: m.Amount, Share: m.Share, Window: m.Left})
	}
}

// setFloor sets the version of a part that was acknowledged before the start. Older versions are
// refused.
func (a *versionLog) setFloor(part string, acked uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tracker.Floor(part, acked)
}

// activate switches to a version of a part, and returns the number that identifies all active
// versions.
func (a *versionLog) activate(part string, v uint64) (uint64, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	changed, err := a.tracker.Take(part, v)
	if err != nil {
		a.record(audit.Record{Kind: audit.Refused, Part: part, Version: v, Text: err.Error()})
		return a.tracker.Number(), err
	}
	if changed {
		a.record(audit.Record{Kind: audit.Taken, Part: part, Version: v, Number: a.tracker.Number()})
		if a.onChange != nil && !strings.HasPrefix(part, version.LocalPrefix) {
			a.onChange(a.tracker.Held().Shared())
		}
	}
	return a.tracker.Number(), nil
}

// observe activates a version that the router already uses, whatever it is. If it is older than the
// held one, the event log records the refusal.
func (a *versionLog) observe(part string, v uint64) {
	if _, err := a.activate(part, v); err != nil {
		a.log.WithError(err).Debug("now using an older version of " + part)
	}
}

// advanceLocal activates the next version of a part whose versions this router counts by itself.
func (a *versionLog) advanceLocal(part, text string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	part = version.LocalPrefix + part
	v := a.tracker.Held()[part] + 1
	text = text[:min(len(text), maxRecordText)]
	if _, err := a.tracker.Take(part, v); err == nil {
		a.record(audit.Record{Kind: audit.Taken, Part: part, Version: v, Number: a.tracker.Number(), Text: text})
	}
}

// remove removes a part that this router no longer acts on.
func (a *versionLog) remove(part string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tracker.Remove(part)
}

// setOnChange calls f with the versions that can be compared between routers, now and at each
// change.
func (a *versionLog) setOnChange(f func(version.Vector)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.onChange = f
	f(a.tracker.Held().Shared())
}

// held returns the versions that can be compared between routers.
func (a *versionLog) held() version.Vector {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.tracker.Held().Shared()
}

// recordRefusal records that a version was refused.
func (a *versionLog) recordRefusal(part string, v uint64, why error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.record(audit.Record{Kind: audit.Refused, Part: part, Version: v, Text: why.Error()})
}

// recordShut records that this router was shut out, or readmitted.
func (a *versionLog) recordShut(kind audit.Kind, why string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.record(audit.Record{Kind: kind, Text: why})
}

// recordAcknowledgement records that the held version was acknowledged to others.
func (a *versionLog) recordAcknowledgement(part string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tracker.Acknowledge(part)
	a.record(audit.Record{Kind: audit.Acknowledged, Part: part, Version: a.tracker.Held()[part]})
}

func (a *versionLog) record(r audit.Record) {
	if a.eventLog != nil {
		a.eventLog.Note(r)
	}
}

func (a *versionLog) close() {
	if a.eventLog == nil {
		return
	}
	if err := a.eventLog.Close(); err != nil {
		a.log.WithError(err).Warn("event log did not close cleanly")
	}
}

// recorder implements agent.Recorder on an event log.
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
