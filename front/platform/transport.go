package platform

import (
	"time"

	"lichenshelf/router"
	"lichenshelf/upstream"
)

const (
	// maxAnswer bounds a worker's non-streaming answer, in bytes.
	maxAnswer = 64 << 10
	// bodyWaitDivisor limits the wait for the body of a non-streaming answer to this fraction of
	// the time for which a worker holds read state, since the body must arrive before the state is
	// used.
	bodyWaitDivisor = 3
	// streamStall is the longest time without a byte on a running stream.
	streamStall = 4500 * time.Millisecond
)

// NewTransport returns the transport to the platform's workers, with at most conns connections.
// Answers may have pending bytes together that wait for their clients; 0 means no bound.
func NewTransport(cfg *Config, conns int, pending int64, counters router.Counters) *upstream.Client {
	out := upstream.Config{
		ConnectTimeout: cfg.Settings.ConnectTimeout, ConnIdle: cfg.ConnIdle, MaxConns: conns,
		MaxAnswer: maxAnswer, MaxPending: pending, StreamStall: streamStall, WaitHeader: headerWait, ReleasePath: holdsPath,
		Classify: ClassifyAnswer, Counters: counters,
	}
	if cfg.Settings.ReleaseWithin > 0 {
		out.BodyWait = cfg.Settings.ReleaseWithin / bodyWaitDivisor
	}
	if cfg.Reports.HasKnownField() {
		out.LoadHeader, out.Report = headerLoad, cfg.Reports.Parse
	}
	return upstream.New(out)
}
