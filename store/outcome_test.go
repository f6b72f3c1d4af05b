package store

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

const (
	testSession = "0000000000000001"
	testHolder  = "holder"
)

// appender appends sequential nodes at a replica, one after the other, and never repeats one.
type appender struct {
	t       *testing.T
	replica *Replica
	parent  string
	results []appendResult
}

// appendResult is the outcome of one append. Each has unique data.
type appendResult struct {
	data string
	err  error
}

func newAppender(t *testing.T, r *Replica, parent string) *appender {
	require.NoError(t, r.CreateAll(t.Context(), parent, nil))
	require.NoError(t, r.OpenSession(t.Context(), testSession, nil, testHolder, time.Hour))
	return &appender{t: t, replica: r, parent: parent}
}

func (a *appender) appendNode() error {
	data := fmt.Sprint("data-", len(a.results))
	result, err := a.replica.Commit(a.t.Context(), testSession, testHolder,
		Step{Op: StepCreate, Path: a.parent + "/n-", Data: []byte(data), Sequence: true})
	a.results = append(a.results, appendResult{data, resultError(result, err)})
	return err
}

// check compares the nodes with the results: each append is applied at most once, and exactly once
// if it was acknowledged.
func (a *appender) check() {
	unknown := 0
	nodes := map[string][]string{}
	names, err := a.replica.Children(a.parent)
	require.NoError(a.t, err)
	for _, name := range names {
		data, _, err := a.replica.Get(a.parent + "/" + name)
		require.NoError(a.t, err)
		nodes[string(data)] = append(nodes[string(data)], name)
	}
	for _, r := range a.results {
		if r.err == nil {
			require.Len(a.t, nodes[r.data], 1, "%s was sent once and acknowledged", r.data)
			continue
		}
		unknown++
		a.t.Logf("%s: %v", r.data, r.err)
		require.ErrorIs(a.t, r.err, ErrUnknown)
		require.LessOrEqual(a.t, len(nodes[r.data]), 1, "%s was sent once, nodes %v: %v", r.data, nodes[r.data], r.err)
	}
	a.t.Logf("%d appends, %d of them with an unknown outcome", len(a.results), unknown)
}

// Guards against writes that are applied twice: a follower that forwarded a write sent it again
// after the leader had lost its majority with the write in its log.
func TestForwardedWriteIsAppliedOnceWhenLeaderLosesMajority(t *testing.T) {
	const size, rounds, appendsPerRound = 5, 3, 20
	c := newClusterOf(t, size)
	writer := (c.leader() + 1) % size
	a := newAppender(t, c.replicas[writer], "/log")
	var stop atomic.Bool
	var writing sync.WaitGroup
	var acknowledged atomic.Int64
	writing.Go(func() {
		for !stop.Load() && t.Context().Err() == nil {
			if a.appendNode() == nil {
				acknowledged.Add(1)
			}
		}
	})
	awaitAppends := func() {
		before := acknowledged.Load()
		c.eventually(func() bool { return acknowledged.Load() >= before+appendsPerRound })
	}
	for range rounds {
		awaitAppends()
		leader := c.leader()
		if leader == writer {
			require.NoError(t, c.replicas[writer].TransferLeadership(c.cfg[(writer+1)%size].ID))
			leader = c.leader()
		}
		c.closeAllBut(leader, writer)
		c.eventually(func() bool { return !c.replicas[leader].IsLeader() })
		c.openClosed()
		c.leader()
	}
	awaitAppends()
	stop.Store(true)
	writing.Wait()
	require.NoError(t, c.replicas[writer].CatchUp(t.Context()))
	a.check()
}

// closeAllBut closes all other replicas, at the same time.
func (c *cluster) closeAllBut(kept ...int) {
	var closing sync.WaitGroup
	for i := range c.replicas {
		if !slices.Contains(kept, i) {
			closing.Go(func() { c.close(i) })
		}
	}
	closing.Wait()
}

func (c *cluster) openClosed() {
	for i, r := range c.replicas {
		if r == nil {
			c.open(i)
		}
	}
}

// leaderAnswer is an answer of a leader to a forwarded command.
type leaderAnswer struct {
	name       string
	status     int
	outcome    string // OutcomeHeader; releases before it send none
	text       string
	applied    bool // whether the command is applied before the answer
	repeatable bool // whether the follower may send the command again
}

