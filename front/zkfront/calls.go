package zkfront

import (
	"context"
	"errors"
	"fmt"

	"lichenshelf/discovery/zkwire"
	"lichenshelf/store"
)

// call answers one call. An error closes the connection, for example when the outcome of a write is
// unknown.
func (c *conn) call(body []byte) error {
	var h zkwire.RequestHeader
	body, err := zkwire.Decode(body, &h)
	if err != nil {
		return err
	}
	switch h.Op {
	case zkwire.OpPing:
		return c.read(&h, func(store.View) (zkwire.Record, zkwire.Code, error) { return nil, zkwire.OK, nil })
	case zkwire.OpExists, zkwire.OpGetData, zkwire.OpGetChildren, zkwire.OpGetChildren2:
		var q zkwire.PathWatch
		if err := zkwire.DecodeAll(body, &q); err != nil {
			return err
		}
		return c.read(&h, func(v store.View) (zkwire.Record, zkwire.Code, error) { return c.readNode(v, h.Op, &q) })
	case zkwire.OpSetWatches:
		var q zkwire.SetWatches
		if err := zkwire.DecodeAll(body, &q); err != nil {
			return err
		}
		return c.read(&h, func(v store.View) (zkwire.Record, zkwire.Code, error) { return nil, zkwire.OK, c.setWatches(v, &q) })
	case zkwire.OpCreate, zkwire.OpCreate2, zkwire.OpSetData, zkwire.OpDelete, zkwire.OpCheck:
		return c.single(&h, body)
	case zkwire.OpMulti:
		return c.multi(&h, body)
	case zkwire.OpSync:
		var q zkwire.Path
		if err := zkwire.DecodeAll(body, &q); err != nil {
			return err
		}
		ctx, cancel := c.callContext()
		defer cancel()
		if err := c.server.replica.Sync(ctx); err != nil {
			return err
		}
		return c.read(&h, func(store.View) (zkwire.Record, zkwire.Code, error) { return &q, zkwire.OK, nil })
	case zkwire.OpAuth: // all nodes are open to everyone, so any credentials are accepted
		return c.read(&h, func(store.View) (zkwire.Record, zkwire.Code, error) { return nil, zkwire.OK, nil })
	case zkwire.OpCloseSession:
		ctx, cancel := c.callContext()
		defer cancel()
		c.detach() // the end of the session must not close the connection before the answer is sent
		if err := c.server.replica.CloseSession(ctx, c.session); err != nil && !errors.Is(err, store.ErrNoSession) {
			return err
		}
		if err := c.read(&h, func(store.View) (zkwire.Record, zkwire.Code, error) { return nil, zkwire.OK, nil }); err != nil {
			return err
		}
		c.finish()
		return errClosed
	}
	return c.read(&h, func(store.View) (zkwire.Record, zkwire.Code, error) { return nil, zkwire.ErrUnimplemented, nil })
}

func (c *conn) callContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.server.ctx, callTimeout)
}

// detach makes this connection no longer the one that represents its session at this replica.
func (c *conn) detach() {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sessions[c.session] == c {
		delete(s.sessions, c.session)
	}
}

// read answers with the result of f on the current state. The answer is queued before the state can
// change again, so events about later changes follow it.
func (c *conn) read(h *zkwire.RequestHeader, f func(store.View) (zkwire.Record, zkwire.Code, error)) (err error) {
	c.server.replica.View(func(v store.View) {
		var answer zkwire.Record
		reply := zkwire.ReplyHeader{Xid: h.Xid, Zxid: int64(v.Index())}
		if answer, reply.Err, err = f(v); err != nil {
			return
		}
		if answer == nil || reply.Err != zkwire.OK {
			c.send(zkwire.Append(nil, &reply))
		} else {
			c.send(zkwire.Append(nil, &reply, answer))
		}
	})
	return err
}

// watch sets a watch. The caller holds the lock on the state.
func (c *conn) watch(k watchKind, path string) error {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watches.count(c) >= s.cfg.MaxWatches {
		return errWatches
	}
	s.watches.set(c, k, path)
	return nil
}

