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

// hour is a step of a clock, as when it is set by hand to the time of another place.
const hour = time.Hour

// A worker that has just started is sent to as a cold one, whatever the router's wall clock, or that of the others, says.
func TestNoClockMakesAFreshWorkerWarm(t *testing.T) {
	const most = 0.25 // of the answers; a warm one has half of them
	for name, off := range map[string]struct{ router, others time.Duration }{
		"all clocks right":          {0, 0},
		"all stepped back":          {-hour, -hour},
		"all stepped forward":       {hour, hour},
		"the router's stepped back": {-hour, 0},
		"the router's forward":      {hour, 0},
		"the others' stepped back":  {0, -hour},
		"the others' forward":       {0, hour},
	} {
		t.Run(name, func(t *testing.T) {
			r, w := pair(t, nil)
			other := newWorker(t, "s-00000003", "writer", nil)
			p, wall, d := platformSteppable(t, r, w, other)
			stop := traffic(p)
			defer stop()
			eventually(t, func() bool { return posts(w) > 50 && posts(other) > 50 }, "both writers are in use")
			require.NoError(t, wall.Set(off.router))
			d.list(false, "terminated", w)
			time.Sleep(300 * time.Millisecond)
			fresh, warm := posts(w), posts(other)
			p.told(d.listSince(w, time.Now().Add(off.others)))
			time.Sleep(time.Second)
			fresh, warm = posts(w)-fresh, posts(other)-warm
			t.Logf("%d answers of the fresh worker, %d of the other", fresh, warm)
			require.Less(t, float64(fresh)/float64(fresh+warm), most)
		})
	}
}

// lineBegun reads an answer's head and its first event.
func lineBegun(t *testing.T, br *bufio.Reader) {
	for {
		line, err := br.ReadString('\n')
		require.NoError(t, err)
		if strings.HasPrefix(line, "data:") {
			return
		}
	}
}

// A client's time runs from the last byte of its request, also where that was sent while the answer before it was still
// going on. A worker is never told that more is left than the client has, and the answer comes in the client's time.
func TestTheTimeOfARequestSentAheadRunsFromItsArrival(t *testing.T) {
	more := make(chan struct{})
	k := newWorker(t, "s-00000001", "mixed", heldStream(more))
	p, _ := platform(t, k)
	c, err := net.Dial("tcp", p.addr)
	require.NoError(t, err)
	defer c.Close()
	br := bufio.NewReader(c)
	require.NoError(t, p.request("query", newID(), 3*time.Second).Write(c))
	lineBegun(t, br)
	second := newID()
	require.NoError(t, p.request("query", second, time.Second).Write(c))
	sent := time.Now()
	time.Sleep(700 * time.Millisecond)
	close(more)
	eventually(t, func() bool { return len(k.got(http.MethodPost)) == 2 }, "the second request is sent on")
	got := k.got(http.MethodPost)[1]
	require.Equal(t, second, got.id)
	told, err := strconv.Atoi(got.header.Get("X-Time-Left-Ms"))
	require.NoError(t, err)
	left := time.Second - got.at.Sub(sent)
	require.LessOrEqual(t, time.Duration(told)*time.Millisecond, left+toldSlack)
}

// toldSlack is how much more time than is left a worker may be told.
const toldSlack = 150 * time.Millisecond
