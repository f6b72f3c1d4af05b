package test

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a fast-failing worker that attracts all requests: a writer that answers errors at
// once has no open requests, which makes it look the least loaded. It must receive trial requests
// only, and requests that may run only once must fail no more often than those trials.
func TestFastFailingWorkerReceivesOnlyTrials(t *testing.T) {
	// Per class: the first two errors, and trials at least 2 s apart.
	const askFor, maxTrials = 3 * time.Second, 8
	var erred atomic.Int64
	streams := func(w http.ResponseWriter, _ *http.Request) {
		beginStream(w)
		time.Sleep(200 * time.Millisecond)
		_, _ = io.WriteString(w, streamEnd)
	}
	errs := func(w http.ResponseWriter, _ *http.Request) {
		erred.Add(1)
		w.WriteHeader(http.StatusInternalServerError)
	}
	p, _ := startPlatform(t, newWorker(t, "s-r1", "reader", nil), newWorker(t, "s-w1", "writer", streams),
		newWorker(t, "s-w2", "writer", streams), newWorker(t, "s-w3", "writer", errs))
	asking, stop := context.WithTimeout(t.Context(), askFor)
	defer stop()
	var served, failed atomic.Int64
	ask := func(class string) func(*http.Client) {
		return func(client *http.Client) {
			resp, err := client.Do(p.request(class, newID(), 2*time.Second))
			require.NoError(t, err)
			defer resp.Body.Close()
			_, err = io.Copy(io.Discard, resp.Body)
			require.NoError(t, err)
			if resp.StatusCode == http.StatusOK {
				served.Add(1)
			} else {
				failed.Add(1)
			}
		}
	}
	repeatable := askRepeatedly(asking, 4, 10*time.Millisecond, ask("query"))
	once := askRepeatedly(asking, 2, 10*time.Millisecond, ask("file"))
	repeatable.Wait()
	once.Wait()
	t.Logf("%d served, %d failed, %d errors", served.Load(), failed.Load(), erred.Load())
	require.Less(t, erred.Load(), int64(2*maxTrials))
	require.Less(t, failed.Load(), int64(maxTrials))
	require.Greater(t, served.Load(), int64(20))
}
