package zkfront

import (
	"context"
	"errors"
	"fmt"

	"lichenshelf/discovery/zkwire"
	"lichenshelf/store"
)

// call answers one call. An error ends the connection, as when the outcome of a
// write is not known.
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
		return c.read(&h, func(v store.View) (zkwire.Record, zkwire.Code, error) { return c.look(v, h.Op, &q) })
	case zkwire.OpSetWatches:
		var q zkwire.SetWatches
		if err := zkwire.DecodeAll(body, &q); err != nil {
			return err
		}
		return c.read(&h, func(v store.View) (zkwire.Record, zkwire.Code, error) { return nil, zkwire.OK, c.setWatches(v, &q) })
	case zkwire.OpCreate, zkwire.OpCreate2, zkwire.OpSetData, zkwire.OpDelete, zkwire.OpCheck:
		return c.one(&h, body)
	case zkwire.OpMulti:
		return c.multi(&h, body)
	case zkwire.OpSync:
		var q zkwire.Path
		if err := zkwire.DecodeAll(body, &q); err != nil {
			return err
		}
		ctx, cancel := c.wait()
		defer cancel()
		if err := c.server.replica.Sync(ctx); err != nil {
			return err
		}
		return c.read(&h, func(store.View) (zkwire.Record, zkwire.Code, error) { return &q, zkwire.OK, nil })
	case zkwire.OpAuth: // there is one access list, open to all, so nobody needs to be known
		return c.read(&h, func(store.View) (zkwire.Record, zkwire.Code, error) { return nil, zkwire.OK, nil })
	case zkwire.OpCloseSession:
		ctx, cancel := c.wait()
		defer cancel()
		c.leave() // the end of the session must not cut off the answer
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

func (c *conn) wait() (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.server.ctx, callWait)
}

// leave has the connection no longer speak for its session here.
func (c *conn) leave() {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sessions[c.session] == c {
		delete(s.sessions, c.session)
	}
}

// read answers with what f finds in the state. The answer is queued before the
// state can change again, so what a watch tells of that comes after it.
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

// watch sets a watch, with the state locked.
func (c *conn) watch(k kind, path string) error {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watches.count(c) >= s.cfg.MaxWatches {
		return errWatches
	}
	s.watches.set(c, k, path)
	return nil
}

func (c *conn) look(v store.View, op zkwire.Op, q *zkwire.PathWatch) (zkwire.Record, zkwire.Code, error) {
	data, st, children, err := v.Node(q.Path)
	k := dataWatch
	if op == zkwire.OpGetChildren || op == zkwire.OpGetChildren2 {
		k = childWatch
	}
	// Only a question for existence watches for what is not there yet.
	if q.Watch && (err == nil || op == zkwire.OpExists && errors.Is(err, store.ErrNoNode)) {
		if err := c.watch(k, q.Path); err != nil {
			return nil, 0, err
		}
	}
	if err != nil {
		return nil, code(err), nil
	}
	s := stat(st, len(data), children)
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

// setWatches sets a client's watches again after it has come back, and tells at
// once what it has missed.
func (c *conn) setWatches(v store.View, q *zkwire.SetWatches) error {
	for set, paths := range map[string][]string{"data": q.Data, "exist": q.Exist, "children": q.ChildrenPaths} {
		for _, p := range paths {
			data, st, children, err := v.Node(p)
			if event, told := missed(set, err == nil, stat(st, len(data), children), q.RelativeZxid); told {
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

// stat is a node's in the protocol's form.
func stat(s store.Stat, size, children int) zkwire.Stat {
	out := zkwire.Stat{Czxid: int64(s.Created), Mzxid: int64(s.Modified), Ctime: s.CreatedMs, Mtime: s.ModifiedMs,
		Version: int32(s.Version), Cversion: int32(s.Children), DataLength: int32(size), NumChildren: int32(children),
		Pzxid: int64(max(s.ChildrenOp, s.Created))}
	if s.Ephemeral != "" {
		out.EphemeralOwner = sessionID(s.Ephemeral)
	}
	return out
}

// code is a fault in the protocol's form.
func code(err error) zkwire.Code {
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
	errACL   = errors.New("access lists other than world:anyone with all rights are not kept")
	errData  = fmt.Errorf("a node holds %d bytes at most", maxData)
	errFlags = errors.New("container and TTL nodes are not kept")
)

const allRights = 31

// step turns one operation into the store's.
func step(op zkwire.Op, body zkwire.Record) (store.Step, error) {
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

// one answers a write of one operation.
func (c *conn) one(h *zkwire.RequestHeader, body []byte) error {
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
	s, fault := step(h.Op, q)
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
			return nil, code(fault), nil
		}
		return results[0].Body, zkwire.OK, nil
	})
}

// fatal is a fault after which the connection can't go on.
func (c *conn) fatal(fault error) error {
	if errors.Is(fault, store.ErrNoSession) || errors.Is(fault, store.ErrMoved) {
		return fault
	}
	return nil
}

// commit applies steps. Failed and fault are of the step that could not be, an
// error says that what became of them is not known here.
func (c *conn) commit(ops []zkwire.Op, steps ...store.Step) (out []zkwire.MultiResult, failed int, fault, err error) {
	ctx, cancel := c.wait()
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
		s := stat(r.Results[i].Stat, len(steps[i].Data), r.Results[i].Children)
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

// multi answers a write of several operations, which are one entry of the log.
func (c *conn) multi(h *zkwire.RequestHeader, body []byte) error {
	var q zkwire.Multi
	if err := zkwire.DecodeAll(body, &q); err != nil {
		return err
	}
	var steps []store.Step
	var ops []zkwire.Op
	failed, fault := -1, error(nil)
	for i, op := range q.Ops {
		s, err := step(op.Op, op.Body)
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
	if fault != nil { // none was applied: those before it would have been, those after were not looked at
		results = make([]zkwire.MultiResult, len(ops))
		for i := range results {
			results[i] = zkwire.MultiResult{Op: zkwire.OpError}
			switch {
			case i == failed:
				results[i].Err = code(fault)
			case i > failed:
				results[i].Err = zkwire.ErrRuntimeInconsistency
			}
		}
	}
	return c.read(h, func(store.View) (zkwire.Record, zkwire.Code, error) {
		return &zkwire.MultiResults{Results: results}, zkwire.OK, nil
	})
}
