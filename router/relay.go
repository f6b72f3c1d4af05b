package router

import (
	"io"
	"time"

	"lichenshelf/logic"
)

// relay passes answers to clients. Once its answer has begun, an attempt can no longer be replaced
// by another one.
type relay struct{ core *Core }

func (r *relay) begin(a *attempt, answer Answer) {
	if a.ended { // cancelled while its first event was on the way
		_ = answer.Close()
		return
	}
	a.timer.Stop()
	ex := a.ex
	ex.answered, ex.closed = true, true
	r.core.admission.advanceQueue(ex)
	r.core.routing.push(logic.Event{Kind: logic.AnswerStarted, ID: ex.ID, Attempt: a.number, Server: a.server,
		Latency: time.Since(a.sentAt), Load: answer.Load()})
	r.core.guard.record(ex, "answer", ex.rules.AnswerBegan(time.Now()))
	ex.history.add(step{kind: stepAnswering, attempt: a.number})
	r.core.histories.requestEnds(ex, "answering", logic.WhyNone)
	a.lastReceived.Store(int64(time.Since(a.sentAt)))
	ex.Payload = nil // a stream may last long, and the request's message has been sent
	ex.client.Stream(&relayed{Answer: answer, attempt: a})
}

// relayed is an answer that is being sent to the client. It reports its end to the core.
type relayed struct {
	Answer
	attempt *attempt
	done    bool
}

// Read implements io.Reader for the one goroutine that serves the client.
func (r *relayed) Read(p []byte) (int, error) {
	n, err := r.Answer.Read(p)
	if n > 0 {
		r.attempt.lastReceived.Store(int64(time.Since(r.attempt.sentAt)))
	}
	switch {
	case err == nil:
	case err == io.EOF:
		r.finish(Outcome{Status: logic.Served, Kept: r.Kept(), Load: r.Load()})
	default:
		r.finish(Outcome{Status: logic.ConnectionReset, Cause: err})
	}
	return n, err
}

// Close cancels the rest of the answer.
func (r *relayed) Close() error {
	r.finish(Outcome{Status: logic.Cancelled})
	return r.Answer.Close()
}

func (r *relayed) finish(o Outcome) {
	if !r.done {
		r.done = true
		r.attempt.Ended(o)
	}
}
