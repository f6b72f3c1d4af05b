package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/hashicorp/raft"
	"github.com/valyala/fasthttp"
)

// The calls by which replicas hand commands and touches on to the leader.
const (
	commandsPath = "/v1/commands"
	touchesPath  = "/v1/touches"
)

// ErrUnknown says that a command may or may not have been applied.
var ErrUnknown = errors.New("the outcome is not known")

// faults are the errors that an operation ends in, by the names under which they
// pass between replicas.
var faults = map[string]error{"no-node": ErrNoNode, "node-exists": ErrNodeExists, "bad-version": ErrBadVersion,
	"not-empty": ErrNotEmpty, "no-session": ErrNoSession, "ephemeral": ErrEphemeral, "bad-path": ErrBadPath, "moved": ErrMoved,
	"input": errInput, "no-revision": ErrNoRevision, "reused": ErrReused, "forgotten": ErrForgotten}

func faultName(err error) string {
	for name, fault := range faults {
		if errors.Is(err, fault) {
			return name
		}
	}
	return ""
}

// namedFault is an error that passed between replicas, or was kept; nil if there was none.
func namedFault(name, message string) error {
	switch fault := faults[name]; {
	case name == "" && message == "":
		return nil
	case fault == nil:
		return errors.New(message)
	default:
		return &keptFault{fault, message}
	}
}

// keptFault is one of the faults in the words that it first had.
type keptFault struct {
	fault   error
	message string
}

func (f *keptFault) Error() string { return f.message }
func (f *keptFault) Unwrap() error { return f.fault }

// wireResult is a Result between replicas.
type wireResult struct {
	Result
	Fault   string `json:"fault,omitempty"`
	Message string `json:"message,omitempty"`
}

// propose puts a command through the log, at the leader wherever that is, and
// returns once this replica has applied it. ErrUnknown means that it may have been
// applied all the same; every other error that it was not.
func (r *Replica) propose(ctx context.Context, c command) (*Result, error) {
	result, err := r.decided(ctx, c)
	if err != nil {
		return nil, err
	}
	if err := r.machine.reached(ctx, result.Index); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	return result, nil
}

// decided has a command applied somewhere. While nobody leads, it tries again: what
// ends in ErrNotLeader was not applied.
func (r *Replica) decided(ctx context.Context, c command) (*Result, error) {
	again := backoff.NewExponentialBackOff()
	again.InitialInterval, again.MaxInterval = 20*time.Millisecond, 500*time.Millisecond
	for {
		c.TimeMs = time.Now().UnixMilli()
		var result *Result
		var err error
		if r.IsLeader() {
			result, err = r.lead(c)
		} else {
			result, err = r.forward(ctx, c)
		}
		if !errors.Is(err, ErrNotLeader) {
			return result, err
		}
		select {
		case <-time.After(again.NextBackOff()):
		case <-ctx.Done():
			return nil, errors.Join(err, ctx.Err())
		}
	}
}

// lead applies a command as the leader.
func (r *Replica) lead(c command) (*Result, error) {
	text, err := json.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode command: %w", err)
	}
	future := r.raft.Apply(text, applyWait)
	switch err := future.Error(); {
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrEnqueueTimeout):
		return nil, fmt.Errorf("%w: %w", ErrNotLeader, err)
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	return asWhole(future.Index(), future.Response()), nil
}

// forward has the leader apply a command.
func (r *Replica) forward(ctx context.Context, c command) (*Result, error) {
	text, err := json.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode command: %w", err)
	}
	var w wireResult
	if err := r.askLeader(ctx, commandsPath, text, &w); err != nil {
		return nil, err
	}
	w.Err = namedFault(w.Fault, w.Message)
	return &w.Result, nil
}

// unsent tells whether a call failed before anything of it was sent.
func unsent(err error) bool {
	var dial *net.OpError
	return errors.As(err, &dial) && dial.Op == "dial"
}

