package store

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/hashicorp/raft"
	"github.com/valyala/fasthttp"
)

const leaderPath = "/v1/leader"

// ErrNoReplica means that a name is not that of a replica.
var ErrNoReplica = errors.New("no such replica")

// TransferLeadership transfers leadership to another replica, for example before this one is
// stopped for a long time. It returns ErrNotLeader if this replica is not the leader, and
// ErrNoReplica if the name is not that of a peer. If the other replica does not take over within an
// election time-out, it returns another error, and this replica remains the leader.
func (r *Replica) TransferLeadership(to string) error {
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

// serveLeader returns the leader or, with to, transfers leadership to another replica.
func (a *API) serveLeader(ctx *fasthttp.RequestCtx) error {
	switch {
	case ctx.IsGet():
		p, ok := a.replica.Leader()
		if !ok {
			return fmt.Errorf("%w: nobody leads", ErrLagging)
		}
		return reply(ctx, fasthttp.StatusOK, map[string]string{"leader": p.ID})
	case ctx.IsPost():
		ctx.SetStatusCode(fasthttp.StatusNoContent)
		return a.replica.TransferLeadership(string(ctx.QueryArgs().Peek("to")))
	}
	return errMethod
}

// Leader returns the ID of the replica that takes writes.
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

// TransferLeadership transfers leadership to a replica.
func (c *Client) TransferLeadership(to string) error {
	uri := fasthttp.AcquireURI()
	defer fasthttp.ReleaseURI(uri)
	uri.SetPath(leaderPath)
	uri.QueryArgs().Set("to", to)
	status, answer, err := c.call(fasthttp.MethodPost, string(uri.RequestURI()), nil)
	if err == nil && status != fasthttp.StatusNoContent {
		err = fmt.Errorf("hand over to %s: %w", to, answerError(status, answer))
	}
	return err
}
