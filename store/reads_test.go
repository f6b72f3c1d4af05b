package store

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"lichenshelf/lab/history"
)

// Each caller gets the result of a query that started after the call, and there are far fewer
// queries than callers.
func TestCoalescedCallsStartAfterTheirCallers(t *testing.T) {
	var g callCoalescer
	var clock, queries atomic.Uint64
	var all sync.WaitGroup
	for range 40 {
		all.Go(func() {
			for range 200 {
				called := clock.Add(1)
				answer, err := g.do(t.Context(), func() (uint64, error) {
					queries.Add(1)
					at := clock.Add(1)
					time.Sleep(20 * time.Microsecond)
					return at, nil
				})
				if err != nil || answer <= called {
					t.Errorf("called at %d, answered by a query started at %d: %v", called, answer, err)
				}
			}
		})
	}
	all.Wait()
	require.Less(t, queries.Load(), uint64(40*200/2))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	release := make(chan struct{})
	defer close(release)
	_, err := g.do(ctx, func() (uint64, error) { <-release; return 0, nil })
	require.ErrorIs(t, err, ErrLagging, "a caller whose context has ended does not wait")
}

func get(t testing.TB, url string, version uint64) (int, http.Header) {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	require.NoError(t, err)
	if version > 0 {
		req.Header.Set(VersionHeader, strconv.FormatUint(version, 10))
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	return resp.StatusCode, resp.Header
}

func (c *cluster) url(i int, path string) string { return "http://" + c.cfg[i].Self().API + path }

// Every replica honours a version from any answer or write: it waits until it has reached the
// version, and refuses the read if that takes too long.
func TestAnyReplicaHonoursVersions(t *testing.T) {
	c := newCluster(t)
	require.NoError(t, c.create("/n", "0", ""))
	client := NewClient(c.cfg[0].Self().API, c.cfg[1].Self().API)
	for i := range 20 {
		require.NoError(t, client.Set("/n", []byte(strconv.Itoa(i+1)), AnyVersion))
		for r := range c.replicas {
			status, header := get(t, c.url(r, "/v1/nodes/n?read=session"), client.seen.Load())
			require.Equal(t, http.StatusOK, status)
			got, err := strconv.ParseUint(header.Get(VersionHeader), 10, 64)
			require.NoError(t, err)
			require.GreaterOrEqual(t, got, client.seen.Load())
			s, err := c.replicas[r].Read("/n")
			require.NoError(t, err)
			require.Equal(t, strconv.Itoa(i+1), string(s.Data))
		}
	}
	for query, want := range map[string]int{
		"read=session&at_least=999999": http.StatusServiceUnavailable, "at_least=999999": http.StatusServiceUnavailable,
		"read=session": http.StatusBadRequest, "at_least=-1": http.StatusBadRequest, "read=soon": http.StatusBadRequest,
		"read=local": http.StatusOK, "read=newest": http.StatusOK, "watch=1&wait_ms=1&version=20&children=0": http.StatusNoContent,
	} {
		status, header := get(t, c.url(1, "/v1/nodes/n?"+query), 0)
		require.Equal(t, want, status, query)
		if status < 300 {
			require.NotEmpty(t, header.Get(VersionHeader), query)
		}
	}
	status, header := get(t, c.url(2, "/v1/nodes/none"), 0)
	require.Equal(t, http.StatusNotFound, status)
	require.NotEmpty(t, header.Get(VersionHeader), "a missing node is reported with a version as well")
}

// Without a majority the latest operation can't be determined: reads fail with 503 instead of
// returning older data.
func TestReadsWithoutAMajority(t *testing.T) {
	c := newCluster(t)
	require.NoError(t, c.create("/n", "0", ""))
	l := c.leader()
	for i := range c.replicas {
		if i != l {
			c.close(i)
		}
	}
	status, header := get(t, c.url(l, "/v1/nodes/n"), 0)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, "1", header.Get("Retry-After"))
	status, _ = get(t, c.url(l, "/v1/nodes/n?read=local"), 0)
	require.Equal(t, http.StatusOK, status, "a local read needs no majority")
}

// The latest operation may be unknown because the caller's time ended or, about as late, because
// the leader did not answer. The answer is the same in both cases, also at a replica that knows the
// leader.
func TestLaggingReplicaAnswersTheSameForAnyTimeout(t *testing.T) {
	c := newCluster(t)
	l := c.leader()
	follower := c.replicas[(l+1)%len(c.replicas)]
	c.eventually(func() bool { _, known := follower.Leader(); return known })
	refused := func(r *Replica, err error) {
		t.Helper()
		require.ErrorIs(t, err, ErrLagging)
		var ctx fasthttp.RequestCtx
		NewAPI(r, nil).replyError(&ctx, err)
		require.Equal(t, http.StatusServiceUnavailable, ctx.Response.StatusCode(), err)
		require.Equal(t, "1", string(ctx.Response.Header.Peek("Retry-After")), err)
	}
	refused(follower, fmt.Errorf("%w: %w", ErrLagging, ErrNotLeader))
	for i := range c.replicas {
		if i != l {
			c.close(i)
		}
	}
	_, err := c.replicas[l].newestIndex(t.Context()) // without a deadline of the caller
	require.ErrorIs(t, err, ErrNotLeader)
	refused(c.replicas[l], err)
	over, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = c.replicas[l].newestIndex(over)
	refused(c.replicas[l], err)
}

