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

// A configuration is published whole: each text that was accepted is one entry of the log and
// a version of its own, and the latest ones are kept. A publisher names its request, and a
// request of a name counts once, at whichever replica and however often it is repeated, as
// long as its version is kept. The text stands at a node too, for who reads that.

const (
	configPath    = "/v1/config"
	configNodes   = "/config" // below it are the latest texts
	mostRevisions = 64        // versions that are kept of one configuration,
	mostHistory   = 2 << 20   // and their bytes; the latest is kept whatever it takes
	mostNames     = 64
)

// The faults of publishing.
var (
	ErrNoRevision = errors.New("no such version")
	ErrReused     = errors.New("another text was published under this request's name")
	ErrRefused    = errors.New("the text is refused")
)

// Revision is one version of a configuration.
type Revision struct {
	Version uint64 `json:"version"` // from 1, one more for each
	Text    string `json:"text,omitempty"`
	Request string `json:"request"`        // what its publisher calls the request
	By      string `json:"by,omitempty"`   // who published it
	From    uint64 `json:"from,omitempty"` // it is this version once more
	TimeMs  int64  `json:"time_ms"`        // Unix milliseconds, by the clock of the replica that led
}

// publication is what a publisher asks for beside the text.
type publication struct {
	Request string `json:"request"`
	By      string `json:"by,omitempty"`
	From    uint64 `json:"from,omitempty"` // this version's text, not the one given
	Expect  uint64 `json:"expect,omitempty"`
	Checked bool   `json:"checked,omitempty"` // expect counts, also 0
}

// put makes a node with all that is above it, or sets it.
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

// publish takes a text as the next version.
func (t *tree) publish(op uint64, name string, text []byte, q *publication) (*Revision, error) {
	list := t.Published[name]
	latest := uint64(0)
	if n := len(list); n > 0 {
		latest = list[n-1].Version
	}
	if q.From > 0 {
		of := find(list, q.From)
		if of == nil {
			return nil, fmt.Errorf("%w: %s has no version %d, or no longer", ErrNoRevision, name, q.From)
		}
		text = []byte(of.Text)
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
	case len(list) == 0 && len(t.Published) >= mostNames:
		return nil, fmt.Errorf("%w: %d configurations are the most", errInput, mostNames)
	}
	if err := t.put(op, path.Join(configNodes, name), text); err != nil {
		return nil, err
	}
	list = append(list, Revision{Version: latest + 1, Text: string(text), Request: q.Request, By: q.By, From: q.From, TimeMs: t.now})
	bytes := 0
	for i := len(list) - 1; i >= 0; i-- {
		if bytes += len(list[i].Text); i < len(list)-1 && (bytes > mostHistory || len(list)-i > mostRevisions) {
			list = append([]Revision(nil), list[i+1:]...)
			break
		}
	}
	t.Published[name] = list
	return &list[len(list)-1], nil
}

func find(list []Revision, version uint64) *Revision {
	for i := range list {
		if list[i].Version == version {
			return &list[i]
		}
	}
	return nil
}

// Publish publishes a text at the leader, wherever that is, and returns its version. A
// request of a name that has been counted is answered as it was. ErrUnknown means that it
// may have been taken: it can be repeated under its name, at any replica.
func (r *Replica) Publish(ctx context.Context, name string, text []byte, request, by string, expect *uint64) (Revision, error) {
	q := &publication{Request: request, By: by}
	if expect != nil {
		q.Expect, q.Checked = *expect, true
	}
	return r.publish(ctx, name, text, q)
}

// Rollback publishes the text of an earlier version once more.
func (r *Replica) Rollback(ctx context.Context, name string, to uint64, request, by string) (Revision, error) {
	return r.publish(ctx, name, nil, &publication{Request: request, By: by, From: to})
}

