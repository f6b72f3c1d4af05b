package main

import (
	"errors"
	"fmt"
	"maps"
	"path"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/go-zookeeper/zk"
)

const (
	calmTime     = 2 * time.Second
	downTime     = 2 * time.Second // from the kill to the first restart
	restartPause = 2 * time.Second // between restarts
	writePause   = 50 * time.Millisecond
	parent       = "/notices"
)

// write is one change that a client asked for, and what it was told.
type write struct {
	data   string
	answer string // empty: done
}

type quiet struct{}

func (quiet) Printf(string, ...any) {}

// writeUntil has one ZooKeeper client add sequential nodes, one after the other, each with data of
// its own. The client never repeats a write. After a write without an answer it goes on with a new
// session.
func writeUntil(r *rig, name, addr string, stop <-chan struct{}) (done []write) {
	var conn *zk.Conn
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	for n := 1; ; {
		select {
		case <-stop:
			return done
		case <-time.After(writePause):
		}
		if conn == nil {
			var err error
			if conn, _, err = zk.Connect([]string{addr}, 20*time.Second, zk.WithLogger(quiet{}), zk.WithLogInfo(false)); err != nil {
				return done
			}
		}
		w := write{data: fmt.Sprintf("%s-%d", name, n)}
		n++
		began := time.Now()
		at, err := conn.Create(path.Join(parent, "notice-"), []byte(w.data), zk.FlagSequence, zk.WorldACL(zk.PermAll))
		if err != nil {
			w.answer = err.Error()
			conn.Close()
			conn = nil
		}
		r.note("%s created a node with data %q: answer %q, error %v, after %v", name, w.data, at, err, time.Since(began).Round(time.Millisecond))
		done = append(done, w)
	}
}

// applied reads which data the nodes hold, with the names of the nodes.
func applied(addr string) (map[string][]string, error) {
	conn, _, err := zk.Connect([]string{addr}, 20*time.Second, zk.WithLogger(quiet{}), zk.WithLogInfo(false))
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	if _, err := conn.Sync(parent); err != nil {
		return nil, fmt.Errorf("sync: %w", err)
	}
	names, _, err := conn.Children(parent)
	if err != nil {
		return nil, fmt.Errorf("children: %w", err)
	}
	sort.Strings(names)
	out := map[string][]string{}
	for _, name := range names {
		data, _, err := conn.Get(path.Join(parent, name))
		if err != nil {
			return nil, fmt.Errorf("get %s: %w", name, err)
		}
		out[string(data)] = append(out[string(data)], name)
	}
	return out, nil
}

// storeAppliesOnce writes at a follower of five replicas, of which three are killed in the middle
// of it and started again one after the other.
func storeAppliesOnce(r *rig) error {
	replicas, err := r.newReplicas(5)
	if err != nil {
		return err
	}
	for _, p := range replicas {
		if err := r.startReplica(p); err != nil {
			return err
		}
	}
	lead, err := leader(20*time.Second, replicas...)
	if err != nil {
		return err
	}
	var at *replica
	var killed []*replica
	for _, p := range replicas {
		switch {
		case p.id == lead:
		case at == nil:
			at = p
		default:
			killed = append(killed, p)
		}
	}
	r.note("%s leads, clients write at %s", lead, at.id)
	err = wait("the parent node", 15*time.Second, func() bool {
		conn, _, err := zk.Connect([]string{at.zk}, 20*time.Second, zk.WithLogger(quiet{}), zk.WithLogInfo(false))
		if err != nil {
			return false
		}
		defer conn.Close()
		_, err = conn.Create(parent, nil, 0, zk.WorldACL(zk.PermAll))
		return err == nil || errors.Is(err, zk.ErrNodeExists)
	})
	if err != nil {
		return err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	var writes []write
	for _, name := range []string{"desk-a", "desk-b"} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			done := writeUntil(r, name, at.zk, stop)
			mu.Lock()
			defer mu.Unlock()
			writes = append(writes, done...)
		}()
	}
	time.Sleep(calmTime)
	if r.trouble {
		r.note("SIGKILL to %s, %s and %s: the majority is lost", killed[0].id, killed[1].id, killed[2].id)
		for _, p := range killed {
			p.program.kill()
		}
	}
	time.Sleep(downTime)
	for _, p := range killed {
		if r.trouble {
			if err := r.startReplica(p); err != nil {
				return err
			}
		}
		time.Sleep(restartPause)
	}
	if lead, err = leader(20*time.Second, at); err != nil {
		return err
	}
	r.note("%s leads", lead)
	time.Sleep(calmTime)
	close(stop)
	wg.Wait()
	var found map[string][]string
	err = wait("the state of the store", 20*time.Second, func() bool {
		found, err = applied(at.zk)
		return err == nil
	})
	if err != nil {
		return err
	}
	return judgeApplied(r, writes, found)
}

// judgeApplied holds the writes against the nodes: an acknowledged one is there, and none twice.
func judgeApplied(r *rig, writes []write, found map[string][]string) error {
	for _, data := range slices.Sorted(maps.Keys(found)) {
		r.note("in the store at the end: %q in %v", data, found[data])
	}
	acknowledged, lost, twice := 0, 0, 0
	for _, w := range writes {
		nodes := found[w.data]
		if w.answer == "" {
			acknowledged++
		}
		if w.answer == "" && len(nodes) == 0 {
			lost++
			r.note("LOST: %q was acknowledged, and no node has it", w.data)
		}
		if len(nodes) > 1 {
			twice++
			r.note("TWICE: %q was sent once (answer: %q), and these nodes have it: %v", w.data, w.answer, nodes)
		}
	}
	r.note("%d writes sent once each, %d acknowledged, %d nodes' data seen, %d lost, %d applied twice", len(writes), acknowledged, len(found), lost, twice)
	if lost > 0 || twice > 0 {
		return errBroken
	}
	if acknowledged < 20 {
		return errors.New("too few writes were acknowledged")
	}
	return nil
}