// check runs clients against all replicas during disruptions, and passes their history to the
// checker.
func (c *cluster) check(read string, disrupt func(rng *rand.Rand), steps int) (result porcupine.CheckResult, n, missing int) {
	require.NoError(c.t, c.create("/n", "0", ""))
	h := history.New()
	var last, missingNodes atomic.Int64
	ctx, stop := context.WithCancel(c.t.Context())
	var all sync.WaitGroup
	client := &http.Client{Timeout: 3 * time.Second}
	for id := range 6 {
		rng := rand.New(rand.NewPCG(uint64(id), 2))
		all.Go(func() {
			for ctx.Err() == nil {
				url, called := c.url(rng.IntN(len(c.cfg)), "/v1/nodes/n"), h.Now()
				if rng.IntN(3) == 0 {
					value := strconv.FormatInt(last.Add(1), 10)
					status, _, err := send(ctx, client, http.MethodPut, url, value)
					h.Wrote(id, "/n", value, called, err == nil && status == http.StatusNoContent)
				} else if status, value, err := send(ctx, client, http.MethodGet, url+read, ""); err == nil && status == http.StatusOK {
					h.Read(id, "/n", value, called)
				} else if status == http.StatusNotFound {
					missingNodes.Add(1)
				}
				time.Sleep(time.Duration(rng.IntN(4)) * time.Millisecond)
			}
		})
	}
	rng := rand.New(rand.NewPCG(9, 9))
	for range steps {
		disrupt(rng)
	}
	stop()
	all.Wait()
	result, n = h.Check(time.Minute)
	return result, n, int(missingNodes.Load())
}

func send(ctx context.Context, by *http.Client, method, url, body string) (status int, data string, err error) {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	resp, err := by.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	var n struct{ Data string }
	if resp.StatusCode == http.StatusOK {
		err = decodeJSON(resp, &n)
	}
	return resp.StatusCode, n.Data, err
}

// Leaders change and replicas restart while clients write and read at all replicas: the history is
// linearizable. The same test with local reads must find a violation, which shows that the check
// can fail.
func TestHistoriesAreLinearizable(t *testing.T) {
	disrupt := func(c *cluster) func(*rand.Rand) {
		return func(rng *rand.Rand) {
			switch rng.IntN(3) {
			case 0:
				if l := c.replicas[c.leader()]; l != nil {
					_ = l.raft.LeadershipTransfer().Error()
				}
			case 1:
				i := rng.IntN(len(c.replicas))
				c.close(i)
				time.Sleep(testPace)
				c.open(i)
			}
			time.Sleep(testPace)
		}
	}
	c := newCluster(t)
	result, n, missing := c.check("", disrupt(c), 8)
	require.Zero(t, missing, "404 for an acknowledged node")
	t.Logf("%d operations", n)
	require.Equal(t, porcupine.Ok, result)
	require.Greater(t, n, 100)

	old := newCluster(t)
	for range 5 {
		if result, n, missing = old.check("?read=local", disrupt(old), 6); result == porcupine.Illegal {
			break
		}
		require.NoError(t, old.do(func(l *Replica) error { return l.Delete("/n", AnyVersion) }))
	}
	require.Equal(t, porcupine.Illegal, result, "%d operations, %d reads found no node", n, missing)
}

// BenchmarkReads compares the cost of reads by their consistency.
func BenchmarkReads(b *testing.B) {
	c := newCluster(b)
	require.NoError(b, c.create("/n", "0", ""))
	l := c.leader()
	leader, follower := c.replicas[l], c.replicas[(l+1)%3]
	require.NoError(b, follower.CatchUp(b.Context()))
	for _, k := range []struct {
		name string
		read func() error
	}{
		{"local", func() error { _, err := leader.Read("/n"); return err }},
		{"lease only", func() error {
			if leader.raft.State() != raft.Leader {
				return ErrNotLeader
			}
			_, err := leader.Read("/n")
			return err
		}},
		{"majority", func() error { _, err := leader.newestAsLeader(); return err }},
		{"barrier", func() error { return leader.raft.Barrier(time.Second).Error() }},
		{"follower", func() error { return follower.CatchUp(b.Context()) }},
	} {
		b.Run(k.name, func(b *testing.B) {
			for b.Loop() {
				require.NoError(b, k.read())
			}
		})
		b.Run(k.name+", 32 concurrent", func(b *testing.B) {
			b.SetParallelism(32)
			b.RunParallel(func(p *testing.PB) {
				for p.Next() {
					if k.name == "majority" {
						_, err := leader.reads.do(b.Context(), leader.newestAsLeader)
						require.NoError(b, err)
						continue
					}
					require.NoError(b, k.read())
				}
			})
		})
	}
}

func decodeJSON(resp *http.Response, v any) error { return json.NewDecoder(resp.Body).Decode(v) }