func (r *Replica) publish(ctx context.Context, name string, text []byte, q *publication) (Revision, error) {
	if name == "" || strings.Contains(name, "/") || q.Request == "" || len(q.Request) > 128 || len(text) > maxData {
		return Revision{}, fmt.Errorf("%w: a configuration has a name without /, a request's name of up to 128 bytes and up to %d bytes",
			errInput, maxData)
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

// Put makes a node with all that is above it, or sets it, at the leader wherever that is.
func (r *Replica) Put(ctx context.Context, path string, data []byte) error {
	return errOf(r.propose(ctx, command{Op: opPut, Path: path, Data: data}))
}

// Swap sets a node that is at a version, at the leader wherever that is. A call of which the outcome is not known and that is applied
// late changes nothing that was written after it was made. ErrBadVersion means that the node has moved on.
func (r *Replica) Swap(ctx context.Context, path string, data []byte, version int64) error {
	return errOf(r.propose(ctx, command{Op: opSet, Path: path, Data: data, Version: version}))
}

// Make makes a node that must not be there yet, with all that is above it, at the leader
// wherever that is. ErrNodeExists means that somebody has it.
func (r *Replica) Make(ctx context.Context, p string, data []byte) error {
	err := errOf(r.propose(ctx, command{Op: opCreate, Path: p, Data: data}))
	if errors.Is(err, ErrNoNode) { // what is above it
		if err := r.Put(ctx, path.Dir(p), nil); err != nil {
			return err
		}
		err = errOf(r.propose(ctx, command{Op: opCreate, Path: p, Data: data}))
	}
	return err
}

// Drop removes a node, at the leader wherever that is. One that is not there is no fault.
func (r *Replica) Drop(ctx context.Context, p string) error {
	err := errOf(r.propose(ctx, command{Op: opRemove, Path: p, Version: AnyVersion}))
	if errors.Is(err, ErrNoNode) {
		return nil
	}
	return err
}

// Published returns the versions of a configuration that are kept, the oldest first, as this
// replica has them.
func (r *Replica) Published(name string) []Revision {
	list, _ := r.published(name)
	return list
}

// published is Published with the operation up to which it is known.
func (r *Replica) published(name string) ([]Revision, uint64) {
	r.machine.mu.RLock()
	defer r.machine.mu.RUnlock()
	return append([]Revision(nil), r.machine.tree.Published[name]...), r.machine.tree.Index
}

// Latest returns the latest version of a configuration as this replica has it; version 0 is none.
func (r *Replica) Latest(name string) Revision {
	r.machine.mu.RLock()
	defer r.machine.mu.RUnlock()
	if list := r.machine.tree.Published[name]; len(list) > 0 {
		return list[len(list)-1]
	}
	return Revision{}
}

// Checks look at texts before they are published, by the name of the configuration. One that
// has none is not published.
type Checks map[string]func(text []byte) error

// config answers calls on a configuration: GET for what is kept of it, or one version; POST
// to publish or, with from, to go back.
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
		f, err := a.fresh(ctx)
		if err != nil {
			return err
		}
		list, index := a.replica.published(name)
		if err := a.holds(f, index); err != nil {
			return err
		}
		setVersion(ctx, index)
		return reply(ctx, fasthttp.StatusOK, list)
	case !ctx.IsPost():
		return errMethod
	}
	check := a.checks[name]
	if check == nil {
		return fmt.Errorf("%w: there is no configuration %q to publish", errInput, name)
	}
	from, back, err := number("from")
	if err != nil {
		return err
	}
	expect, expects, err := number("expect")
	if err != nil {
		return err
	}
	text := append([]byte(nil), ctx.PostBody()...)
	if back {
		if of := find(a.replica.Published(name), from); of != nil {
			text = []byte(of.Text)
		}
	}
	if len(text) > 0 || !back {
		if err := check(text); err != nil {
			return fmt.Errorf("%w: %w", ErrRefused, err)
		}
	}
	q := &publication{Request: string(args.Peek("request")), By: string(args.Peek("by")), From: from, Expect: expect, Checked: expects}
	if back {
		text = nil
	}
	wait, cancel := context.WithTimeout(context.Background(), applyWait)
	defer cancel()
	r, err := a.replica.publish(wait, name, text, q)
	if err != nil {
		return err
	}
	setVersion(ctx, a.replica.machine.index())
	r.Text = ""
	return reply(ctx, fasthttp.StatusCreated, r)
}

// publishTries is how often a client repeats a request whose outcome it does not know.
const publishTries = 5

// Publish publishes a text, or with from goes back to that version, under a request's name. It
// is repeated while its outcome is not known, which counts once.
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
	for range publishTries {
		status, answer, err := c.call(fasthttp.MethodPost, string(uri.RequestURI()), text)
		switch {
		case err != nil:
			last = err
			continue
		case status != fasthttp.StatusCreated:
			return r, fmt.Errorf("publish %s: %w", name, faultOf(status, answer))
		}
		if err := json.Unmarshal(answer, &r); err != nil {
			return r, fmt.Errorf("publish %s: %w", name, err)
		}
		return r, nil
	}
	return r, fmt.Errorf("publish %s: %w: %w", name, ErrUnknown, last)
}

func faultOf(status int, answer []byte) error {
	var a struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(answer, &a) != nil || a.Error == "" {
		return fmt.Errorf("status %d: %.200s", status, answer)
	}
	return errors.New(a.Error)
}

// Published returns the versions of a configuration that are kept, the oldest first.
func (c *Client) Published(name string) ([]Revision, error) {
	status, answer, err := c.call(fasthttp.MethodGet, configPath+"/"+name, nil)
	if err != nil {
		return nil, err
	}
	if status != fasthttp.StatusOK {
		return nil, fmt.Errorf("configuration %s: %w", name, faultOf(status, answer))
	}
	var out []Revision
	if err := json.Unmarshal(answer, &out); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", name, err)
	}
	return out, nil
}
