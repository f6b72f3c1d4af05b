package test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A by_key request must be retried only within the window in which workers discard repeats, counted
// from the first attempt that may have run, also if the window is shorter than the client's
// timeout. After the window it must be answered at once. The other classes ignore the window:
// requests that may run once are not retried within it, and repeatable ones are retried after it.
func TestRetriesStayWithinRepeatWindow(t *testing.T) {
	const window, patience = 400 * time.Millisecond, 4 * time.Second
	for name, tc := range map[string]struct {
		class       func(*deployment) string
		breaksAfter time.Duration
		again       bool
	}{
		"by key within":        {func(d *deployment) string { return d.keyed }, 50 * time.Millisecond, true},
		"by key past":          {func(d *deployment) string { return d.keyed }, window + 50*time.Millisecond, false},
		"never twice, within":  {func(d *deployment) string { return d.once }, 50 * time.Millisecond, false},
		"repeatable, past":     {func(d *deployment) string { return d.repeatable }, window + 50*time.Millisecond, true},
		"never twice, at once": {func(d *deployment) string { return d.once }, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := deployments[2]
			d.repeatWindow = window
			breaks := func(w http.ResponseWriter, r *http.Request) {
				time.Sleep(tc.breaksAfter)
				closeConnection(w, r)
			}
			workers := []*worker{newWorker(t, "s-00000001", d.reader, serveRead), newWorker(t, "s-00000002", d.writer, breaks),
				newWorker(t, "s-00000003", d.writer, breaks), newWorker(t, "s-00000004", d.writer, breaks)}
			p := d.start(t, workers...)
			from := time.Now()
			a := p.ask(tc.class(&d), newID(), patience)
			require.NotEqual(t, http.StatusOK, a.status)
			var first, last time.Time
			n := 0
			for _, k := range workers[1:] {
				for _, c := range k.received(http.MethodPost) {
					if n++; first.IsZero() || c.at.Before(first) {
						first = c.at
					}
					if c.at.After(last) {
						last = c.at
					}
				}
			}
			if !tc.again {
				require.Equal(t, 1, n, "sent again")
				require.Less(t, time.Since(from), patience-time.Second, "the answer is delayed")
				return
			}
			require.Greater(t, n, 1, "not sent again")
			if tc.class(&d) == d.keyed {
				require.Less(t, last.Sub(first), window)
			}
		})
	}
}

// A client's retry is a separate request and must proceed while the first one is pending, in every
// class.
func TestClientRetryWhileFirstIsPending(t *testing.T) {
	d := deployments[2]
	for _, class := range []string{d.repeatable, d.keyed, d.once} {
		t.Run(class, func(t *testing.T) {
			t.Parallel()
			out, goOn := make(chan struct{}, 4), make(chan struct{})
			slow := func(w http.ResponseWriter, r *http.Request) {
				out <- struct{}{}
				<-goOn
				serveStream(w, r)
			}
			p := d.start(t, newWorker(t, "s-00000001", d.reader, serveRead), newWorker(t, "s-00000002", d.writer, slow))
			answers := make(chan answer, 2)
			ask := func(repeat string) {
				req := p.request(class, newID(), 10*time.Second)
				if repeat != "" {
					req.Header.Set("X-Repeat", repeat)
				}
				go func() { answers <- do(req) }()
				<-out
			}
			ask("")
			ask("1")
			close(goOn)
			for range 2 {
				require.Equal(t, http.StatusOK, (<-answers).status)
			}
		})
	}
}
