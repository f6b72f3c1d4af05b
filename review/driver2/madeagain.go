package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// watchBound is how long the case waits for a watch to tell of a change: two polls of four seconds
// and more.
const watchBound = 15 * time.Second

// madeAgain watches the node of a registered backend whose process is killed and started again at
// another address.
func madeAgain(r *rig) error {
	s, err := r.startStore(false)
	if err != nil {
		return err
	}
	addrs, err := freeAddrs(2)
	if err != nil {
		return err
	}
	register := func(name, addr string) (*process, error) {
		return r.start(name, nil, "register", "--protocol", "zk", "--store", s.zk[0], "--store", s.zk[1], "--store", s.zk[2],
			"--path", "/backends", "--name", "m-1", "--addr", addr, "--timeout", "5s")
	}
	// data returns the address that the store holds, by a read of the newest state.
	data := func() string {
		status, text := r.call(http.MethodGet, "http://"+s.api[1]+"/v1/nodes/backends/m-1", "")
		var n struct{ Data string }
		var reg struct{ Addr string }
		if status != http.StatusOK || json.Unmarshal([]byte(text), &n) != nil || json.Unmarshal([]byte(n.Data), &reg) != nil {
			return ""
		}
		return reg.Addr
	}
	first, err := register("backend-a", addrs[0])
	if err != nil {
		return err
	}
	if err := r.eventually("registered at the first address", 20*time.Second, func() bool { return data() == addrs[0] }); err != nil {
		return err
	}
	watcher, err := r.start("watch", nil, "store", "--at", s.api[1], "watch", "/backends/m-1")
	if err != nil {
		return err
	}
	if err := r.eventually("the watch shows the first address", 20*time.Second, func() bool { return strings.Contains(watcher.log.text(), addrs[0]) }); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	end := syscall.SIGTERM
	if r.trouble {
		end = syscall.SIGKILL
	}
	if err := first.signal(end); err != nil {
		return err
	}
	<-first.done
	if _, err := register("backend-b", addrs[1]); err != nil {
		return err
	}
	if err := r.eventually("the store has the second address", 20*time.Second, func() bool { return data() == addrs[1] }); err != nil {
		return err
	}
	told := func() bool {
		// The command prints null once there is no node.
		shown := watcher.log.text()
		return strings.Contains(shown, addrs[1]) || strings.Contains("\n"+shown, "\nnull\n")
	}
	for until := time.Now().Add(watchBound); time.Now().Before(until) && !told(); {
		time.Sleep(100 * time.Millisecond)
	}
	r.note("the watch has shown:\n%s", watcher.log.text())
	if watcher.ended() && !told() {
		return fmt.Errorf("%w: the watch has ended", errRun)
	}
	if !told() {
		r.breaks("%v after the node was removed and made again, its watch has told nothing; the store holds %s, the watcher has %s", watchBound, addrs[1], addrs[0])
	}
	return nil
}
