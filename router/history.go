package router

import (
	"fmt"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"lichenshelf/logic"
)

// maxSteps bounds the steps kept for one request: five attempts of two stages each, with everything
// that can happen to them.
const maxSteps = 64

// Rate limits of the log lines on requests: lines per second, and lines at once. An overload causes
// thousands of refusals, which must not crowd out the other lines.
const (
	failureLinesPerSecond, failureLinesBurst = 20, 100
	refusedLinesPerSecond, refusedLinesBurst = 2, 20
)

// stepKind is the kind of an event in the history of a request.
type stepKind uint8

const (
	stepSend stepKind = iota
	stepWritten
	stepEnded
	stepCancelled
	stepStreamCancelled
	stepReleaseAsked
	stepReleaseTaken
	stepReleaseFailed
	stepAnswering
	stepRefused
	stepFailed
	stepClientLeft
	stepViolation
)

// step is one event in the history of a request. Its kind determines which fields are set.
type step struct {
	at      time.Time // zero means now
	kind    stepKind
	attempt int
	worker  *Worker // nil if it is no longer listed
	wait    time.Duration
	written *Written
	outcome *Outcome
	why     logic.Why
	text    string
}

// history holds the events of one request so far. It belongs to the core's goroutine.
type history struct {
	steps   []step
	dropped int
	failed  bool // a step failed in an unusual way
	refused bool
}

// add appends a step.
func (h *history) add(s step) {
	if s.at.IsZero() {
		s.at = time.Now()
	}
	switch s.kind {
	case stepEnded:
		h.failed = h.failed || isFailure(s.outcome.Status)
	case stepCancelled, stepStreamCancelled, stepReleaseFailed, stepFailed, stepViolation:
		h.failed = true
	case stepRefused:
		h.refused = true
	}
	if len(h.steps) == maxSteps {
		h.dropped++
		return
	}
	h.steps = append(h.steps, s)
}

// isFailure reports whether an outcome is logged as a failure. Attempts cancelled because the
// client left, and attempts that workers turn away, are not.
func isFailure(s logic.Status) bool {
	switch s {
	case logic.Served, logic.PromptRead, logic.Full, logic.Cancelled:
		return false
	}
	return true
}

