package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	grace = 5 * time.Second
	// shutWithin is how long after a publication a router that can't take it may go on serving:
	// the grace, and the 10 s for which a claim without an answer is awaited, twice over.
	shutWithin = 2 * (grace + 10*time.Second)
)

// behind publishes a version that does not go with the file of a router without a replica. It must be
// shut out, also while one of the three replicas that it follows is silent.
func behind(r *rig) error {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(`{"object":"list","data":[{"object":"embedding","index":0,"embedding":[0.5]}]}`))
	}))
	r.closers = append(r.closers, backend.Close)
	const replicas, routers = 3, 4
	addrs, err := freeAddrs(2*replicas + 2*routers)
	if err != nil {
		return err
	}
	raft, api, models, links := addrs[:3], addrs[3:6], addrs[6:10], addrs[10:]
	var peers, members strings.Builder
	for i := range replicas {
		fmt.Fprintf(&peers, "[[peer]]\nid = \"r%d\"\nraft = %q\napi = %q\n", i+1, raft[i], api[i])
	}
	for i := range routers {
		fmt.Fprintf(&members, "[[router]]\nname = \"r%d\"\naddr = %q\n", i+1, links[i])
	}
	s := &storeRig{rig: r, api: api}
	for i := range routers {
		name := fmt.Sprintf("r%d", i+1)
		store := fmt.Sprintf("id = %q\ndata_dir = %q\n%s", name, filepath.Join(r.dir, name, "data"), peers.String())
		model := fmt.Sprintf("listen = %q\n", models[i])
		if i >= replicas {
			store = fmt.Sprintf("follow = [%q, %q, %q]\nname = %q\n", api[0], api[1], api[2], name)
			model += "[rerank]\ndeadline = \"10s\"\n"
		}
		model += fmt.Sprintf("[[backend]]\nname = \"m-1\"\naddr = %q\n", backend.Listener.Addr().String())
		shared := fmt.Sprintf("fleet = \"review\"\nself = %q\n%s[straggler]\ngrace = %q\nmost_shut = 0.25\n", name, members.String(), grace)
		args := []string{"serve"}
		for flag, text := range map[string]string{"--store": store, "--modelapi": model, "--fleet": shared} {
			file, err := r.file(name+"/"+flag[2:]+".toml", text)
			if err != nil {
				return err
			}
			args = append(args, flag, file)
		}
		p, err := r.start(name, nil, args...)
		if err != nil {
			return err
		}
		s.replicas = append(s.replicas, p)
	}
	ask := func() (int, string) {
		return r.call(http.MethodPost, "http://"+models[3]+"/v1/embeddings", `{"model":"m","input":["a notice"]}`, "Content-Type", "application/json")
	}
	if err := r.eventually("r4 serves", 40*time.Second, func() bool { status, _ := ask(); return status == http.StatusOK }); err != nil {
		return err
	}
	if err := r.eventually("r2 names a leader", 20*time.Second, func() bool { return s.leader(1) != "" }); err != nil {
		return err
	}
	if s.leader(1) == "r1" {
		if out, err := r.run(10*time.Second, "store", "--at", api[1], "leader", "--to", "r2"); err != nil {
			return fmt.Errorf("%w: hand over: %s", errRun, out)
		}
	}
	publish := func(text string) error {
		file, err := r.file("publish.toml", text)
		if err != nil {
			return err
		}
		if out, err := r.run(20*time.Second, "config", "--at", api[1], "--at", api[2], "publish", file); err != nil {
			return fmt.Errorf("%w: publish: %s", errRun, out)
		}
		return nil
	}
	if err := publish("[rerank]\naim = \"5s\"\n"); err != nil {
		return err
	}
	if err := r.eventually("r4 goes by version 1", 20*time.Second, func() bool {
		status, text := r.call(http.MethodGet, "http://"+api[1]+"/v1/nodes/acks/modelapi/r4", "")
		return status == http.StatusOK && strings.Contains(text, `\"version\":1`)
	}); err != nil {
		return err
	}
	time.Sleep(3 * time.Second) // heartbeats between the routers
	if r.trouble {
		if err := s.replicas[0].signal(syscall.SIGSTOP); err != nil {
			return err
		}
	}
	if err := publish("[rerank]\naim = \"20s\"\n"); err != nil {
		return err
	}
	published := time.Now()
	served, shutAt := 0, time.Duration(0)
	for last := 0; time.Since(published) < shutWithin+5*time.Second; time.Sleep(200 * time.Millisecond) {
		status, answer := ask()
		if status != last {
			last = status
			r.note("r4 answers the client: %d %s", status, strings.TrimSpace(answer))
		}
		switch after := time.Since(published); {
		case status == http.StatusServiceUnavailable && shutAt == 0:
			shutAt = after
		case status == http.StatusOK && after > shutWithin:
			served++
		}
	}
	if out, err := r.run(10*time.Second, "store", "--at", api[1], "get", "/acks/modelapi/r4"); err == nil {
		r.note("r4 has acknowledged: %s", out)
	}
	_, _ = r.run(10*time.Second, "store", "--at", api[1], "ls", "/shut")
	r.note("r4 was shut out %v after the publication; it served %d requests later than %v after it", shutAt, served, shutWithin)
	if r.trouble {
		if err := s.replicas[0].signal(syscall.SIGCONT); err != nil {
			return err
		}
	}
	if served > 0 {
		r.breaks("r4 can't take the published version and is not shut out: it answered %d requests by the old one more than %v after the publication", served, shutWithin)
	}
	return nil
}
