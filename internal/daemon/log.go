package daemon

import (
	"bytes"
	"context"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"lichenshelf/internal/logwriter"
)

// isolateLog keeps a failing log from ending the process, and counts dropped log entries.
func (d *daemon) isolateLog() {
	signal.Ignore(syscall.SIGPIPE) // a pipe without a reader fails only the write
	if w, ok := d.log.Out.(*logwriter.Writer); ok {
		w.OnDrop(func() { d.counters.Add("log_entries_dropped", 1) })
	}
}

// printCounters writes all counters to the log in one write.
func (d *daemon) printCounters() {
	var text bytes.Buffer
	err := d.counters.Print(&text)
	if err == nil {
		_, err = d.log.Out.Write(text.Bytes())
	}
	if err != nil {
		d.log.WithError(err).Warn("counters not printed")
	}
}

const (
	// latenessInterval is the interval at which the process measures how late it runs.
	latenessInterval = 100 * time.Millisecond
	// latenessThreshold is the lateness from which the process counts and logs it: a third of the
	// slack that the platform allows for held read state, half of which is meant for a process that
	// is stalled.
	latenessThreshold = 100 * time.Millisecond
	// latenessLogInterval is the minimum interval between two log lines about lateness.
	latenessLogInterval = time.Second
)

// watchLateness counts and logs when the process runs late, because it lacks processor time or was
// stopped. Without that, delays of this process look like delays of its workers or clients.
func (d *daemon) watchLateness(ctx context.Context) {
	due := time.Now().Add(latenessInterval)
	var lastLogged time.Time
	shortage := memoryShortage{counters: d.counters, log: d.log}
	for {
		select {
		case <-time.After(time.Until(due)):
		case <-ctx.Done():
			return
		}
		now := time.Now()
		shortage.report(now)
		late := now.Sub(due)
		due = now.Add(latenessInterval)
		if late < latenessThreshold {
			continue
		}
		d.counters.Add("process_late", 1)
		d.counters.Add("process_late_ms", late.Milliseconds())
		if now.Sub(lastLogged) < latenessLogInterval {
			continue
		}
		lastLogged = now
		fields := logrus.Fields{"late_ms": late.Milliseconds(), "times": d.counters.Get("process_late"), "evicted": d.counters.Get("connections_evicted")}
		d.log.WithFields(fields).Warn("the process ran late")
	}
}
