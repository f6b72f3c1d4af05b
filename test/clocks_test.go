package test

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// clockStep is the size of a clock step, as when a clock is set to the wrong time zone.
const clockStep = time.Hour

// Guards against a router that treats a worker which has just started as warm because its own wall
// clock, or the one from which the start time was taken, is wrong by an hour.
func TestClockErrorsDoNotMakeNewWorkerWarm(t *testing.T) {
	const maxShare = 0.25 // of the answers; a warm worker has half of them
	for name, off := range map[string]struct{ router, others time.Duration }{
		"all clocks right":          {0, 0},
		"all stepped back":          {-clockStep, -clockStep},
		"all stepped forward":       {clockStep, clockStep},
		"the router's stepped back": {-clockStep, 0},
		"the router's forward":      {clockStep, 0},
		"the others' stepped back":  {0, -clockStep},
		"the others' forward":       {0, clockStep},
	} {
		t.Run(name, func(t *testing.T) {
			r, w := pair(t, nil)
			other := newWorker(t, "s-00000003", "writer", nil)
			p, wall, d := startPlatformWithClock(t, r, w, other)
			stop := sendTraffic(p)
			defer stop()
			eventually(t, func() bool { return countPosts(w) > 50 && countPosts(other) > 50 }, "both writers are in use")
			require.NoError(t, wall.Set(off.router))
			d.addList(false, "terminated", w)
			time.Sleep(300 * time.Millisecond)
			fresh, warm := countPosts(w), countPosts(other)
			p.waitForList(d.addWorkerStartedAt(w, time.Now().Add(off.others)))
			time.Sleep(time.Second)
			fresh, warm = countPosts(w)-fresh, countPosts(other)-warm
			t.Logf("%d answers of the new worker, %d of the other", fresh, warm)
			require.Less(t, float64(fresh)/float64(fresh+warm), maxShare)
		})
	}
}

// readFirstEvent reads an answer up to its first event.
func readFirstEvent(t *testing.T, br *bufio.Reader) {
	for {
		line, err := br.ReadString('\n')
		require.NoError(t, err)
		if strings.HasPrefix(line, "data:") {
			return
		}
	}
}

// The deadline of a request runs from its last byte, also if the request is pipelined behind one
// that is still being answered. The router must not state more time left to a worker than the
// client has.
func TestDeadlineOfPipelinedRequestRunsFromArrival(t *testing.T) {
	more := make(chan struct{})
	k := newWorker(t, "s-00000001", "mixed", heldStream(more))
	p, _ := startPlatform(t, k)
	c, err := net.Dial("tcp", p.addr)
	require.NoError(t, err)
	defer c.Close()
	br := bufio.NewReader(c)
	require.NoError(t, p.request("query", newID(), 3*time.Second).Write(c))
	readFirstEvent(t, br)
	second := newID()
	require.NoError(t, p.request("query", second, time.Second).Write(c))
	sent := time.Now()
	time.Sleep(700 * time.Millisecond)
	close(more)
	eventually(t, func() bool { return len(k.received(http.MethodPost)) == 2 }, "the second request is forwarded")
	got := k.received(http.MethodPost)[1]
	require.Equal(t, second, got.id)
	stated, err := strconv.Atoi(got.header.Get("X-Time-Left-Ms"))
	require.NoError(t, err)
	left := time.Second - got.at.Sub(sent)
	require.LessOrEqual(t, time.Duration(stated)*time.Millisecond, left+timeLeftTolerance)
}

// timeLeftTolerance is how much X-Time-Left-Ms may exceed the time that is left.
const timeLeftTolerance = 150 * time.Millisecond
