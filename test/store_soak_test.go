package test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"lichenshelf/lab/history"
)

var soakSeed = flag.Uint64("soak-seed", 1, "the seed of TestStoreSoak")

const (
	shortStoreSoak    = 20 * time.Second // without -soak
	soakClients       = 6                // of the store's HTTP API
	soakClientTimeout = 4 * time.Second
	maxSoakPause      = 2 * time.Second // between two faults
	maxSoakOutage     = 4 * time.Second // for which replicas are stopped or down
	maxHistoryCheck   = 5 * time.Minute
)

// registerClients read and write nodes over the HTTP API of all replicas and record the history.
type registerClients struct {
	store             *storeCluster
	names             []string
	history           *history.History
	lastValue         atomic.Int64
	notFound, refused atomic.Int64
}

func newRegisterClients(c *storeCluster) *registerClients {
	r := &registerClients{store: c, names: []string{"/a", "/b", "/c", "/d"}, history: history.New()}
	for _, name := range r.names {
		require.NoError(c.t, c.client.Create(name, []byte("0")))
	}
	return r
}

// run is one client. It reads twice as often as it writes.
func (r *registerClients) run(ctx context.Context, id int, rng *rand.Rand) {
	for ctx.Err() == nil {
		name := r.names[rng.IntN(len(r.names))]
		uri := "http://" + r.store.replicas[rng.IntN(len(r.store.replicas))].api + "/v1/nodes" + name
		if rng.IntN(3) == 0 {
			r.write(id, name, uri)
		} else {
			r.read(id, name, uri)
		}
		time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
	}
}

func (r *registerClients) write(id int, name, uri string) {
	value, called := fmt.Sprint(r.lastValue.Add(1)), r.history.Now()
	status, _, err := askRegister(http.MethodPut, uri, value)
	r.history.Wrote(id, name, value, called, err == nil && status == http.StatusNoContent)
}

func (r *registerClients) read(id int, name, uri string) {
	called := r.history.Now()
	switch status, value, err := askRegister(http.MethodGet, uri, ""); {
	case err == nil && status == http.StatusOK:
		r.history.Read(id, name, value, called)
	case status == http.StatusNotFound:
		r.notFound.Add(1)
	default:
		r.refused.Add(1)
	}
}

var soakClient = &http.Client{Timeout: soakClientTimeout}

// askRegister calls the API without a name for a write, and returns the data that a read found.
func askRegister(method, uri, body string) (status int, data string, err error) {
	req, err := http.NewRequest(method, uri, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	resp, err := soakClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	var n struct{ Data string }
	if resp.StatusCode == http.StatusOK {
		err = json.NewDecoder(resp.Body).Decode(&n)
	}
	return resp.StatusCode, n.Data, err
}

// injectFaults stops and kills replicas at random until end, also a majority of them or all. It
// returns how often it did what.
func (c *storeCluster) injectFaults(rng *rand.Rand, end time.Time) map[string]int {
	injected := map[string]int{}
	for time.Now().Before(end) {
		var picked []int
		for i := range c.programs {
			if rng.IntN(2) == 0 {
				picked = append(picked, i)
			}
		}
		outage := time.Duration(rng.Int64N(int64(maxSoakOutage)))
		if rng.IntN(2) == 0 {
			injected[fmt.Sprint(len(picked), " stopped")]++
			c.signal(syscall.SIGSTOP, picked)
			time.Sleep(outage)
			c.signal(syscall.SIGCONT, picked)
		} else {
			injected[fmt.Sprint(len(picked), " killed")]++
			c.kill(picked...)
			time.Sleep(outage)
			c.restart(picked...)
		}
		time.Sleep(time.Duration(rng.Int64N(int64(maxSoakPause))))
	}
	return injected
}

func (c *storeCluster) signal(signal syscall.Signal, replicas []int) {
	for _, i := range replicas {
		c.programs[i].signal(signal)
	}
}

// TestStoreSoak stops and kills replicas at random, also a majority of them, while clients read and
// write at all replicas: over HTTP, whose history must be linearizable, and over ZooKeeper, whose
// writes are forwarded without names. No acknowledged write may be missing, and none applied twice.
// It takes the time given by -soak, and is short without it; -soak-seed chooses the faults.
func TestStoreSoak(t *testing.T) {
	t.Parallel()
	duration := shortStoreSoak
	if *soakFor > 0 {
		duration = *soakFor
	}
	t.Logf("seed %d", *soakSeed)
	c := startStore(t, binary, binary, binary, binary, binary)
	c.waitLeader()
	require.NoError(t, c.client.Create(sequenceParent, nil))
	registers := newRegisterClients(c)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var clients sync.WaitGroup
	for id := range soakClients {
		clients.Go(func() { registers.run(ctx, id, rand.New(rand.NewPCG(*soakSeed, uint64(id)))) })
	}
	var writers []*sequentialWriter
	for i, r := range c.replicas {
		w := newSequentialWriter(t, fmt.Sprint("writer-", i), r)
		writers = append(writers, w)
		clients.Go(func() { w.run(ctx) })
	}
	waitAcknowledged(t, 1, writers...)
	injected := c.injectFaults(rand.New(rand.NewPCG(*soakSeed, soakClients)), time.Now().Add(duration))
	c.waitLeader()
	waitAcknowledged(t, 1, writers...)
	stop()
	clients.Wait()
	result, n := registers.history.Check(maxHistoryCheck)
	t.Logf("%d operations, %d refused or unanswered reads, %d not found; faults %v; %s", n, registers.refused.Load(), registers.notFound.Load(), injected, result)
	require.Equal(t, porcupine.Ok, result)
	require.Zero(t, registers.notFound.Load())
	c.checkSequence(writers...)
}
