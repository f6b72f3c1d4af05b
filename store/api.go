package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"lichenshelf/internal/listener"
)

// Paths of the API.
const (
	sessionsPath = "/v1/sessions"
	nodesPath    = "/v1/nodes"
)

const (
	maxDataBytes = 256 << 10
	maxWatchWait = time.Minute
	// maxBodyBytes bounds the body of a call: the frame of a ZooKeeper client, encoded as JSON.
	maxBodyBytes = 2 << 20
	apiTimeout   = 90 * time.Second
	// maxAPIConns allows for the largest number of routers in a fleet's file, 4096, each with a
	// direct call and one forwarded by another replica. A connection uses memory only while it is
	// open.
	maxAPIConns = 2 * 4096
)

// Node is the JSON form of a node.
type Node struct {
	Data     string   `json:"data"`
	Stat     Stat     `json:"stat"`
	Children []string `json:"children"`
}

// API serves a replica to clients. Writes and sessions are handled by the leader; any other replica
// redirects the caller to it.
type API struct {
	replica *Replica
	server  *fasthttp.Server
	checks  Checks
}

// NewAPI returns the API of a replica. Only texts that pass the checks are published.
func NewAPI(r *Replica, checks Checks) *API {
	a := &API{replica: r, checks: checks}
	a.server = &fasthttp.Server{Handler: a.handle, MaxRequestBodySize: maxBodyBytes, NoDefaultServerHeader: true,
		ReadTimeout: apiTimeout, IdleTimeout: apiTimeout, Concurrency: maxAPIConns, CloseOnShutdown: true}
	return a
}

// Serve serves connections until Close.
func (a *API) Serve(l net.Listener) error {
	if err := a.server.Serve(listener.Resilient(l, nil)); err != nil {
		return fmt.Errorf("serve the store: %w", err)
	}
	return nil
}

// Close shuts down the API.
func (a *API) Close(ctx context.Context) error { return a.server.ShutdownWithContext(ctx) }

func (a *API) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	var err error
	switch {
	case path == sessionsPath || strings.HasPrefix(path, sessionsPath+"/"):
		err = a.session(ctx, strings.TrimPrefix(strings.TrimPrefix(path, sessionsPath), "/"))
	case path == nodesPath || strings.HasPrefix(path, nodesPath+"/"):
		err = a.node(ctx, "/"+strings.TrimPrefix(strings.TrimPrefix(path, nodesPath), "/"))
	case strings.HasPrefix(path, configPath+"/"):
		err = a.config(ctx, strings.TrimPrefix(path, configPath+"/"))
	case path == commandsPath && ctx.IsPost():
		err = a.serveCommand(ctx)
	case path == touchesPath && ctx.IsPost():
		err = a.serveTouches(ctx)
	case path == termPath && ctx.IsPost():
		err = reply(ctx, fasthttp.StatusOK, a.replica.raft.CurrentTerm())
	case path == leaderPath:
		err = a.serveLeader(ctx)
	case path == newestPath && ctx.IsPost():
		err = a.serveNewest(ctx)
	default:
		err = errNoPath
	}
	if err != nil {
		a.replyError(ctx, err)
	}
}

var (
	errNoPath = errors.New("unknown path")
	errMethod = errors.New("method not allowed")
	errInput  = errors.New("malformed request")
)

func (a *API) session(ctx *fasthttp.RequestCtx, id string) error {
	switch method := string(ctx.Method()); {
	case method == fasthttp.MethodPost && id == "":
		var q struct {
			TimeoutMs int64 `json:"timeout_ms"`
		}
		if err := json.Unmarshal(ctx.PostBody(), &q); err != nil || q.TimeoutMs <= 0 {
			return fmt.Errorf("%w: timeout_ms must be a positive number", errInput)
		}
		c, err := newSession(time.Duration(q.TimeoutMs) * time.Millisecond)
		if err != nil {
			return err
		}
		result, err := a.write(ctx, c)
		if err != nil {
			return err
		}
		return reply(ctx, fasthttp.StatusCreated, map[string]string{"session": result.Session})
	case method == fasthttp.MethodPut && id != "":
		ctx.SetStatusCode(fasthttp.StatusNoContent)
		return a.replica.Touch(id)
	case method == fasthttp.MethodDelete && id != "":
		return a.change(ctx, fasthttp.StatusNoContent, command{Op: opEndSession, Session: id})
	}
	return errMethod
}

func (a *API) node(ctx *fasthttp.RequestCtx, path string) error {
	data := append([]byte(nil), ctx.PostBody()...)
	if len(data) > maxDataBytes {
		return fmt.Errorf("%w: a node holds %d bytes at most, not %d", errInput, maxDataBytes, len(data))
	}
	args := ctx.QueryArgs()
	version := int64(AnyVersion)
	if v := args.Peek("version"); len(v) > 0 {
		var err error
		if version, err = strconv.ParseInt(string(v), 10, 64); err != nil {
			return fmt.Errorf("%w: version", errInput)
		}
	}
	switch string(ctx.Method()) {
	case fasthttp.MethodGet:
		f, err := a.waitFresh(ctx)
		if err != nil {
			return err
		}
		if args.GetBool("watch") {
			return a.awaitChange(ctx, path, f)
		}
		return a.replyNode(ctx, path, f)
	case fasthttp.MethodPost:
		return a.change(ctx, fasthttp.StatusCreated, command{Op: opCreate, Path: path, Data: data, Session: string(args.Peek("session"))})
	case fasthttp.MethodPut:
		return a.change(ctx, fasthttp.StatusNoContent, command{Op: opSet, Path: path, Data: data, Version: version})
	case fasthttp.MethodDelete:
		return a.change(ctx, fasthttp.StatusNoContent, command{Op: opRemove, Path: path, Version: version})
	}
	return errMethod
}

