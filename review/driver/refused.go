package main

import (
	"fmt"
	"net/http"
	"os"
	"time"
)

// refusedVersion publishes a version that one router's own file does not go with. That router
// refuses it and serves on, as it should, and is then killed and started again.
func refusedVersion(r *rig) error {
	routers, err := newModelRouters(r)
	if err != nil {
		return err
	}
	m := routers[0]
	up := func() bool {
		status, _ := call(http.MethodGet, "http://"+m.listen+"/healthz", "")
		return status == http.StatusOK
	}
	for _, m = range routers {
		if err := wait("a router that serves", 20*time.Second, up); err != nil {
			return err
		}
	}
	m = routers[0]
	// This router's own file has a shorter deadline for chat than the others.
	text, err := os.ReadFile(m.args[3])
	if err != nil {
		return err
	}
	if err := os.WriteFile(m.args[3], append([]byte("chat = {deadline = \"8s\"}\n"), text...), 0o600); err != nil {
		return err
	}
	m.program.kill()
	if err := r.startReplica(m.replica); err != nil {
		return err
	}
	if err := wait("the router with its own deadline", 20*time.Second, up); err != nil {
		return err
	}
	aim := "9s"
	if !r.trouble {
		aim = "7s"
	}
	file, err := r.file("version.toml", fmt.Sprintf("[chat]\naim = %q\n", aim))
	if err != nil {
		return err
	}
	_ = publish(r, routers[1:], 1, "publish", file)
	time.Sleep(time.Second)
	r.note("%s says in the store: %+v; it serves: %v", m.id, m.acknowledged(), up())
	r.note("SIGKILL to %s, which is started again", m.id)
	m.program.kill()
	if err := r.startReplica(m.replica); err != nil {
		return err
	}
	select {
	case <-m.program.done:
		r.note("%s has ended by itself: %v", m.id, m.program.cmd.ProcessState)
		return errBroken
	case <-time.After(10 * time.Second):
	}
	r.note("%s serves: %v", m.id, up())
	if !up() {
		return errBroken
	}
	return nil
}
