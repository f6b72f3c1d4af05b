package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"lichenshelf/internal/transient"
)

// Paths on which replicas forward commands and touches to the leader.
const (
	commandsPath = "/v1/commands"
	touchesPath  = "/v1/touches"
)

// The pauses between attempts to have a command applied.
const (
	minSubmitPause = 20 * time.Millisecond
	maxSubmitPause = 500 * time.Millisecond
)

// faults maps the names under which errors of operations pass between replicas to the errors.
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

// namedFault returns the error for a name and a message received from another replica or stored
// with an answer; nil if both are empty.
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

// keptFault is one of the faults with its original message.
type keptFault struct {
	fault   error
	message string
}

func (f *keptFault) Error() string { return f.message }
func (f *keptFault) Unwrap() error { return f.fault }

// wireResult is the form of a Result between replicas.
type wireResult struct {
	Result
	Fault   string `json:"fault,omitempty"`
	Message string `json:"message,omitempty"`
}

// propose has the leader replicate a command, and returns once this replica has applied it.
// ErrUnknown means that the command may have been applied; any other error means that it was not.
func (r *Replica) propose(ctx context.Context, c command) (*Result, error) {
	result, err := r.submit(ctx, c)
	if err != nil {
		return nil, err
	}
	if err := r.machine.waitApplied(ctx, result.Index); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	return result, nil
}

// submit has the leader apply a command. It retries after ErrNotLeader, which means that the
// command was not applied, as during an election.
func (r *Replica) submit(ctx context.Context, c command) (*Result, error) {
	var result *Result
	err := transient.RetryWithBackoff(ctx, minSubmitPause, maxSubmitPause, isNotApplied, func() (err error) {
		c.TimeMs = time.Now().UnixMilli()
		if r.IsLeader() {
			result, err = r.applyAsLeader(c)
		} else {
			result, err = r.forward(ctx, c)
		}
		return err
	})
	if isNotApplied(err) {
		return nil, errors.Join(err, ctx.Err())
	}
	return result, err
}

// applyAsLeader applies a command on the leader.
func (r *Replica) applyAsLeader(c command) (*Result, error) {
	text, err := json.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode command: %w", err)
	}
	future := r.raft.Apply(text, applyTimeout)
	if err := future.Error(); err != nil {
		return nil, applyError(err)
	}
	return toResult(future.Index(), future.Response()), nil
}

// forward sends a command to the leader.
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

// unsent reports whether a call failed before any of it was sent.
func unsent(err error) bool {
	var dial *net.OpError
	return errors.As(err, &dial) && dial.Op == "dial"
}

// askLeader sends a call to the leader and decodes the answer. ErrNotLeader means that the call was
// not carried out, ErrUnknown that it may have been.
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
	deadline := time.Now().Add(callTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := r.peers.DoDeadline(req, resp, deadline); err != nil {
		if unsent(err) {
			return fmt.Errorf("%w: %s can't be reached: %w", ErrNotLeader, leader.ID, err)
		}
		return fmt.Errorf("%w: ask the leader %s: %w", ErrUnknown, leader.ID, err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return leaderError(leader, resp)
	}
	if err := json.Unmarshal(resp.Body(), into); err != nil {
		return fmt.Errorf("%w: what the leader %s says makes no sense: %w", ErrUnknown, leader.ID, err)
	}
	return nil
}

// serveCommand handles a command forwarded by another replica.
func (a *API) serveCommand(ctx *fasthttp.RequestCtx) error {
	var c command
	if err := json.Unmarshal(ctx.PostBody(), &c); err != nil {
		return fmt.Errorf("%w: command: %w", errInput, err)
	}
	if !a.replica.IsLeader() {
		return ErrNotLeader
	}
	result, err := a.replica.applyAsLeader(c)
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

// TouchAll renews sessions at the leader. Sessions that have ended are ignored.
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

// OpenSession starts a session with a password and a holder. The id must be new. While the outcome is
// not known, as when the leader is lost, it is repeated until ctx ends: applied twice it has the same
// effect.
func (r *Replica) OpenSession(ctx context.Context, id string, password []byte, holder string, timeout time.Duration) error {
	return transient.RetryWithBackoff(ctx, minSubmitPause, maxSubmitPause, isUnknown, func() error {
		return resultError(r.propose(ctx, command{Op: opSession, Session: id, Timeout: timeout, Claim: &claim{password, holder}}))
	})
}

// AttachSession makes another connection the holder of a session. ErrNoSession means that the
// session has ended or that the password does not match. While the outcome is not known, the holder
// is read back until ctx ends, and the command is repeated if nothing has changed. ErrMoved means
// that yet another connection has become the holder meanwhile: a repeat would take the session from
// it.
func (r *Replica) AttachSession(ctx context.Context, id string, password []byte, holder string) error {
	before, _ := r.sessionHolder(id)
	return transient.RetryWithBackoff(ctx, minSubmitPause, maxSubmitPause, isUnknown, func() error {
		err := resultError(r.propose(ctx, command{Op: opAttach, Session: id, Claim: &claim{password, holder}}))
		if !isUnknown(err) || r.catchUpRetrying(ctx) != nil {
			return err
		}
		switch current, exists := r.sessionHolder(id); {
		case !exists:
			return fmt.Errorf("%w: %s", ErrNoSession, id)
		case current == holder:
			return nil
		case current != before:
			return fmt.Errorf("%w: %s", ErrMoved, id)
		}
		return err
	})
}

// catchUpRetrying repeats CatchUp until it succeeds or ctx ends.
func (r *Replica) catchUpRetrying(ctx context.Context) error {
	return transient.RetryWithBackoff(ctx, minSubmitPause, maxSubmitPause, nil, func() error { return r.CatchUp(ctx) })
}

// sessionHolder returns the holder of a session as this replica has it, and false if there is no
// such session.
func (r *Replica) sessionHolder(id string) (holder string, exists bool) {
	r.View(func(v View) { holder, exists = v.Holder(id) })
	return holder, exists
}

// CloseSession ends a session on behalf of its holder.
func (r *Replica) CloseSession(ctx context.Context, id string) error {
	return resultError(r.propose(ctx, command{Op: opEndSession, Session: id}))
}

// Sync returns once this replica has applied all operations committed before the call.
func (r *Replica) Sync(ctx context.Context) error {
	return resultError(r.propose(ctx, command{Op: opNothing}))
}

// Commit applies steps for a session atomically. An error means that the outcome is not known
// (ErrUnknown) or that the steps were not applied; errors of the steps themselves are in the
// result.
func (r *Replica) Commit(ctx context.Context, session, holder string, steps ...Step) (*Result, error) {
	return r.propose(ctx, command{Op: opSteps, Session: session, Claim: &claim{Holder: holder}, Steps: steps})
}

func resultError(result *Result, err error) error {
	if err == nil {
		err = result.Err
	}
	return err
}
