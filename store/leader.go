package store

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/hashicorp/raft"
	"github.com/valyala/fasthttp"
)

const leaderPath = "/v1/leader"

// ErrNoReplica says that a name is none of the replicas'.
var ErrNoReplica = errors.New("no such replica")

// HandOver makes another replica lead, as before this one is stopped for long. It fails with ErrNotLeader where this one does
// not lead, with ErrNoReplica for a name that is none of the peers', and otherwise where the other one does not take over in
// an election's time; this one leads on then.
func (r *Replica) HandOver(to string) error {
	for _, p := range r.cfg.Peers {
		switch {
		case p.ID != to:
		case !r.IsLeader():
			return ErrNotLeader
		case to == r.cfg.ID:
			return nil
		default:
			if err := r.raft.LeadershipTransferToServer(raft.ServerID(p.ID), raft.ServerAddress(p.Raft)).Error(); err != nil {
				return fmt.Errorf("hand over to %s: %w", to, err)
			}
			return nil
		}
	}
	return fmt.Errorf("%w: %.64q", ErrNoReplica, to)
}

// serveLeader tells who leads, or with to makes another one lead.
func (a *API) serveLeader(ctx *fasthttp.RequestCtx) error {
	switch {
	case ctx.IsGet():
		p, ok := a.replica.Leader()
		if !ok {
			return fmt.Errorf("%w: nobody leads", ErrBehind)
		}
		return reply(ctx, fasthttp.StatusOK, map[string]string{"leader": p.ID})
	case ctx.IsPost():
		ctx.SetStatusCode(fasthttp.StatusNoContent)
		return a.replica.HandOver(string(ctx.QueryArgs().Peek("to")))
	}
	return errMethod
}

// Leader tells which replica takes writes.
func (c *Client) Leader() (string, error) {
	answer, err := c.expect(fasthttp.MethodGet, leaderPath, nil, fasthttp.StatusOK)
	if err != nil {
		return "", err
	}
	var l struct{ Leader string }
	if err := json.Unmarshal(answer, &l); err != nil {
		return "", fmt.Errorf("leader: %w", err)
	}
	return l.Leader, nil
}

// HandOver makes a replica lead.
func (c *Client) HandOver(to string) error {
	uri := fasthttp.AcquireURI()
	defer fasthttp.ReleaseURI(uri)
	uri.SetPath(leaderPath)
	uri.QueryArgs().Set("to", to)
	status, answer, err := c.call(fasthttp.MethodPost, string(uri.RequestURI()), nil)
	if err == nil && status != fasthttp.StatusNoContent {
		err = fmt.Errorf("hand over to %s: %w", to, faultOf(status, answer))
	}
	return err
}