// change applies a write whose answer is only a status.
func (a *API) change(ctx *fasthttp.RequestCtx, status int, c command) error {
	_, err := a.write(ctx, c)
	if err == nil {
		ctx.SetStatusCode(status)
	}
	return err
}

// write applies a command under the name that the call gives it. The answer carries the index of
// the operation even if the write was rejected, since the state that caused the rejection had been
// reached by then.
func (a *API) write(ctx *fasthttp.RequestCtx, c command) (*Result, error) {
	c, err := named(ctx, c)
	if err != nil {
		return nil, err
	}
	result, err := a.replica.apply(c)
	if err != nil && c.Write != "" {
		err = withName(err)
	}
	if err != nil {
		return nil, err
	}
	setVersion(ctx, result.Index)
	return result, result.Err
}

// awaitChange answers with the node once its version or its list of children differs from the
// caller's, or with 204 if neither changes in time.
func (a *API) awaitChange(ctx *fasthttp.RequestCtx, path string, f freshness) error {
	args := ctx.QueryArgs()
	wait := min(time.Duration(args.GetUintOrZero("wait_ms"))*time.Millisecond, maxWatchWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		w, err := a.replica.Watch(path)
		if err != nil {
			return err
		}
		s, err := a.replica.Read(path)
		if err != nil && !errors.Is(err, ErrNoNode) || err == nil &&
			(strconv.FormatInt(s.Stat.Version, 10) != string(args.Peek("version")) ||
				strconv.FormatInt(s.Stat.Children, 10) != string(args.Peek("children"))) {
			w.Stop()
			return a.replyNode(ctx, path, f)
		}
		select {
		case <-w.Changed():
		case <-timer.C:
			w.Stop()
			setVersion(ctx, s.Index)
			ctx.SetStatusCode(fasthttp.StatusNoContent)
			return nil
		}
		if _, readErr := a.replica.Read(path); err != nil || errors.Is(readErr, ErrNoNode) {
			return a.replyNode(ctx, path, f) // the node was created or removed
		}
	}
}

func (a *API) replyNode(ctx *fasthttp.RequestCtx, path string, f freshness) error {
	s, err := a.replica.Read(path)
	if err := a.waitConfirmed(f, s.Index); err != nil {
		return err
	}
	setVersion(ctx, s.Index)
	if err != nil {
		return err
	}
	return reply(ctx, fasthttp.StatusOK, Node{Data: string(s.Data), Stat: s.Stat, Children: s.Children})
}

func reply(ctx *fasthttp.RequestCtx, status int, v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode answer: %w", err)
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(text)
	return nil
}

// replyError maps an error to a status. A caller that needs the leader is redirected to it.
func (a *API) replyError(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusInternalServerError
	switch {
	// Checked before ErrNotLeader, which it may wrap: a redirect to the leader would not help.
	case errors.Is(err, ErrLagging):
		status = fasthttp.StatusServiceUnavailable
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, "1")
	case errors.Is(err, ErrUnknown):
		status = setUnknown(&ctx.Response, err)
	case errors.Is(err, ErrNotLeader):
		status = fasthttp.StatusServiceUnavailable
		ctx.Response.Header.Set(OutcomeHeader, OutcomeNotApplied)
		if p, ok := a.replica.Leader(); ok && p.ID != a.replica.cfg.ID {
			status = fasthttp.StatusTemporaryRedirect
			ctx.Response.Header.Set(fasthttp.HeaderLocation, "http://"+p.API+string(ctx.RequestURI()))
		}
	case errors.Is(err, ErrNoNode), errors.Is(err, ErrNoSession), errors.Is(err, errNoPath), errors.Is(err, ErrNoRevision),
		errors.Is(err, ErrNoReplica):
		status = fasthttp.StatusNotFound
	case errors.Is(err, ErrNodeExists), errors.Is(err, ErrBadVersion), errors.Is(err, ErrNotEmpty), errors.Is(err, ErrReused):
		status = fasthttp.StatusConflict
	case errors.Is(err, ErrBadPath), errors.Is(err, ErrEphemeral), errors.Is(err, errInput), errors.Is(err, ErrRefused):
		status = fasthttp.StatusBadRequest
	case errors.Is(err, ErrForgotten):
		status = fasthttp.StatusGone
	case errors.Is(err, errMethod):
		status = fasthttp.StatusMethodNotAllowed
	}
	if e := reply(ctx, status, map[string]string{"error": err.Error()}); e != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	}
}
