package modelapi

import (
	"github.com/valyala/fasthttp"

	"lichenshelf/logic"
	"lichenshelf/router"
	"lichenshelf/upstream"
)

// wholeAnswerCopies is how often an answer that is read whole counts at most while it grows.
const wholeAnswerCopies = 2

// NewTransport returns the transport to the backends.
func NewTransport(cfg *Config, conns int, counters router.Counters) *upstream.Client {
	return upstream.New(upstream.Config{
		ConnectTimeout: cfg.ConnectTimeout.Duration, ConnIdle: cfg.ConnIdle.Duration, MaxConns: conns,
		MaxAnswer: cfg.MaxAnswer, MaxPending: max(cfg.MaxBytes, wholeAnswerCopies*int64(cfg.MaxAnswer)), StreamStall: cfg.StreamStall.Duration, WaitHeader: headerWait,
		Classify: classifyAnswer, Final: isFinal, Counters: counters,
	})
}

// isFinal reports whether a backend's status is an answer for the client, as for faulty requests.
func isFinal(status int) bool {
	switch status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusConflict, fasthttp.StatusTooManyRequests:
		return false
	}
	return status/100 == 4
}

// classifyAnswer maps the status of any other answer to the outcome of the attempt. A backend that
// is full has not run the request.
func classifyAnswer(status int, _ *fasthttp.ResponseHeader, _ []byte) router.Outcome {
	if status == fasthttp.StatusTooManyRequests || status == fasthttp.StatusServiceUnavailable {
		return router.Outcome{Status: logic.Full}
	}
	return router.Outcome{Status: logic.ServerError}
}
