package test

import (
	"net/http"
	"sync/atomic"
	"syscall"
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

// Guards against a by_key request that runs twice, since its repeat was decided within the window,
// waited for a release whose answers got lost, and was sent after the window (review case 2). Its
// writer breaks off shortly before the end of the window, when its reader drains. With the answers
// the repeat is sent in time.
func TestRepeatThatWaitsForReleaseStaysWithinWindow(t *testing.T) {
	const window, breaksAfter = 500 * time.Millisecond, 400 * time.Millisecond
	// windowSlack is the tolerance of the platform's pages: 50 ms for sockets, 150 ms for a router
	// that is held up.
	const windowSlack = 200 * time.Millisecond
	for name, answersLost := range map[string]bool{"answers lost": true, "answered": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := deployments[2]
			d.repeatWindow = window
			ended, reached := make(chan struct{}), make(chan struct{})
			var broken atomic.Bool
			breaks := func(w http.ResponseWriter, r *http.Request) {
				close(reached)
				time.Sleep(breaksAfter)
				broken.Store(true)
				closeConnection(w, r)
			}
			reader, writer := newWorker(t, "s-00000001", d.reader, serveRead), newWorker(t, "s-00000002", d.writer, breaks)
			mixed := newWorker(t, "s-00000003", d.mixed, serveStream)
			for _, k := range []*worker{reader, writer, mixed} {
				k.onRelease = func(string) {
					if answersLost && broken.Load() {
						<-ended
					}
				}
			}
			t.Cleanup(func() { close(ended) })
			disc := newDiscovery(t)
			disc.addList(true, "in_service", reader, writer)
			p := startPlatformFromFile(t, disc, configOf(t, `{"generation":0,"reset":true,"instances":[]}`, d.settings())).waitReady()
			answers := make(chan answer)
			go func() { answers <- p.ask(d.keyed, newID(), 4*time.Second) }()
			<-reached
			disc.addList(false, "terminating", reader)
			p.waitForList(disc.addList(false, "in_service", mixed))
			a := <-answers
			first, repeats := writer.received(http.MethodPost), mixed.received(http.MethodPost)
			require.Len(t, first, 1)
			for _, r := range repeats {
				require.LessOrEqual(t, r.at.Sub(first[0].at), window+windowSlack, "the repeat ran after its window")
			}
			if !answersLost {
				require.Equal(t, http.StatusOK, a.status)
				require.Len(t, repeats, 1)
			}
			p.signal(syscall.SIGTERM)
			p.waitExit()
			require.False(t, p.logged("rule_violations"), "the router's own check of its rules")
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
