package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/go-zookeeper/zk"

	"lichenshelf/internal/standin/link"
)

const (
	duty           = "/duty"
	sessionTimeout = 4 * time.Second
	askPause       = 200 * time.Millisecond
	cutFor         = 20 * time.Second
	// settleFor is how long after the first holder's session time-out it may still take the store
	// and the client to notice, beyond what the store's pages state (0.4 s, a quarter of the
	// time-out and one more time-out).
	settleFor = 2 * sessionTimeout
)

// instance is one of the processes of which one at a time is to have the duty: it holds the duty
// while the ephemeral node is its session's, as far as it is told.
type instance struct {
	name string
	conn *zk.Conn

	mu       sync.Mutex
	since    time.Time // when it was told that it holds the duty; zero: it does not
	last     time.Time // the last answer that said so
	lost     bool      // the service was lost since: it must not act
	lastLine string
}

func (i *instance) event(r *rig) func(zk.Event) {
	return func(ev zk.Event) {
		if ev.Type != zk.EventSession {
			return
		}
		i.mu.Lock()
		defer i.mu.Unlock()
		r.note("%s: session event %v", i.name, ev.State)
		if ev.State == zk.StateDisconnected || ev.State == zk.StateExpired {
			i.since, i.lost = time.Time{}, true
		}
	}
}

// work tries to get the duty, or asks whether it still has it.
func (i *instance) work(r *rig) {
	_, err := i.conn.Create(duty, []byte(i.name), zk.FlagEphemeral, zk.WorldACL(zk.PermAll))
	if errors.Is(err, zk.ErrNodeExists) {
		err = nil
	}
	var owner string
	if err == nil {
		var data []byte
		var stat *zk.Stat
		if data, stat, err = i.conn.Get(duty); err == nil {
			owner = string(data)
			if stat.EphemeralOwner != i.conn.SessionID() {
				owner += " (another session)"
			}
		}
	}
	i.told(r, owner, err)
}

// look asks only whether it still has the duty, as an instance does that has it.
func (i *instance) look(r *rig) {
	data, stat, err := i.conn.Get(duty)
	owner := ""
	if err == nil {
		owner = string(data)
		if stat.EphemeralOwner != i.conn.SessionID() {
			owner += " (another session)"
		}
	}
	i.told(r, owner, err)
}

func (i *instance) told(r *rig, owner string, err error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	line := fmt.Sprintf("the duty is %q's, error %v", owner, err)
	if line != i.lastLine {
		r.note("%s is told: %s", i.name, line)
		i.lastLine = line
	}
	if err == nil && owner == i.name {
		if i.since.IsZero() {
			i.since = time.Now()
		}
		i.last = time.Now()
		return
	}
	i.since = time.Time{}
}

// holds returns since when the instance has held the duty without a break, as far as it was told.
func (i *instance) holds() (since, last time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.since, i.last
}

// oneHolder has two instances share a duty by an ephemeral node; the replica of the one that has it
// is cut off from the other replicas, and from nobody else.
func oneHolder(r *rig) error {
	replicas, cut, err := r.newRelayedReplicas(3)
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
	var follower, other *replica
	for _, p := range replicas {
		switch {
		case p.id != lead && follower == nil:
			follower = p
		default:
			other = p
		}
	}
	r.note("%s leads; first at %s, second at %s", lead, follower.id, other.id)
	first, second := &instance{name: "first"}, &instance{name: "second"}
	for i, at := range map[*instance]*replica{first: follower, second: other} {
		if i.conn, _, err = zk.Connect([]string{at.zk}, sessionTimeout, zk.WithLogger(quiet{}), zk.WithLogInfo(false), zk.WithEventCallback(i.event(r))); err != nil {
			return err
		}
		defer i.conn.Close()
	}
	if err := wait("the first holder", 20*time.Second, func() bool {
		first.work(r)
		since, _ := first.holds()
		return !since.IsZero()
	}); err != nil {
		return err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	repeat := func(f func()) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(askPause):
					f()
				}
			}
		}()
	}
	repeat(func() { first.look(r) })
	repeat(func() { second.work(r) })
	time.Sleep(2 * time.Second)
	if r.trouble {
		r.note("%s is cut off from the other replicas", follower.id)
		cut(follower, true)
	}
	var both time.Duration
	for end := time.Now().Add(cutFor); time.Now().Before(end); time.Sleep(askPause) {
		a, aLast := first.holds()
		b, bLast := second.holds()
		if a.IsZero() || b.IsZero() {
			continue
		}
		// Both have been told, without a break, that the duty is theirs.
		from, to := b, aLast
		if a.After(b) {
			from = a
		}
		if bLast.Before(aLast) {
			to = bLast
		}
		both = max(both, to.Sub(from))
	}
	if r.trouble {
		r.note("the cut ends")
		cut(follower, false)
		time.Sleep(5 * time.Second)
	}
	close(stop)
	wg.Wait()
	status, _ := call(http.MethodGet, "http://"+follower.api+"/v1/nodes"+duty, "")
	r.note("at the end, %s answers a read over HTTP with %d", follower.id, status)
	r.note("both were told that they hold the duty for %v, %v is allowed", both.Round(time.Millisecond), settleFor)
	if both > settleFor {
		return errBroken
	}
	if since, _ := second.holds(); r.trouble && since.IsZero() {
		return errors.New("the second instance never got the duty")
	}
	return nil
}

// newRelayedReplicas lays out replicas with a relay on the links from each to each other one, and
// returns a function that cuts one off from the others, or connects it again.
func (r *rig) newRelayedReplicas(n int) ([]*replica, func(*replica, bool), error) {
	replicas, err := r.newReplicas(n)
	if err != nil {
		return nil, nil, err
	}
	links := map[[2]string][]*link.Relay{}
	for _, p := range replicas {
		peers := ""
		for _, to := range replicas {
			raft, api := to.raft, to.api
			if to != p {
				for _, addr := range []*string{&raft, &api} {
					relay, err := link.New(*addr)
					if err != nil {
						return nil, nil, err
					}
					*addr = relay.Addr()
					links[[2]string{p.id, to.id}] = append(links[[2]string{p.id, to.id}], relay)
				}
			}
			peers += fmt.Sprintf("[[peer]]\nid = %q\nraft = %q\napi = %q\n", to.id, raft, api)
		}
		if err := r.writeStoreFile(p, peers); err != nil {
			return nil, nil, err
		}
	}
	return replicas, func(p *replica, off bool) {
		fault := link.Fault{}
		if off {
			fault.Drop = [2]bool{true, true}
		}
		for ends, relays := range links {
			if ends[0] == p.id || ends[1] == p.id {
				for _, relay := range relays {
					relay.Set(fault)
				}
			}
		}
	}, nil
}
