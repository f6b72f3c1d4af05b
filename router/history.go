package router

import (
	"fmt"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"lichenshelf/logic"
)

// mostSteps bounds what is kept of one request: five attempts of two stages each, with all that may become of them.
const mostSteps = 64

// The bounds of what is logged of requests, in lines a second and in lines at once. Refusals come by the thousand in an
// overload and must not crowd out the others.
const (
	wrongLinesPerSecond, wrongLinesBurst     = 20, 100
	refusedLinesPerSecond, refusedLinesBurst = 2, 20
)

// stepKind says what happened to a request.
type stepKind uint8

const (
	stepSend stepKind = iota
	stepWritten
	stepEnded
	stepCalledOff
	stepCut
	stepReleaseAsked
	stepReleaseTaken
	stepReleaseFailed
	stepAnswering
	stepRefused
	stepFailed
	stepClientLeft
	stepViolation
)

// step is one thing that happened to a request. Which fields are set goes by its kind.
type step struct {
	at      time.Time // now, where it is zero
	kind    stepKind
	attempt int
	worker  *Worker // nil: not listed any more
	wait    time.Duration
	written *Written
	outcome *Outcome
	why     logic.Why
	text    string
}

// history is what became of one request so far. It belongs to the core's goroutine.
type history struct {
	steps   []step
	dropped int
	wrong   bool // something failed that is not usual
	refused bool
}

// add notes a step.
func (h *history) add(s step) {
	if s.at.IsZero() {
		s.at = time.Now()
	}
	switch s.kind {
	case stepEnded:
		h.wrong = h.wrong || unusual(s.outcome.Status)
	case stepCalledOff, stepCut, stepReleaseFailed, stepFailed, stepViolation:
		h.wrong = true
	case stepRefused:
		h.refused = true
	}
	if len(h.steps) == mostSteps {
		h.dropped++
		return
	}
	h.steps = append(h.steps, s)
}

// unusual tells whether an outcome is worth a line. What a client's leaving cuts off, and what workers turn away, is not.
func unusual(s logic.Status) bool {
	switch s {
	case logic.Served, logic.PromptRead, logic.Full, logic.Cancelled:
		return false
	}
	return true
}

// text lists the steps with their times in milliseconds from a time on.
func (h *history) text(from time.Time, out *attempt) string {
	var b strings.Builder
	for i := range h.steps {
		s := &h.steps[i]
		fmt.Fprintf(&b, "%.1f %s; ", milliseconds(s.at.Sub(from)), s)
	}
	if out != nil {
		if w := out.written.Load(); w != nil {
			s := step{kind: stepWritten, attempt: out.number, worker: out.to, written: w}
			fmt.Fprintf(&b, "%.1f %s; ", milliseconds(w.At.Sub(from)), &s)
		}
		fmt.Fprintf(&b, "attempt %d is out; ", out.number)
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
	case stepCalledOff:
		return fmt.Sprintf("called off %d at %s", s.attempt, s.worker.name())
	case stepCut:
		return fmt.Sprintf("silent stream %d from %s cut at the end of the process", s.attempt, s.worker.name())
	case stepReleaseAsked:
		return "release asked"
	case stepReleaseTaken:
		return "release taken by " + s.worker.name()
	case stepReleaseFailed:
		return "release failed: " + s.text
	case stepAnswering:
		return fmt.Sprintf("answer of %d begins", s.attempt)
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
		return "a worker that is not listed"
	}
	return w.Name
}

// connection names the connection by its port at this end, and says whether it had carried requests before.
func (w Written) connection() string {
	if w.Reused {
		return fmt.Sprintf("kept connection %d", w.Port)
	}
	return fmt.Sprintf("new connection %d", w.Port)
}

// details are what an outcome has to say beyond its status.
func (o Outcome) details() string {
	var b strings.Builder
	if o.Unreached {
		b.WriteString(", never reached")
	}
	if o.Stale {
		b.WriteString(", the connection was stale")
	}
	if o.Cause != nil {
		fmt.Fprintf(&b, " (%v)", o.Cause)
	}
	return b.String()
}

// historyLog writes what became of requests that went wrong, within bounds. It belongs to the core's goroutine.
type historyLog struct {
	log             logrus.FieldLogger
	verbose         bool // the log takes what is said at the debug level
	wrong, refusals *rate.Limiter
	suppressed      int // lines that found no room
}

func newHistoryLog(log logrus.FieldLogger) historyLog {
	l, ok := log.(*logrus.Logger)
	return historyLog{log: log, verbose: ok && l.IsLevelEnabled(logrus.DebugLevel), wrong: rate.NewLimiter(wrongLinesPerSecond, wrongLinesBurst), refusals: rate.NewLimiter(refusedLinesPerSecond, refusedLinesBurst)}
}

// attemptBegins logs each attempt's beginning at the debug level, and how long it waited for what was let go of before.
func (l *historyLog) attemptBegins(a *attempt, waited time.Duration) {
	if l.verbose {
		l.log.WithFields(logrus.Fields{"request": a.ex.Name, "attempt": a.number, "worker": a.to.Name, "wait_ms": a.wait.Milliseconds(),
			"reach_ms": a.sendWithin.Milliseconds(), "waited_ms": waited.Milliseconds()}).Debug("attempt begins")
	}
}

// attemptEnded logs each attempt's end at the debug level.
func (l *historyLog) attemptEnded(a *attempt, o Outcome) {
	if !l.verbose {
		return
	}
	worker := ""
	if a.to != nil {
		worker = a.to.Name
	}
	l.log.WithFields(logrus.Fields{"request": a.ex.Name, "attempt": a.number, "worker": worker,
		"outcome": statusNames[o.Status], "unreached": o.Unreached, "stale": o.Stale, "kept": o.Kept, "prompt": a.ex.PromptTokens,
		"ms": a.took.Milliseconds()}).Debug("attempt ended")
}

// requestEnds logs each request's end, or its answer's beginning, at the debug level.
func (l *historyLog) requestEnds(ex *exchange, end string, why logic.Why) {
	if l.verbose {
		l.log.WithFields(logrus.Fields{"request": ex.Name, "class": ex.Class, "attempts": ex.sends, "why": why.String(),
			"last": statusNames[ex.last], "ms": time.Since(ex.Received).Milliseconds()}).Debug(end)
	}
}

// write logs a request that went wrong or was refused, once nothing of it is out.
func (l *historyLog) write(ex *exchange) {
	h := &ex.history
	limit := l.wrong
	switch {
	case h.wrong:
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
	if h.wrong {
		entry.Warn("a request went wrong")
	} else {
		entry.Info("a request was refused")
	}
}

// entry is a line with all that is known of a request.
func (l *historyLog) entry(ex *exchange) *logrus.Entry {
	fields := logrus.Fields{"request": ex.Name, "class": ex.Class, "received": ex.Received.UTC().Format("15:04:05.000"),
		"patience_ms": ex.Patience.Milliseconds(), "attempts": ex.sends, "last": statusNames[ex.last],
		"ms": time.Since(ex.Received).Milliseconds(), "steps": ex.history.text(ex.Received, ex.attempt)}
	if l.suppressed > 0 {
		fields["suppressed"] = l.suppressed
		l.suppressed = 0
	}
	return l.log.WithFields(fields)
}