// Guards against the same while releases mix: the leader may be of a release that answers 503
// without OutcomeHeader, whether or not it applied the write.
func TestFollowerRepeatsOnlyWhatTheLeaderDidNotApply(t *testing.T) {
	for _, answer := range []leaderAnswer{
		{"not the leader", fasthttp.StatusServiceUnavailable, OutcomeNotApplied, "not the leader", false, true},
		{"unknown", fasthttp.StatusGatewayTimeout, OutcomeUnknown, ErrUnknown.Error(), true, false},
		{"earlier release, redirect", fasthttp.StatusTemporaryRedirect, "", "not the leader", false, true},
		{"earlier release, not the leader", fasthttp.StatusServiceUnavailable, "", "not the leader", false, false},
		{"earlier release, unknown", fasthttp.StatusServiceUnavailable, "", ErrUnknown.Error(), true, false},
	} {
		t.Run(answer.name, func(t *testing.T) {
			c := newCluster(t)
			a := newAppender(t, c.replicas[(c.leader()+1)%3], "/log")
			standIn := &leaderStandIn{answer: answer}
			handle := standIn.handle
			c.intercept.Store(&handle)
			err := a.appendNode()
			c.intercept.Store(nil)
			require.EqualValues(t, 1, standIn.answered.Load())
			if answer.repeatable {
				require.NoError(t, err)
				require.NotZero(t, standIn.passed.Load(), "the command is sent again")
			} else {
				require.ErrorIs(t, err, ErrUnknown)
				require.Zero(t, standIn.passed.Load(), "the command may have been applied")
			}
			require.NoError(t, a.replica.CatchUp(t.Context()))
			a.check()
		})
	}
}

// leaderStandIn gives one forwarded command a fixed answer, and passes the others to the leader.
type leaderStandIn struct {
	answer   leaderAnswer
	answered atomic.Int64
	passed   atomic.Int64 // commands passed after the answer
}

func (s *leaderStandIn) handle(ctx *fasthttp.RequestCtx, next fasthttp.RequestHandler) {
	if string(ctx.Path()) != commandsPath {
		next(ctx)
		return
	}
	if s.answered.Load() > 0 {
		s.passed.Add(1)
		next(ctx)
		return
	}
	if s.answer.applied {
		next(ctx)
		if ctx.Response.StatusCode() != fasthttp.StatusOK { // this replica does not lead
			return
		}
		ctx.Response.Reset()
	}
	s.answered.Add(1)
	ctx.SetStatusCode(s.answer.status)
	if s.answer.outcome != "" {
		ctx.Response.Header.Set(OutcomeHeader, s.answer.outcome)
	}
	ctx.SetBodyString(fmt.Sprintf(`{"error":%q}`, s.answer.text))
}

// A connection takes over a session although the answer to its command is lost, unless yet another
// connection has taken the session over meanwhile.
func TestAttachIsReadBackAfterAnUnknownOutcome(t *testing.T) {
	const other = "other-holder"
	for _, test := range []struct {
		name           string
		applied, moved bool
		want           error
		holder         string
	}{
		{"applied", true, false, nil, "next-holder"},
		{"not applied", false, false, nil, "next-holder"},
		{"moved meanwhile", false, true, ErrMoved, other},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(t)
			leader := c.leader()
			follower := c.replicas[(leader+1)%3]
			newAppender(t, follower, "/log")
			standIn := &leaderStandIn{answer: leaderAnswer{status: fasthttp.StatusGatewayTimeout, outcome: OutcomeUnknown, text: ErrUnknown.Error(), applied: test.applied}}
			handle := func(ctx *fasthttp.RequestCtx, next fasthttp.RequestHandler) {
				if test.moved && string(ctx.Path()) == commandsPath && standIn.answered.Load() == 0 {
					_, err := c.replicas[leader].apply(command{Op: opAttach, Session: testSession, Claim: &claim{Holder: other}})
					if err != nil {
						t.Error(err)
					}
				}
				standIn.handle(ctx, next)
			}
			c.intercept.Store(&handle)
			err := follower.AttachSession(t.Context(), testSession, nil, "next-holder")
			c.intercept.Store(nil)
			require.ErrorIs(t, err, test.want)
			require.NotZero(t, standIn.answered.Load())
			holder, exists := follower.sessionHolder(testSession)
			require.True(t, exists)
			require.Equal(t, test.holder, holder)
		})
	}
}

