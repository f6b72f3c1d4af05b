package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"path"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"
)

// A configuration is published as a whole: each accepted text is one entry of the log and gets its
// own version, and the latest versions are retained. The publisher names its request. A request is
// applied once, at whichever replica and however often it is repeated, as long as its version is
// retained. The text is also stored at a node, for clients that read nodes.

const (
	configPath        = "/v1/config"
	configNodes       = "/config" // parent of the nodes with the latest texts
	maxRevisions      = 64        // retained versions of one configuration
	maxHistoryBytes   = 2 << 20   // total size of the retained texts; the latest is always retained
	maxConfigurations = 64
)

// Errors of publishing.
var (
	ErrNoRevision = errors.New("no such version")
	ErrReused     = errors.New("another text was published under this request's name")
	ErrRefused    = errors.New("the text is refused")
)

// Revision is one version of a configuration.
type Revision struct {
	Version uint64 `json:"version"` // from 1, consecutive
	Text    string `json:"text,omitempty"`
	Request string `json:"request"`        // the publisher's name of the request
	By      string `json:"by,omitempty"`   // who published it
	From    uint64 `json:"from,omitempty"` // the earlier version whose text this one repeats
	TimeMs  int64  `json:"time_ms"`        // Unix milliseconds, by the clock of the leader
}

// publication holds the parameters of a publish request other than the text.
type publication struct {
	Request string `json:"request"`
	By      string `json:"by,omitempty"`
	From    uint64 `json:"from,omitempty"` // publish this version's text instead
	Expect  uint64 `json:"expect,omitempty"`
	Checked bool   `json:"checked,omitempty"` // Expect is checked, even if it is 0
}

// put sets a node, creating it and its missing parents if needed.
func (t *tree) put(op uint64, p string, data []byte) error {
	if err := checkPath(p); err != nil {
		return err
	}
	if t.Nodes[p] != nil {
		return t.set(op, p, data, AnyVersion)
	}
	if dir := path.Dir(p); t.Nodes[dir] == nil {
		if err := t.put(op, dir, nil); err != nil {
			return err
		}
	}
	return t.create(op, p, data, "")
}

// publish stores a text as the next version.
func (t *tree) publish(op uint64, name string, text []byte, q *publication) (*Revision, error) {
	list := t.Published[name]
	latest := uint64(0)
	if n := len(list); n > 0 {
		latest = list[n-1].Version
	}
	if q.From > 0 {
		earlier := findRevision(list, q.From)
		if earlier == nil {
			return nil, fmt.Errorf("%w: %s has no version %d, or no longer", ErrNoRevision, name, q.From)
		}
		text = []byte(earlier.Text)
	}
	for i := range list {
		if r := &list[i]; r.Request == q.Request {
			if r.Text != string(text) {
				return nil, fmt.Errorf("%w: %s, version %d", ErrReused, q.Request, r.Version)
			}
			return r, nil
		}
	}
	switch {
	case q.Checked && q.Expect != latest:
		return nil, fmt.Errorf("%w: %s is at %d, not %d", ErrBadVersion, name, latest, q.Expect)
	case len(list) == 0 && len(t.Published) >= maxConfigurations:
		return nil, fmt.Errorf("%w: %d configurations are the most", errInput, maxConfigurations)
	}
	if err := t.put(op, path.Join(configNodes, name), text); err != nil {
		return nil, err
	}
	list = append(list, Revision{Version: latest + 1, Text: string(text), Request: q.Request, By: q.By, From: q.From, TimeMs: t.nowMs})
	bytes := 0
	for i := len(list) - 1; i >= 0; i-- {
		if bytes += len(list[i].Text); i < len(list)-1 && (bytes > maxHistoryBytes || len(list)-i > maxRevisions) {
			list = append([]Revision(nil), list[i+1:]...)
			break
		}
	}
	t.Published[name] = list
	return &list[len(list)-1], nil
}

func findRevision(list []Revision, version uint64) *Revision {
	for i := range list {
		if list[i].Version == version {
			return &list[i]
		}
	}
	return nil
}