func (c *conn) readNode(v store.View, op zkwire.Op, q *zkwire.PathWatch) (zkwire.Record, zkwire.Code, error) {
	data, st, children, err := v.Node(q.Path)
	k := dataWatch
	if op == zkwire.OpGetChildren || op == zkwire.OpGetChildren2 {
		k = childWatch
	}
	// Only a check for existence can watch a node that does not exist yet.
	if q.Watch && (err == nil || op == zkwire.OpExists && errors.Is(err, store.ErrNoNode)) {
		if err := c.watch(k, q.Path); err != nil {
			return nil, 0, err
		}
	}
	if err != nil {
		return nil, errorCode(err), nil
	}
	s := wireStat(st, len(data), children)
	switch op {
	case zkwire.OpExists:
		return &s, zkwire.OK, nil
	case zkwire.OpGetData:
		return &zkwire.DataStat{Data: data, Stat: s}, zkwire.OK, nil
	case zkwire.OpGetChildren:
		return &zkwire.Children{Names: v.Children(q.Path)}, zkwire.OK, nil
	}
	return &zkwire.ChildrenStat{Names: v.Children(q.Path), Stat: s}, zkwire.OK, nil
}

// setWatches sets the watches of a reconnected client again, and at once sends the events that it
// missed.
func (c *conn) setWatches(v store.View, q *zkwire.SetWatches) error {
	for set, paths := range map[string][]string{"data": q.Data, "exist": q.Exist, "children": q.ChildrenPaths} {
		for _, p := range paths {
			data, st, children, err := v.Node(p)
			if event, missed := missedEvent(set, err == nil, wireStat(st, len(data), children), q.RelativeZxid); missed {
				c.notify(event, p)
				continue
			}
			k := dataWatch
			if set == "children" {
				k = childWatch
			}
			if err := c.watch(k, p); err != nil {
				return err
			}
		}
	}
	return nil
}

// wireStat converts a node's stat to the protocol's form.
func wireStat(s store.Stat, size, children int) zkwire.Stat {
	out := zkwire.Stat{Czxid: int64(s.Created), Mzxid: int64(s.Modified), Ctime: s.CreatedMs, Mtime: s.ModifiedMs,
		Version: int32(s.Version), Cversion: int32(s.Children), DataLength: int32(size), NumChildren: int32(children),
		Pzxid: int64(max(s.ChildrenOp, s.Created))}
	if s.Ephemeral != "" {
		out.EphemeralOwner = sessionID(s.Ephemeral)
	}
	return out
}

// errorCode converts an error to the protocol's error code.
func errorCode(err error) zkwire.Code {
	for _, f := range []struct {
		err  error
		code zkwire.Code
	}{{store.ErrNoNode, zkwire.ErrNoNode}, {store.ErrNodeExists, zkwire.ErrNodeExists}, {store.ErrBadVersion, zkwire.ErrBadVersion},
		{store.ErrNotEmpty, zkwire.ErrNotEmpty}, {store.ErrNoSession, zkwire.ErrSessionExpired}, {store.ErrEphemeral, zkwire.ErrNoChildrenForEphemeral},
		{store.ErrBadPath, zkwire.ErrBadArguments}, {store.ErrMoved, zkwire.ErrSessionMoved}, {errACL, zkwire.ErrInvalidACL},
		{errData, zkwire.ErrBadArguments}, {errFlags, zkwire.ErrUnimplemented}} {
		if errors.Is(err, f.err) {
			return f.code
		}
	}
	return zkwire.ErrSystem
}

var (
	errACL   = errors.New("access lists other than world:anyone with all rights are not supported")
	errData  = fmt.Errorf("node data exceeds %d bytes", maxData)
	errFlags = errors.New("container and TTL nodes are not supported")
)

const allRights = 31

// toStep converts one operation to a step of a store transaction.
func toStep(op zkwire.Op, body zkwire.Record) (store.Step, error) {
	switch q := body.(type) {
	case *zkwire.CreateRequest:
		s := store.Step{Op: store.StepCreate, Path: q.Path, Data: q.Data, Ephemeral: q.Flags&zkwire.FlagEphemeral != 0,
			Sequence: q.Flags&zkwire.FlagSequence != 0}
		for _, a := range q.ACL {
			if a.Scheme != "world" || a.ID != "anyone" || a.Perms != allRights {
				return s, errACL
			}
		}
		switch {
		case len(q.ACL) == 0:
			return s, errACL
		case q.Flags&^(zkwire.FlagEphemeral|zkwire.FlagSequence) != 0:
			return s, errFlags
		case len(q.Data) > maxData:
			return s, errData
		}
		return s, nil
	case *zkwire.SetDataRequest:
		s := store.Step{Op: store.StepSet, Path: q.Path, Data: q.Data, Version: int64(q.Version)}
		if len(q.Data) > maxData {
			return s, errData
		}
		return s, nil
	case *zkwire.PathVersion:
		s := store.Step{Op: store.StepRemove, Path: q.Path, Version: int64(q.Version)}
		if op == zkwire.OpCheck {
			s.Op = store.StepCheck
		}
		return s, nil
	}
	return store.Step{}, fmt.Errorf("operation %d: %w", op, zkwire.ErrUnimplemented)
}

