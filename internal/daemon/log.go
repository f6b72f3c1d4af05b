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

// freeFromLog keeps the log from ending the process, and counts what of it is dropped.
func (d *daemon) freeFromLog() {
	signal.Ignore(syscall.SIGPIPE) // a pipe without a reader fails the write alone
	if w, ok := d.log.Out.(*logwriter.Writer); ok {
		w.OnDrop(func() { d.counters.Add("log_entries_dropped", 1) })
	}
}

// printCounters writes all counters to the log, in one piece.
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
	// latenessEvery is how often the process looks how late it runs.
	latenessEvery = 100 * time.Millisecond
	// lateFrom is a lateness that is told: a third of the platform's slack for what is held, of which half is meant for a process
	// that is held up.
	lateFrom = 100 * time.Millisecond
	// latenessLinesEvery bounds the lines about it.
	latenessLinesEvery = time.Second
)

// watchLateness notes when the process runs late, for want of processor time or since it was stopped: without that, what it did
// too late looks as if others had been slow.
func (d *daemon) watchLateness(ctx context.Context) {
	due := time.Now().Add(latenessEvery)
	var told time.Time
	for {
		select {
		case <-time.After(time.Until(due)):
		case <-ctx.Done():
			return
		}
		now := time.Now()
		late := now.Sub(due)
		due = now.Add(latenessEvery)
		if late < lateFrom {
			continue
		}
		d.counters.Add("process_late", 1)
		d.counters.Add("process_late_ms", late.Milliseconds())
		if now.Sub(told) < latenessLinesEvery {
			continue
		}
		told = now
		fields := logrus.Fields{"late_ms": late.Milliseconds(), "times": d.counters.Get("process_late"), "evicted": d.counters.Get("connections_evicted")}
		d.log.WithFields(fields).Warn("the process ran late")
	}
}
