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
)

const (
	callWait     = 5 * time.Second
	mostHops     = 3 // of replicas that send the caller on to the leader
	registerWait = 200 * time.Millisecond
	touchShare   = 3 // of a session's time-out, between two touches
)

// Client speaks with the API of the replicas at the given addresses. What it is answered
// is never older than what it was told before, by whichever replica.
type Client struct {
	addrs []string
	http  fasthttp.Client
	seen  atomic.Uint64 // the newest version that an answer had
	name  string        // of this client among all that write
	wrote atomic.Uint64 // writes that were named
}

// NewClient returns a client that asks the replicas in turn.
func NewClient(addrs ...string) *Client {
	return &Client{addrs: addrs, http: onceClient(), name: rand.Text()}
}

// onceClient is an HTTP client that sends nothing twice on its own: a create that
// went out twice would meet its own node.
func onceClient() fasthttp.Client {
	return fasthttp.Client{
		ReadTimeout: callWait, WriteTimeout: callWait,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

// writeName is how one write is known to all replicas.
type writeName struct {
	name string // empty: it is no write
	seen uint64
}

// call asks one replica after the other until one gives an answer of its own. A write goes under one name to all of them, and is
// applied once.
func (c *Client) call(method, uri string, body []byte) (status int, answer []byte, err error) {
	var write writeName
	if method != fasthttp.MethodGet {
		write = writeName{c.name + "-" + strconv.FormatUint(c.wrote.Add(1), 10), c.seen.Load()}
	}
	status, answer, sure, err := c.askAll(write, method, uri, body)
	if err == nil && status == fasthttp.StatusGone && sure { // what this client had seen is too old for a first write
		write.seen = c.seen.Load()
		status, answer, _, err = c.askAll(write, method, uri, body)
	}
	if err != nil {
		return 0, nil, fmt.Errorf("ask the store: %w", err)
	}
	return status, answer, nil
}

// askAll asks one replica after the other. It tells as well whether none before the one that has answered can have applied a
// write.
func (c *Client) askAll(write writeName, method, uri string, body []byte) (status int, answer []byte, sure bool, err error) {
	sure, err = true, errors.New("no replica to ask")
	for _, addr := range c.addrs {
		status, answer, err = c.ask(addr, write, method, uri, body)
		if err == nil && status < fasthttp.StatusInternalServerError {
			return status, answer, sure, nil
		}
		sure = sure && unsent(err)
		if err == nil {
			err = fmt.Errorf("%s answered %d: %s", addr, status, answer)
		}
	}
	return 0, nil, sure, err
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
	if err := c.http.DoRedirects(req, resp, mostHops); err != nil {
		return 0, nil, fmt.Errorf("%s: %w", addr, err)
	}
	if v, err := strconv.ParseUint(string(resp.Header.Peek(VersionHeader)), 10, 64); err == nil {
		for seen := c.seen.Load(); v > seen && !c.seen.CompareAndSwap(seen, v); seen = c.seen.Load() {
		}
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...), nil
}

// expect makes all but the given statuses an error.
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

// Node reads a node. A missing one is ErrNoNode.
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

// Create makes a node that stays.
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

// Next waits until a node is no longer at the given versions, and returns it then;
// false if the wait was over first. A node that is gone is ErrNoNode.
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

// Register keeps an ephemeral node with the data until ctx ends, over as many
// sessions as it takes. The node's parent is made if it is missing. What goes
// wrong meanwhile is told to problem.
func (c *Client) Register(ctx context.Context, node string, data []byte, timeout time.Duration, problem func(error)) {
	for ctx.Err() == nil {
		if err := c.register(ctx, node, data, timeout); err != nil && ctx.Err() == nil {
			problem(err)
		}
		select {
		case <-time.After(registerWait):
		case <-ctx.Done():
		}
	}
}

// register is one session, until it is lost or ctx ends.
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
	// The node of an earlier session may stand until that has timed out.
	if _, err := c.expect(fasthttp.MethodPost, nodesPath+node+"?session="+s.Session, data, fasthttp.StatusCreated); err != nil {
		return err
	}
	touch := time.NewTicker(timeout / touchShare)
	defer touch.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-touch.C:
		}
		if _, err := c.expect(fasthttp.MethodPut, session, nil, fasthttp.StatusNoContent); errors.Is(err, ErrNoSession) {
			return err
		}
	}
}