// Publish publishes a text at the leader and returns its version. A repeated request gets the same
// answer as the first. ErrUnknown means that the text may have been published; the request can be
// repeated under the same name, at any replica.
func (r *Replica) Publish(ctx context.Context, name string, text []byte, request, by string, expect *uint64) (Revision, error) {
	q := &publication{Request: request, By: by}
	if expect != nil {
		q.Expect, q.Checked = *expect, true
	}
	return r.publish(ctx, name, text, q)
}

// Rollback publishes the text of an earlier version again.
func (r *Replica) Rollback(ctx context.Context, name string, to uint64, request, by string) (Revision, error) {
	return r.publish(ctx, name, nil, &publication{Request: request, By: by, From: to})
}

func (r *Replica) publish(ctx context.Context, name string, text []byte, q *publication) (Revision, error) {
	if name == "" || strings.Contains(name, "/") || q.Request == "" || len(q.Request) > 128 || len(text) > maxDataBytes {
		return Revision{}, fmt.Errorf("%w: a configuration has a name without /, a request's name of up to 128 bytes and up to %d bytes",
			errInput, maxDataBytes)
	}
	result, err := r.propose(ctx, command{Op: opPublish, Path: name, Data: text, Publish: q})
	if err != nil {
		return Revision{}, err
	}
	if result.Err != nil {
		return Revision{}, result.Err
	}
	if result.Revision == nil {
		return Revision{}, fmt.Errorf("%w: an answer without a version", ErrUnknown)
	}
	return *result.Revision, nil
}

// Put sets a node, creating it and its missing parents if needed, at the leader.
func (r *Replica) Put(ctx context.Context, path string, data []byte) error {
	return resultError(r.propose(ctx, command{Op: opPut, Path: path, Data: data}))
}

// CompareAndSet sets the data of a node that is at the given version, at the leader. A call with an
// unknown outcome that is applied late does not overwrite later writes. ErrBadVersion means that
// the node is at another version.
func (r *Replica) CompareAndSet(ctx context.Context, path string, data []byte, version int64) error {
	return resultError(r.propose(ctx, command{Op: opSet, Path: path, Data: data, Version: version}))
}

// CreateAll creates a node that must not exist yet, and its missing parents, at the leader.
// ErrNodeExists means that the node exists.
func (r *Replica) CreateAll(ctx context.Context, p string, data []byte) error {
	err := resultError(r.propose(ctx, command{Op: opCreate, Path: p, Data: data}))
	if errors.Is(err, ErrNoNode) { // the parent is missing
		if err := r.Put(ctx, path.Dir(p), nil); err != nil {
			return err
		}
		err = resultError(r.propose(ctx, command{Op: opCreate, Path: p, Data: data}))
	}
	return err
}

// DeleteIfExists removes a node, at the leader. It returns nil if the node does not exist.
func (r *Replica) DeleteIfExists(ctx context.Context, p string) error {
	err := resultError(r.propose(ctx, command{Op: opRemove, Path: p, Version: AnyVersion}))
	if errors.Is(err, ErrNoNode) {
		return nil
	}
	return err
}

// Published returns the retained versions of a configuration, oldest first, as this replica has
// them.
func (r *Replica) Published(name string) []Revision {
	list, _ := r.published(name)
	return list
}

// published is Published that also returns the index of the state.
func (r *Replica) published(name string) ([]Revision, uint64) {
	r.machine.mu.RLock()
	defer r.machine.mu.RUnlock()
	return append([]Revision(nil), r.machine.tree.Published[name]...), r.machine.tree.Index
}

// Latest returns the latest version of a configuration as this replica has it; version 0 means that
// there is none.
func (r *Replica) Latest(name string) Revision {
	r.machine.mu.RLock()
	defer r.machine.mu.RUnlock()
	if list := r.machine.tree.Published[name]; len(list) > 0 {
		return list[len(list)-1]
	}
	return Revision{}
}

// Checks validate texts before they are published, by the name of the configuration. A
// configuration without a check can't be published.
type Checks map[string]func(text []byte) error

