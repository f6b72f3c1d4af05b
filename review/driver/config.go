package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os/exec"
	"strings"
	"syscall"
	"time"
)

const (
	firstKey  = "key-chart-desk"  // of the account in the routers' files
	secondKey = "key-port-office" // of the account that the second version names instead
	embedCall = `{"model":"m","input":["a notice to mariners"]}`
)

// modelRouter is a router with the model API, a replica and a place in the fleet.
type modelRouter struct {
	*replica
	listen string
}

// ask calls a router with an account's key. It asks again while the router says that it is
// overloaded or that the account is past its rate, as in the first seconds after its start.
func (m *modelRouter) ask(key string) (status int) {
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		status, _ = call(http.MethodPost, "http://"+m.listen+"/v1/embeddings", embedCall, "Authorization", "Bearer "+key, "Content-Type", "application/json")
		if status != 0 && status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
			return status
		}
	}
	return status
}

// acknowledgement is what a router says in the store of the configuration that it uses.
type acknowledgement struct {
	Version uint64   `json:"version"`
	Restart []string `json:"restart"`
	Fault   string   `json:"fault"`
}

func (m *modelRouter) acknowledged() (a acknowledgement) {
	var node struct{ Data string }
	if status, text := call(http.MethodGet, "http://"+m.api+"/v1/nodes/acks/modelapi/"+m.id, ""); status == http.StatusOK && json.Unmarshal([]byte(text), &node) == nil {
		_ = json.Unmarshal([]byte(node.Data), &a)
	}
	return a
}

// newModelRouters starts three routers that share a store and a fleet, and a backend.
func newModelRouters(r *rig) ([]*modelRouter, error) {
	replicas, err := r.newReplicas(3)
	if err != nil {
		return nil, err
	}
	addrs, err := freeAddrs(2 * len(replicas))
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			text := `{"object":"list","data":[{"object":"embedding","index":0,"embedding":[0.5]}],"model":"m"}`
			w.Header().Set("Content-Type", "application/json")
			w.Header().Set("Content-Length", fmt.Sprint(len(text)))
			_, _ = w.Write([]byte(text))
		}))
	}()
	var members strings.Builder
	for i, p := range replicas {
		fmt.Fprintf(&members, "[[router]]\nname = %q\naddr = %q\n", p.id, addrs[len(replicas)+i])
	}
	var out []*modelRouter
	for i, p := range replicas {
		m := &modelRouter{p, addrs[i]}
		fleet, err := r.file("fleet-"+p.id+".toml", fmt.Sprintf("fleet = \"charts\"\nself = %q\n%s", p.id, members.String()))
		if err != nil {
			return nil, err
		}
		own, err := r.file("modelapi-"+p.id+".toml", fmt.Sprintf("listen = %q\n[[account]]\nname = \"chart-desk\"\nkey = %q\nquota_per_s = 50.0\n"+
			"[[backend]]\nname = \"m-1\"\naddr = %q\n", m.listen, firstKey, l.Addr()))
		if err != nil {
			return nil, err
		}
		p.args = append(p.args, "--modelapi", own, "--fleet", fleet)
		if err := r.startReplica(p); err != nil {
			return nil, err
		}
		out = append(out, m)
	}
	return out, nil
}

// publish has the operators' command make a new version, which all routers have to acknowledge as
// in use.
func publish(r *rig, routers []*modelRouter, version uint64, args ...string) error {
	cmd := exec.Command("bin/lichenshelf", append([]string{"config", "--at", routers[0].api}, args...)...)
	text, err := cmd.CombinedOutput()
	r.note("lichenshelf config %s: %s", strings.ReplaceAll(strings.Join(args, " "), r.dir, "TMP"), strings.TrimSpace(string(text)))
	if err != nil {
		return err
	}
	return wait("acknowledgements", 20*time.Second, func() bool {
		for _, m := range routers {
			if a := m.acknowledged(); a.Version != version || len(a.Restart) > 0 || a.Fault != "" {
				return false
			}
		}
		return true
	})
}

// serves reports whether all routers serve one key and turn the other one away.
func serves(r *rig, routers []*modelRouter, what, known, unknown string) bool {
	right := true
	for _, m := range routers {
		a, yes, no := m.acknowledged(), m.ask(known), m.ask(unknown)
		r.note("%s: %s has acknowledged version %d (restart: %v): %s gets %d, %s gets %d", what, m.id, a.Version, a.Restart, known, yes, unknown, no)
		right = right && yes == http.StatusOK && no == http.StatusUnauthorized
	}
	return right
}

// configurationNotOlder publishes new configurations in a row, the last one a rollback, and asks
// each router with the keys of the accounts.
func configurationNotOlder(r *rig) error {
	routers, err := newModelRouters(r)
	if err != nil {
		return err
	}
	for _, m := range routers {
		if err := wait("a router that serves", 20*time.Second, func() bool {
			status, _ := call(http.MethodGet, "http://"+m.listen+"/healthz", "")
			return status == http.StatusOK
		}); err != nil {
			return err
		}
	}
	first, err := r.file("first.toml", "[chat]\naim = \"2s\"\n")
	if err != nil {
		return err
	}
	second, err := r.file("second.toml", fmt.Sprintf("[chat]\naim = \"2s\"\n[[account]]\nname = \"port-office\"\nkey = %q\nquota_per_s = 50.0\n", secondKey))
	if err != nil {
		return err
	}
	if err := publish(r, routers, 1, "publish", first); err != nil {
		return err
	}
	if !serves(r, routers, "version 1 (no accounts: the files' account)", firstKey, secondKey) {
		return errors.New("the first version is not served")
	}
	last := uint64(2)
	if r.trouble {
		if err := publish(r, routers, 2, "publish", second); err != nil {
			return err
		}
		if !serves(r, routers, "version 2 (another account)", secondKey, firstKey) {
			return errors.New("the second version is not served")
		}
		last = 3
	}
	if err := publish(r, routers, last, "rollback", "1"); err != nil {
		return err
	}
	held := serves(r, routers, fmt.Sprintf("version %d (the text of version 1)", last), firstKey, secondKey)
	// What the version means is seen once more at a router that starts with it; not judged.
	m := routers[2]
	r.note("SIGTERM to %s, which is started again", m.id)
	_ = m.program.cmd.Process.Signal(syscall.SIGTERM)
	<-m.program.done
	if err := r.startReplica(m.replica); err != nil {
		return err
	}
	if err := wait("the router that was started again", 20*time.Second, func() bool {
		status, _ := call(http.MethodGet, "http://"+m.listen+"/healthz", "")
		return status == http.StatusOK
	}); err != nil {
		return err
	}
	serves(r, []*modelRouter{m}, "after its start", firstKey, secondKey)
	if !held {
		return errBroken
	}
	return nil
}