// single answers a write of one operation.
func (c *conn) single(h *zkwire.RequestHeader, body []byte) error {
	var q zkwire.Record
	switch h.Op {
	case zkwire.OpSetData:
		q = &zkwire.SetDataRequest{}
	case zkwire.OpDelete, zkwire.OpCheck:
		q = &zkwire.PathVersion{}
	default:
		q = &zkwire.CreateRequest{}
	}
	if err := zkwire.DecodeAll(body, q); err != nil {
		return err
	}
	s, fault := toStep(h.Op, q)
	var results []zkwire.MultiResult
	if fault == nil {
		var err error
		if results, _, fault, err = c.commit([]zkwire.Op{h.Op}, s); err != nil {
			return err
		}
	}
	if err := c.fatal(fault); err != nil {
		return err
	}
	return c.read(h, func(store.View) (zkwire.Record, zkwire.Code, error) {
		if fault != nil {
			return nil, errorCode(fault), nil
		}
		return results[0].Body, zkwire.OK, nil
	})
}

// fatal returns the fault if the connection can't continue after it, and nil otherwise.
func (c *conn) fatal(fault error) error {
	if errors.Is(fault, store.ErrNoSession) || errors.Is(fault, store.ErrMoved) {
		return fault
	}
	return nil
}

// commit applies steps as one transaction. If a step was rejected, failed is its index and fault
// the reason. An error means that the outcome is unknown.
func (c *conn) commit(ops []zkwire.Op, steps ...store.Step) (out []zkwire.MultiResult, failed int, fault, err error) {
	ctx, cancel := c.callContext()
	defer cancel()
	r, err := c.server.replica.Commit(ctx, c.session, c.holder, steps...)
	if err != nil {
		return nil, 0, nil, err
	}
	if r.Err != nil {
		return nil, max(r.Failed, 0), r.Err, nil
	}
	for i, op := range ops {
		x := zkwire.MultiResult{Op: op}
		s := wireStat(r.Results[i].Stat, len(steps[i].Data), r.Results[i].Children)
		switch op {
		case zkwire.OpCreate:
			x.Body = &zkwire.Path{Path: r.Results[i].Path}
		case zkwire.OpCreate2:
			x.Body = &zkwire.PathStat{Path: r.Results[i].Path, Stat: s}
		case zkwire.OpSetData:
			x.Body = &s
		}
		out = append(out, x)
	}
	return out, -1, nil, nil
}

// multi answers a write of several operations, which form one log entry.
func (c *conn) multi(h *zkwire.RequestHeader, body []byte) error {
	var q zkwire.Multi
	if err := zkwire.DecodeAll(body, &q); err != nil {
		return err
	}
	var steps []store.Step
	var ops []zkwire.Op
	failed, fault := -1, error(nil)
	for i, op := range q.Ops {
		s, err := toStep(op.Op, op.Body)
		if err != nil && fault == nil {
			failed, fault = i, err
		}
		steps, ops = append(steps, s), append(ops, op.Op)
	}
	var results []zkwire.MultiResult
	if fault == nil {
		var err error
		if results, failed, fault, err = c.commit(ops, steps...); err != nil {
			return err
		}
	}
	if err := c.fatal(fault); err != nil {
		return err
	}
	// No operation was applied. Those before the failed one report OK, those after it were not
	// checked.
	if fault != nil {
		results = make([]zkwire.MultiResult, len(ops))
		for i := range results {
			results[i] = zkwire.MultiResult{Op: zkwire.OpError}
			switch {
			case i == failed:
				results[i].Err = errorCode(fault)
			case i > failed:
				results[i].Err = zkwire.ErrRuntimeInconsistency
			}
		}
	}
	return c.read(h, func(store.View) (zkwire.Record, zkwire.Code, error) {
		return &zkwire.MultiResults{Results: results}, zkwire.OK, nil
	})
}