// Guards against the same where the follower is of an earlier release, which sends a command again
// after 307 and 503: an unknown outcome must have another status. It also guards what other callers
// rely on.
func TestAnswersTellWhetherAWriteMayHaveBeenApplied(t *testing.T) {
	c := newClusterOf(t, 1)
	leader := c.leader()
	for _, test := range []struct {
		err     error
		status  int
		outcome string
	}{
		{applyError(raft.ErrLeadershipLost), fasthttp.StatusGatewayTimeout, OutcomeUnknown},
		{applyError(raft.ErrAbortedByRestore), fasthttp.StatusGatewayTimeout, OutcomeUnknown},
		{applyError(raft.ErrRaftShutdown), fasthttp.StatusGatewayTimeout, OutcomeUnknown},
		{applyError(errors.New("no space left on device")), fasthttp.StatusGatewayTimeout, OutcomeUnknown},
		{withName(applyError(raft.ErrLeadershipLost)), fasthttp.StatusServiceUnavailable, OutcomeUnknown},
		{applyError(raft.ErrNotLeader), fasthttp.StatusServiceUnavailable, OutcomeNotApplied},
		{applyError(raft.ErrEnqueueTimeout), fasthttp.StatusServiceUnavailable, OutcomeNotApplied},
		{applyError(raft.ErrLeadershipTransferInProgress), fasthttp.StatusServiceUnavailable, OutcomeNotApplied},
		{withName(applyError(raft.ErrNotLeader)), fasthttp.StatusServiceUnavailable, OutcomeNotApplied},
	} {
		var ctx fasthttp.RequestCtx
		c.apis[leader].replyError(&ctx, test.err)
		require.Equal(t, test.status, ctx.Response.StatusCode(), test.err)
		require.Equal(t, test.outcome, string(ctx.Response.Header.Peek(OutcomeHeader)), test.err)
	}
}

// A caller of the API whose write is in the log of a leader that loses its majority learns that the
// outcome is unknown, and by the status whether it can send the same call again.
func TestWriteAtLeaderThatLosesMajority(t *testing.T) {
	for name, status := range map[string]int{"": http.StatusGatewayTimeout, "named-write": http.StatusServiceUnavailable} {
		t.Run("name="+name, func(t *testing.T) {
			c := newCluster(t)
			require.NoError(t, c.create("/n", "", ""))
			for {
				resp := c.firstFailedPut(name)
				if resp.Header.Get(OutcomeHeader) == OutcomeUnknown {
					require.Equal(t, status, resp.StatusCode)
					return
				}
				// The leader stepped down between two writes, and refused the second.
				require.Equal(t, OutcomeNotApplied, resp.Header.Get(OutcomeHeader))
				require.NoError(t, t.Context().Err())
				c.openClosed()
			}
		})
	}
}

// firstFailedPut sets a node at the leader, again and again, while the other replicas are closed. It
// returns the first answer that is an error. Each write has a name of its own unless name is empty.
func (c *cluster) firstFailedPut(name string) *http.Response {
	leader := c.leader()
	uri := "http://" + c.cfg[leader].Self().API + "/v1/nodes/n"
	failed := make(chan *http.Response, 1)
	var writes atomic.Int64
	go func() {
		for {
			resp := putNode(uri, name, writes.Load())
			if resp == nil || resp.StatusCode != http.StatusNoContent {
				failed <- resp
				return
			}
			writes.Add(1)
		}
	}()
	c.eventually(func() bool { return writes.Load() > 0 })
	c.closeAllBut(leader)
	resp := <-failed
	require.NotNil(c.t, resp)
	return resp
}

// putNode sets a node. It returns nil if there is no answer.
func putNode(uri, name string, n int64) *http.Response {
	req, err := http.NewRequest(http.MethodPut, uri, strings.NewReader("x"))
	if err != nil {
		return nil
	}
	if name != "" {
		req.Header.Set(WriteHeader, fmt.Sprintf("%s-%d-%d", name, time.Now().UnixNano(), n))
		req.Header.Set(WriteSeenHeader, fmt.Sprint(uint64(math.MaxInt64)))
	}
	direct := &http.Client{Timeout: waitLimit, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	resp, err := direct.Do(req)
	if err != nil {
		return nil
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp
}
