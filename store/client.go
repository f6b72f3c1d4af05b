package store

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"path"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"lichenshelf/internal/transient"
)

const (
	callTimeout = 5 * time.Second
	// electionTimeout is how long a write is repeated while no replica leads.
	electionTimeout    = 5 * time.Second
	electionRetryMin   = 50 * time.Millisecond
	electionRetryMax   = 500 * time.Millisecond
	maxRedirects       = 3 // from replicas that redirect to the leader
	registerRetryDelay = 200 * time.Millisecond
	touchesPerTimeout  = 3 // touches sent during one session time-out
)

// Client calls the API of the replicas at the given addresses. No answer is older than an earlier
// one, whichever replica gives it.
type Client struct {
	addrs       []string
	http        fasthttp.Client
	seen        atomic.Uint64 // the highest version of any answer
	name        string        // unique among all clients that write
	namedWrites atomic.Uint64 // number of writes named so far
	repeatFor   time.Duration // how long a write is repeated while no replica leads
}

// NewClient returns a client that tries the replicas in the given order.
func NewClient(addrs ...string) *Client {
	return &Client{addrs: addrs, http: newSingleAttemptClient(), name: rand.Text(), repeatFor: electionTimeout}
}

// newSingleAttemptClient returns an HTTP client that never repeats a request by itself: a create
// that is sent twice would fail on its own node.
func newSingleAttemptClient() fasthttp.Client {
	return fasthttp.Client{
		ReadTimeout: callTimeout, WriteTimeout: callTimeout,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

// writeName identifies a write at all replicas.
type writeName struct {
	name string // empty: the call is not a write
	seen uint64
}

// call tries one replica after the other until one gives a conclusive answer. A write has the same
// name at all of them, and is applied once. After ErrUnknown it may have been applied, after any
// other error it was not.
func (c *Client) call(method, uri string, body []byte) (status int, answer []byte, err error) {
	var write writeName
	if method != fasthttp.MethodGet {
		write = writeName{c.name + "-" + strconv.FormatUint(c.namedWrites.Add(1), 10), c.seen.Load()}
	}
	status, answer, unapplied, err := c.askUntilLed(write, method, uri, body)
	// The write was not applied, but too many answers were dropped since the version that the
	// client had seen: the call is repeated with the newer version from the refusal.
	if err == nil && status == fasthttp.StatusGone && unapplied {
		write.seen = c.seen.Load()
		status, answer, unapplied, err = c.askUntilLed(write, method, uri, body)
	}
	switch {
	case err != nil && write.name != "" && !unapplied:
		return 0, nil, fmt.Errorf("ask the store: %w: %w", ErrUnknown, err)
	case err != nil:
		return 0, nil, fmt.Errorf("ask the store: %w", err)
	}
	return status, answer, nil
}

// askUntilLed repeats a write while replicas answer that none of them leads: an election is soon
// over, and a write that is repeated under its name is applied once. It also reports whether no
// replica but the one that answered can have applied the write.
func (c *Client) askUntilLed(write writeName, method, uri string, body []byte) (status int, answer []byte, unapplied bool, err error) {
	retry := transient.NewBackoff(electionRetryMin, electionRetryMax)
	unapplied = true
	for end := time.Now().Add(c.repeatFor); ; {
		var unappliedNow bool
		status, answer, unappliedNow, err = c.askAll(write, method, uri, body)
		unapplied = unapplied && unappliedNow
		wait := retry.NextBackOff()
		if write.name == "" || !errors.Is(err, errUnavailable) || time.Until(end) < wait {
			return status, answer, unapplied, err
		}
		time.Sleep(wait)
	}
}

// errUnavailable means that a replica answered, but can't take the call now, as while none leads.
var errUnavailable = errors.New("no replica takes the call now")

// askAll tries one replica after the other. It also reports whether no replica but the one that
// answered can have applied the write.
func (c *Client) askAll(write writeName, method, uri string, body []byte) (status int, answer []byte, unapplied bool, err error) {
	unapplied, err = true, errors.New("no replica to ask")
	unavailable := false
	for _, addr := range c.addrs {
		status, answer, err = c.ask(addr, write, method, uri, body)
		if err == nil && status < fasthttp.StatusInternalServerError {
			return status, answer, unapplied, nil
		}
		unapplied = unapplied && (unsent(err) || errors.Is(err, ErrNotLeader))
		unavailable = unavailable || errors.Is(err, errUnavailable) || err == nil && status == fasthttp.StatusServiceUnavailable
		if err == nil {
			err = fmt.Errorf("%s answered %d: %s", addr, status, answer)
		}
	}
	if unavailable && !errors.Is(err, errUnavailable) {
		err = fmt.Errorf("%w: %w", errUnavailable, err)
	}
	return 0, nil, unapplied, err
}

func (c *Client) ask(addr string, write writeName, method, uri string, body []byte) (int, []byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + addr + uri)
	req.SetBody(body)
	if write.name != "" {
		req.Header.Set(WriteHeader, write.name)
		req.Header.Set(WriteSeenHeader, strconv.FormatUint(write.seen, 10))
	}
	if seen := c.seen.Load(); seen > 0 {
		req.Header.Set(VersionHeader, strconv.FormatUint(seen, 10))
	}
	if err := c.doRedirects(req, resp); err != nil {
		return 0, nil, fmt.Errorf("%s: %w", addr, err)
	}
	if v, err := strconv.ParseUint(string(resp.Header.Peek(VersionHeader)), 10, 64); err == nil {
		for seen := c.seen.Load(); v > seen && !c.seen.CompareAndSwap(seen, v); seen = c.seen.Load() {
		}
	}
	if notApplied(resp) {
		return 0, nil, fmt.Errorf("%w: %s: %w: %s", errUnavailable, addr, ErrNotLeader, resp.Body())
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...), nil
}

// doRedirects makes a call and follows the redirects to the leader. If the leader can't be reached
// the error is errUnavailable: the replica will soon name another one.
func (c *Client) doRedirects(req *fasthttp.Request, resp *fasthttp.Response) error {
	err := c.http.Do(req, resp)
	for redirects := 0; err == nil && resp.StatusCode() == fasthttp.StatusTemporaryRedirect; redirects++ {
		if redirects == maxRedirects {
			return fmt.Errorf("%w: %w: %d redirects", errUnavailable, ErrNotLeader, redirects)
		}
		req.SetRequestURI(string(resp.Header.Peek(fasthttp.HeaderLocation)))
		if err = c.http.Do(req, resp); err != nil {
			return fmt.Errorf("%w: leader %s: %w", errUnavailable, req.Host(), err)
		}
	}
	return err
}

// expect returns an error for all but the given statuses.
func (c *Client) expect(method, uri string, body []byte, statuses ...int) ([]byte, error) {
	status, answer, err := c.call(method, uri, body)
	if err != nil {
		return nil, err
	}
	for _, s := range statuses {
		if s == status {
			return answer, nil
		}
	}
	err = fmt.Errorf("%s %s: status %d: %s", method, uri, status, answer)
	if status == fasthttp.StatusNotFound {
		err = fmt.Errorf("%w: %w", ErrNoSession, err)
	}
	return nil, err
}

// Node reads a node. It returns ErrNoNode if the node does not exist.
func (c *Client) Node(path string) (Node, error) {
	var n Node
	status, answer, err := c.call(fasthttp.MethodGet, nodesPath+path, nil)
	switch {
	case err != nil:
		return n, err
	case status == fasthttp.StatusNotFound:
		return n, fmt.Errorf("%w: %s", ErrNoNode, path)
	case status != fasthttp.StatusOK:
		return n, fmt.Errorf("read %s: status %d: %s", path, status, answer)
	}
	if err := json.Unmarshal(answer, &n); err != nil {
		return n, fmt.Errorf("read %s: %w", path, err)
	}
	return n, nil
}

// Create creates a persistent node.
func (c *Client) Create(path string, data []byte) error {
	return c.change(fasthttp.MethodPost, nodesPath+path, data)
}

// Set replaces a node's data if its version matches.
func (c *Client) Set(path string, data []byte, version int64) error {
	return c.change(fasthttp.MethodPut, nodesPath+path+"?version="+strconv.FormatInt(version, 10), data)
}

// Delete removes a node without children if its version matches.
func (c *Client) Delete(path string, version int64) error {
	return c.change(fasthttp.MethodDelete, nodesPath+path+"?version="+strconv.FormatInt(version, 10), nil)
}

func (c *Client) change(method, uri string, body []byte) error {
	status, answer, err := c.call(method, uri, body)
	switch {
	case err != nil:
		return err
	case status == fasthttp.StatusGone:
		return fmt.Errorf("%w: status %d: %s", ErrUnknown, status, answer)
	case status/100 != 2:
		return fmt.Errorf("status %d: %s", status, answer)
	}
	return nil
}

// Next waits until a node differs from the given versions and returns it; false means that the wait
// ended first. It returns ErrNoNode if the node was removed.
func (c *Client) Next(path string, version, children int64, wait time.Duration) (Node, bool, error) {
	var n Node
	status, answer, err := c.call(fasthttp.MethodGet, fmt.Sprintf("%s%s?watch=1&version=%d&children=%d&wait_ms=%d",
		nodesPath, path, version, children, wait.Milliseconds()), nil)
	switch {
	case err != nil:
		return n, false, err
	case status == fasthttp.StatusNoContent:
		return n, false, nil
	case status == fasthttp.StatusNotFound:
		return n, false, fmt.Errorf("%w: %s", ErrNoNode, path)
	case status != fasthttp.StatusOK:
		return n, false, fmt.Errorf("watch %s: status %d: %s", path, status, answer)
	}
	if err := json.Unmarshal(answer, &n); err != nil {
		return n, false, fmt.Errorf("watch %s: %w", path, err)
	}
	return n, true, nil
}

// Register keeps an ephemeral node with the data until ctx ends, opening a new session whenever one
// is lost. A missing parent node is created. Errors are reported to problem.
func (c *Client) Register(ctx context.Context, node string, data []byte, timeout time.Duration, problem func(error)) {
	for ctx.Err() == nil {
		if err := c.register(ctx, node, data, timeout); err != nil && ctx.Err() == nil {
			problem(err)
		}
		select {
		case <-time.After(registerRetryDelay):
		case <-ctx.Done():
		}
	}
}

// register runs one session, until it is lost or ctx ends.
func (c *Client) register(ctx context.Context, node string, data []byte, timeout time.Duration) error {
	if _, err := c.expect(fasthttp.MethodPost, nodesPath+path.Dir(node), nil, fasthttp.StatusCreated, fasthttp.StatusConflict); err != nil {
		return err
	}
	text, err := c.expect(fasthttp.MethodPost, sessionsPath, []byte(`{"timeout_ms":`+strconv.FormatInt(timeout.Milliseconds(), 10)+`}`), fasthttp.StatusCreated)
	if err != nil {
		return err
	}
	var s struct {
		Session string `json:"session"`
	}
	if err := json.Unmarshal(text, &s); err != nil {
		return fmt.Errorf("session: %w", err)
	}
	session := sessionsPath + "/" + s.Session
	defer func() { _, _, _ = c.call(fasthttp.MethodDelete, session, nil) }()
	// The node of an earlier session exists until that session times out, and this call fails
	// until then.
	if _, err := c.expect(fasthttp.MethodPost, nodesPath+node+"?session="+s.Session, data, fasthttp.StatusCreated); err != nil {
		return err
	}
	ticker := time.NewTicker(timeout / touchesPerTimeout)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if _, err := c.expect(fasthttp.MethodPut, session, nil, fasthttp.StatusNoContent); errors.Is(err, ErrNoSession) {
			return err
		}
	}
}