// text lists the steps with their times in milliseconds since from, and the attempt in flight, if
// it is not nil.
func (h *history) text(from time.Time, inFlight *attempt) string {
	var b strings.Builder
	for i := range h.steps {
		s := &h.steps[i]
		fmt.Fprintf(&b, "%.1f %s; ", milliseconds(s.at.Sub(from)), s)
	}
	if inFlight != nil {
		if w := inFlight.written.Load(); w != nil {
			s := step{kind: stepWritten, attempt: inFlight.number, worker: inFlight.toWorker, written: w}
			fmt.Fprintf(&b, "%.1f %s; ", milliseconds(w.At.Sub(from)), &s)
		}
		fmt.Fprintf(&b, "attempt %d in flight; ", inFlight.number)
	}
	if h.dropped > 0 {
		fmt.Fprintf(&b, "and %d more; ", h.dropped)
	}
	return strings.TrimSuffix(b.String(), "; ")
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// String implements fmt.Stringer.
func (s *step) String() string {
	switch s.kind {
	case stepSend:
		return fmt.Sprintf("send %d to %s, for %d ms", s.attempt, s.worker.name(), s.wait.Milliseconds())
	case stepWritten:
		return fmt.Sprintf("written %d to %s, %d bytes on %s", s.attempt, s.worker.name(), s.written.Bytes, s.written.connection())
	case stepEnded:
		return fmt.Sprintf("ended %d at %s: %s%s", s.attempt, s.worker.name(), statusNames[s.outcome.Status], s.outcome.details())
	case stepCancelled:
		return fmt.Sprintf("cancelled %d at %s", s.attempt, s.worker.name())
	case stepStreamCancelled:
		return fmt.Sprintf("cancelled silent stream %d from %s at shutdown", s.attempt, s.worker.name())
	case stepReleaseAsked:
		return "release requested"
	case stepReleaseTaken:
		return "release accepted by " + s.worker.name()
	case stepReleaseFailed:
		return "release failed: " + s.text
	case stepAnswering:
		return fmt.Sprintf("answer to %d begins", s.attempt)
	case stepRefused:
		return "refused: " + s.why.String()
	case stepFailed:
		return "failed: " + s.why.String()
	case stepClientLeft:
		return "client left"
	}
	return s.text
}

func (w *Worker) name() string {
	if w == nil {
		return "an unlisted worker"
	}
	return w.Name
}

// connection describes the connection by its local port and by whether it was reused.
func (w Written) connection() string {
	if w.Reused {
		return fmt.Sprintf("kept connection %d", w.Port)
	}
	return fmt.Sprintf("new connection %d", w.Port)
}

// details describes what an outcome reports beyond its status.
func (o Outcome) details() string {
	var b strings.Builder
	if o.Unreached {
		b.WriteString(", worker not reached")
	}
	if o.Stale {
		b.WriteString(", the connection was stale")
	}
	if o.Cause != nil {
		fmt.Fprintf(&b, " (%v)", o.Cause)
	}
	return b.String()
}

// historyLog logs the history of failed requests within rate limits. It belongs to the core's
// goroutine.
type historyLog struct {
	log                logrus.FieldLogger
	verbose            bool // the debug level is enabled
	failures, refusals *rate.Limiter
	suppressed         int // lines that exceeded the rate limit
}

func newHistoryLog(log logrus.FieldLogger) historyLog {
	l, ok := log.(*logrus.Logger)
	return historyLog{log: log, verbose: ok && l.IsLevelEnabled(logrus.DebugLevel), failures: rate.NewLimiter(failureLinesPerSecond, failureLinesBurst), refusals: rate.NewLimiter(refusedLinesPerSecond, refusedLinesBurst)}
}

// attemptBegins logs the start of each attempt at the debug level, with the time that it waited for
// earlier releases.
func (l *historyLog) attemptBegins(a *attempt, waited time.Duration) {
	if l.verbose {
		l.log.WithFields(logrus.Fields{"request": a.ex.Name, "attempt": a.number, "worker": a.toWorker.Name, "wait_ms": a.wait.Milliseconds(),
			"reach_ms": a.sendWithin.Milliseconds(), "waited_ms": waited.Milliseconds()}).Debug("attempt begins")
	}
}

// attemptEnded logs the end of each attempt at the debug level.
func (l *historyLog) attemptEnded(a *attempt, o Outcome) {
	if !l.verbose {
		return
	}
	worker := ""
	if a.toWorker != nil {
		worker = a.toWorker.Name
	}
	l.log.WithFields(logrus.Fields{"request": a.ex.Name, "attempt": a.number, "worker": worker,
		"outcome": statusNames[o.Status], "unreached": o.Unreached, "stale": o.Stale, "kept": o.Kept, "prompt": a.ex.PromptTokens,
		"ms": a.latency.Milliseconds()}).Debug("attempt ended")
}

// requestEnds logs the end of each request, or the start of its answer, at the debug level.
func (l *historyLog) requestEnds(ex *exchange, end string, why logic.Why) {
	if l.verbose {
		l.log.WithFields(logrus.Fields{"request": ex.Name, "class": ex.Class, "attempts": ex.sends, "why": why.String(),
			"last": statusNames[ex.lastStatus], "ms": time.Since(ex.Received).Milliseconds()}).Debug(end)
	}
}

// write logs a request that failed or was refused, once nothing of it is in flight.
func (l *historyLog) write(ex *exchange) {
	h := &ex.history
	limit := l.failures
	switch {
	case h.failed:
	case h.refused:
		limit = l.refusals
	default:
		return
	}
	if !limit.Allow() {
		l.suppressed++
		return
	}
	entry := l.entry(ex)
	if h.failed {
		entry.Warn("request had failures")
	} else {
		entry.Info("request refused")
	}
}

// entry returns a log entry with all that is known of a request.
func (l *historyLog) entry(ex *exchange) *logrus.Entry {
	fields := logrus.Fields{"request": ex.Name, "class": ex.Class, "received": ex.Received.UTC().Format("15:04:05.000"),
		"patience_ms": ex.Patience.Milliseconds(), "attempts": ex.sends, "last": statusNames[ex.lastStatus],
		"ms": time.Since(ex.Received).Milliseconds(), "steps": ex.history.text(ex.Received, ex.attempt)}
	if l.suppressed > 0 {
		fields["suppressed"] = l.suppressed
		l.suppressed = 0
	}
	return l.log.WithFields(fields)
}
