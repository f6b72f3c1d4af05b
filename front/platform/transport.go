package platform

import (
	"time"

	"lichenshelf/router"
	"lichenshelf/upstream"
)

const (
	maxAnswer   = 64 << 10                // of a worker's answer that is no stream
	heldParts   = 3                       // of the time that a state may be held, for what has to be known before it is taken
	streamStall = 4500 * time.Millisecond // the longest that a running stream may be silent
)

// NewTransport returns the transport to the platform's workers.
func NewTransport(cfg *Config, conns int, counters router.Counters) *upstream.Client {
	out := upstream.Config{
		ConnectTimeout: cfg.Settings.ConnectTimeout, ConnIdle: cfg.ConnIdle, MaxConns: conns,
		MaxAnswer: maxAnswer, StreamStall: streamStall, WaitHeader: headerWait, ReleasePath: holdsPath,
		Classify: Judge, Counters: counters,
	}
	if cfg.Settings.ReleaseWithin > 0 {
		out.BodyWait = cfg.Settings.ReleaseWithin / heldParts
	}
	if cfg.Reports.HasKnownField() {
		out.LoadHeader, out.Report = headerLoad, cfg.Reports.Parse
	}
	return upstream.New(out)
}