// config handles calls for a configuration: GET lists the retained versions, POST publishes a text
// or, with from, rolls back to an earlier version.
func (a *API) config(ctx *fasthttp.RequestCtx, name string) error {
	args := ctx.QueryArgs()
	number := func(key string) (uint64, bool, error) {
		v := string(args.Peek(key))
		if v == "" {
			return 0, false, nil
		}
		n, err := strconv.ParseUint(v, 10, 64)
		if err != nil {
			return 0, false, fmt.Errorf("%w: %s is %.40q, not a number", errInput, key, v)
		}
		return n, true, nil
	}
	switch {
	case ctx.IsGet():
		f, err := a.waitFresh(ctx)
		if err != nil {
			return err
		}
		revisions, index := a.replica.published(name)
		if err := a.waitConfirmed(f, index); err != nil {
			return err
		}
		setVersion(ctx, index)
		return reply(ctx, fasthttp.StatusOK, revisions)
	case !ctx.IsPost():
		return errMethod
	}
	check := a.checks[name]
	if check == nil {
		return fmt.Errorf("%w: there is no configuration %q to publish", errInput, name)
	}
	from, rollback, err := number("from")
	if err != nil {
		return err
	}
	expect, hasExpect, err := number("expect")
	if err != nil {
		return err
	}
	text := append([]byte(nil), ctx.PostBody()...)
	if rollback {
		if earlier := findRevision(a.replica.Published(name), from); earlier != nil {
			text = []byte(earlier.Text)
		}
	}
	if len(text) > 0 || !rollback {
		if err := check(text); err != nil {
			return fmt.Errorf("%w: %w", ErrRefused, err)
		}
	}
	q := &publication{Request: string(args.Peek("request")), By: string(args.Peek("by")), From: from, Expect: expect, Checked: hasExpect}
	if rollback {
		text = nil
	}
	wait, cancel := context.WithTimeout(context.Background(), applyTimeout)
	defer cancel()
	r, err := a.replica.publish(wait, name, text, q)
	if err != nil {
		return withName(err)
	}
	setVersion(ctx, a.replica.machine.appliedIndex())
	r.Text = ""
	return reply(ctx, fasthttp.StatusCreated, r)
}

// maxPublishAttempts is the number of times that a client sends a request whose outcome is unknown.
const maxPublishAttempts = 5

// Publish publishes a text or, with from, rolls back to that version, under a request's name. The
// request is repeated while its outcome is unknown, and is applied once.
func (c *Client) Publish(name string, text []byte, request, by string, expect *uint64, from uint64) (Revision, error) {
	uri := fasthttp.AcquireURI()
	defer fasthttp.ReleaseURI(uri)
	uri.SetPath(configPath + "/" + name)
	args := uri.QueryArgs()
	args.Set("request", request)
	args.Set("by", by)
	if expect != nil {
		args.Set("expect", strconv.FormatUint(*expect, 10))
	}
	if from > 0 {
		args.Set("from", strconv.FormatUint(from, 10))
	}
	var r Revision
	var last error
	for range maxPublishAttempts {
		status, answer, err := c.call(fasthttp.MethodPost, string(uri.RequestURI()), text)
		switch {
		case err != nil:
			last = err
			continue
		case status != fasthttp.StatusCreated:
			return r, fmt.Errorf("publish %s: %w", name, answerError(status, answer))
		}
		if err := json.Unmarshal(answer, &r); err != nil {
			return r, fmt.Errorf("publish %s: %w", name, err)
		}
		return r, nil
	}
	return r, fmt.Errorf("publish %s: %w: %w", name, ErrUnknown, last)
}

func answerError(status int, answer []byte) error {
	var a struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(answer, &a) != nil || a.Error == "" {
		return fmt.Errorf("status %d: %.200s", status, answer)
	}
	return errors.New(a.Error)
}

// Published returns the retained versions of a configuration, oldest first.
func (c *Client) Published(name string) ([]Revision, error) {
	status, answer, err := c.call(fasthttp.MethodGet, configPath+"/"+name, nil)
	if err != nil {
		return nil, err
	}
	if status != fasthttp.StatusOK {
		return nil, fmt.Errorf("configuration %s: %w", name, answerError(status, answer))
	}
	var out []Revision
	if err := json.Unmarshal(answer, &out); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", name, err)
	}
	return out, nil
}
