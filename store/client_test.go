package store

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// replyWith returns a handler that answers all calls in the same way.
func replyWith(status int, outcome string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if outcome != "" {
			w.Header().Set(OutcomeHeader, outcome)
		}
		w.WriteHeader(status)
	}
}

// dropCall closes the connection of a call that it has read.
func dropCall(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// Guards against callers that take a write for not applied which may have been: the client says
// ErrUnknown unless all replicas that it sent the write to say that they did not apply it.
func TestClientTellsWhetherAWriteMayHaveBeenApplied(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, closed.Close())
	redirect := func(to string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "http://"+to+r.URL.String(), http.StatusTemporaryRedirect)
		}
	}
	for _, test := range []struct {
		name     string
		replicas []http.HandlerFunc
		unknown  bool
	}{
		{"none takes it", []http.HandlerFunc{replyWith(503, OutcomeNotApplied), replyWith(503, OutcomeNotApplied)}, false},
		{"the leader is not reached", []http.HandlerFunc{redirect(closed.Addr().String()), replyWith(503, OutcomeNotApplied)}, false},
		{"one lost it", []http.HandlerFunc{replyWith(503, OutcomeUnknown), replyWith(503, OutcomeNotApplied)}, true},
		{"the last lost it", []http.HandlerFunc{replyWith(503, OutcomeNotApplied), replyWith(503, OutcomeUnknown)}, true},
		{"no answer", []http.HandlerFunc{dropCall, replyWith(503, OutcomeNotApplied)}, true},
		{"earlier release", []http.HandlerFunc{replyWith(503, ""), replyWith(503, "")}, true},
		{"failure", []http.HandlerFunc{replyWith(500, "")}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			var addrs []string
			for _, handler := range test.replicas {
				server := httptest.NewServer(handler)
				t.Cleanup(server.Close)
				addrs = append(addrs, server.Listener.Addr().String())
			}
			c := NewClient(addrs...)
			c.repeatFor = 3 * electionRetryMin
			err := c.Set("/n", nil, AnyVersion)
			require.Error(t, err)
			if test.unknown {
				require.ErrorIs(t, err, ErrUnknown)
			} else {
				require.NotErrorIs(t, err, ErrUnknown)
			}
		})
	}
	var unreachable Client
	unreachable.addrs, unreachable.repeatFor = []string{closed.Addr().String()}, time.Millisecond
	require.NotErrorIs(t, unreachable.Set("/n", nil, AnyVersion), ErrUnknown)
}