func (r *Replica) askLeader(ctx context.Context, path string, body []byte, into any) error {
	leader, ok := r.Leader()
	if !ok || leader.ID == r.cfg.ID || leader.API == "" {
		return fmt.Errorf("%w: none is known", ErrNotLeader)
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + leader.API + path)
	req.SetBody(body)
	deadline := time.Now().Add(callWait)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := r.peers.DoDeadline(req, resp, deadline); err != nil {
		if unsent(err) {
			return fmt.Errorf("%w: %s can't be reached: %w", ErrNotLeader, leader.ID, err)
		}
		return fmt.Errorf("%w: ask the leader %s: %w", ErrUnknown, leader.ID, err)
	}
	switch resp.StatusCode() {
	case fasthttp.StatusOK:
	case fasthttp.StatusTemporaryRedirect, fasthttp.StatusServiceUnavailable:
		return fmt.Errorf("%w: %s no longer is", ErrNotLeader, leader.ID)
	default:
		return fmt.Errorf("%w: the leader %s answered %d", ErrUnknown, leader.ID, resp.StatusCode())
	}
	if err := json.Unmarshal(resp.Body(), into); err != nil {
		return fmt.Errorf("%w: what the leader %s says makes no sense: %w", ErrUnknown, leader.ID, err)
	}
	return nil
}

// serveCommand answers another replica's forward.
func (a *API) serveCommand(ctx *fasthttp.RequestCtx) error {
	var c command
	if err := json.Unmarshal(ctx.PostBody(), &c); err != nil {
		return fmt.Errorf("%w: command: %w", errInput, err)
	}
	if !a.replica.IsLeader() {
		return ErrNotLeader
	}
	result, err := a.replica.lead(c)
	if err != nil {
		return err
	}
	w := wireResult{Result: *result}
	if result.Err != nil {
		w.Fault, w.Message = faultName(result.Err), result.Err.Error()
	}
	return reply(ctx, fasthttp.StatusOK, w)
}

func (a *API) serveTouches(ctx *fasthttp.RequestCtx) error {
	var ids []string
	if err := json.Unmarshal(ctx.PostBody(), &ids); err != nil {
		return fmt.Errorf("%w: list of sessions: %w", errInput, err)
	}
	if !a.replica.IsLeader() {
		return ErrNotLeader
	}
	for _, id := range ids {
		if err := a.replica.Touch(id); errors.Is(err, ErrNotLeader) {
			return err
		}
	}
	return reply(ctx, fasthttp.StatusOK, struct{}{})
}

// TouchAll says that the owners of sessions are alive, to the leader wherever it
// is. Sessions that have ended are passed over.
func (r *Replica) TouchAll(ctx context.Context, ids []string) error {
	if r.IsLeader() {
		for _, id := range ids {
			if err := r.Touch(id); errors.Is(err, ErrNotLeader) {
				return err
			}
		}
		return nil
	}
	text, err := json.Marshal(ids)
	if err != nil {
		return fmt.Errorf("encode sessions: %w", err)
	}
	return r.askLeader(ctx, touchesPath, text, &struct{}{})
}

// OpenSession starts a session with a password, for which the holder speaks.
func (r *Replica) OpenSession(ctx context.Context, id string, password []byte, holder string, timeout time.Duration) error {
	return errOf(r.propose(ctx, command{Op: opSession, Session: id, Timeout: timeout, Claim: &claim{password, holder}}))
}

// TakeSession has another holder speak for a session. ErrNoSession means that it
// has ended, or that the password is another.
func (r *Replica) TakeSession(ctx context.Context, id string, password []byte, holder string) error {
	return errOf(r.propose(ctx, command{Op: opAttach, Session: id, Claim: &claim{password, holder}}))
}

// CloseSession ends a session for its holder.
func (r *Replica) CloseSession(ctx context.Context, id string) error {
	return errOf(r.propose(ctx, command{Op: opEndSession, Session: id}))
}

// Sync returns once this replica has applied all that was agreed on before.
func (r *Replica) Sync(ctx context.Context) error {
	return errOf(r.propose(ctx, command{Op: opNothing}))
}

// Commit applies steps for a session, all or none. An error means that nothing is
// known of them (ErrUnknown) or that they were not applied; the steps' own faults
// are in the result.
func (r *Replica) Commit(ctx context.Context, session, holder string, steps ...Step) (*Result, error) {
	return r.propose(ctx, command{Op: opSteps, Session: session, Claim: &claim{Holder: holder}, Steps: steps})
}

func errOf(result *Result, err error) error {
	if err == nil {
		err = result.Err
	}
	return err
}
