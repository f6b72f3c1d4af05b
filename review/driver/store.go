package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"time"
)

// replica is one router that holds a replica of the store.
type replica struct {
	id, raft, api, zk string
	args              []string
	program           *program
}

// newReplicas lays out the replicas of one store, which are not started yet.
func (r *rig) newReplicas(n int) ([]*replica, error) {
	addrs, err := freeAddrs(3 * n)
	if err != nil {
		return nil, err
	}
	var out []*replica
	var peers strings.Builder
	for i := range n {
		p := &replica{id: fmt.Sprintf("r%d", i+1), raft: addrs[3*i], api: addrs[3*i+1], zk: addrs[3*i+2]}
		fmt.Fprintf(&peers, "[[peer]]\nid = %q\nraft = %q\napi = %q\n", p.id, p.raft, p.api)
		out = append(out, p)
	}
	for _, p := range out {
		if err := r.writeStoreFile(p, peers.String()); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// writeStoreFile writes a replica's file with the given peers.
func (r *rig) writeStoreFile(p *replica, peers string) error {
	file, err := r.file("store-"+p.id+".toml", fmt.Sprintf("id = %q\ndata_dir = %q\nzookeeper = %q\n%s",
		p.id, filepath.Join(r.dir, "data-"+p.id), p.zk, peers))
	p.args = []string{"--store", file}
	return err
}

// startReplica starts a replica, or starts it again with the data that it has.
func (r *rig) startReplica(p *replica) (err error) {
	p.program, err = r.run(p.id, p.args...)
	return err
}

// leader waits until a replica names the leader.
func leader(limit time.Duration, replicas ...*replica) (id string, err error) {
	err = wait("a leader of the store", limit, func() bool {
		for _, p := range replicas {
			var l struct{ Leader string }
			if status, text := call(http.MethodGet, "http://"+p.api+"/v1/leader", ""); status == http.StatusOK && json.Unmarshal([]byte(text), &l) == nil && l.Leader != "" {
				id = l.Leader
				return true
			}
		}
		return false
	})
	return id, err
}
