package modelapi

import (
	"github.com/valyala/fasthttp"

	"lichenshelf/logic"
	"lichenshelf/router"
	"lichenshelf/upstream"
)

// NewTransport returns the transport to the backends.
func NewTransport(cfg *Config, conns int, counters router.Counters) *upstream.Client {
	return upstream.New(upstream.Config{
		ConnectTimeout: cfg.Connect.Duration, ConnIdle: cfg.ConnIdle.Duration, MaxConns: conns,
		MaxAnswer: cfg.MaxAnswer, StreamStall: cfg.Stall.Duration, WaitHeader: headerWait,
		Classify: judge, Final: final, Counters: counters,
	})
}

// final tells which statuses are an answer to the client: its own mistakes.
func final(status int) bool {
	switch status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusConflict, fasthttp.StatusTooManyRequests:
		return false
	}
	return status/100 == 4
}

// judge maps what is no answer. A backend that is full has not run the request.
func judge(status int, _ *fasthttp.ResponseHeader, _ []byte) router.Outcome {
	if status == fasthttp.StatusTooManyRequests || status == fasthttp.StatusServiceUnavailable {
		return router.Outcome{Status: logic.Full}
	}
	return router.Outcome{Status: logic.ServerError}
}
