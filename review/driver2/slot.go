package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"
)

// lateBy is inside the 6 s for which a zone is cut off (STANDING, split).
const lateBy = 5500 * time.Millisecond

// lateSlot delays one release of a slot on its way to the store, and looks how many routers are shut
// out at a time.
func lateSlot(r *rig) error {
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
	var delayed atomic.Int64
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	late := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		body, _ := io.ReadAll(q.Body)
		header := q.Header.Clone()
		forward := func() (*http.Response, error) {
			req, err := http.NewRequest(q.Method, "http://"+api[0]+q.URL.RequestURI(), strings.NewReader(string(body)))
			if err != nil {
				return nil, err
			}
			req.Header = header
			return r.client.Do(req)
		}
		if r.trouble && q.Method == http.MethodDelete && strings.HasPrefix(q.URL.Path, "/v1/nodes/shut/") && delayed.CompareAndSwap(0, 1) {
			r.note("relay: %s %s comes %v late", q.Method, q.URL.Path, lateBy)
			go func() {
				time.Sleep(lateBy)
				resp, err := forward()
				if err == nil {
					r.note("relay: the late call was answered %d", resp.StatusCode)
					_ = resp.Body.Close()
				}
			}()
			<-q.Context().Done()
			return
		}
		resp, err := forward()
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer resp.Body.Close()
		if q.Method != http.MethodGet {
			r.note("relay: %s %s %d", q.Method, q.URL.RequestURI(), resp.StatusCode)
		}
		for k, v := range resp.Header {
			w.Header()[k] = v
		}
		w.WriteHeader(resp.StatusCode)
		_, _ = io.Copy(w, resp.Body)
	})}
	go func() { _ = late.Serve(l) }()
	r.closers = append(r.closers, func() { _ = late.Close() })
	var peers, members strings.Builder
	for i := range replicas {
		fmt.Fprintf(&peers, "[[peer]]\nid = \"r%d\"\nraft = %q\napi = %q\n", i+1, raft[i], api[i])
	}
	for i := range routers {
		fmt.Fprintf(&members, "[[router]]\nname = \"r%d\"\naddr = %q\n", i+1, links[i])
	}
	s := &storeRig{rig: r, api: api}
	own := []string{"", "[embeddings]\ndeadline = \"10s\"\n", "[embeddings]\ndeadline = \"10s\"\n", "[rerank]\ndeadline = \"10s\"\n"}
	for i := range routers {
		name := fmt.Sprintf("r%d", i+1)
		store := fmt.Sprintf("id = %q\ndata_dir = %q\n%s", name, filepath.Join(r.dir, name, "data"), peers.String())
		if i >= replicas {
			store = fmt.Sprintf("follow = [%q]\nname = %q\n", l.Addr().String(), name)
		}
		model := fmt.Sprintf("listen = %q\n%s[[backend]]\nname = \"m-1\"\naddr = %q\n", models[i], own[i], backend.Listener.Addr().String())
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
	ask := func(i int) int {
		status, _ := r.call(http.MethodPost, "http://"+models[i]+"/v1/embeddings", `{"model":"m","input":["a"]}`, "Content-Type", "application/json")
		return status
	}
	for i := range routers {
		if err := r.eventually(fmt.Sprintf("r%d serves", i+1), 40*time.Second, func() bool { return ask(i) == http.StatusOK }); err != nil {
			return err
		}
	}
	if err := s.lead("r1"); err != nil { // the relay's replica leads, so that no redirect goes past the relay
		return err
	}
	publish := func(text string) error {
		file, err := r.file("publish.toml", text)
		if err != nil {
			return err
		}
		if out, err := r.run(20*time.Second, "config", "--at", api[1], "publish", file); err != nil {
			return fmt.Errorf("%w: publish: %s", errRun, out)
		}
		return nil
	}
	if err := publish("[rerank]\naim = \"5s\"\n"); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	if err := publish("[rerank]\naim = \"20s\"\n"); err != nil { // r4 can't take it
		return err
	}
	if err := r.eventually("r4 is shut out", 30*time.Second, func() bool { return ask(3) == http.StatusServiceUnavailable }); err != nil {
		return err
	}
	if err := publish("[embeddings]\naim = \"14s\"\n"); err != nil { // r2 and r3 can't take it, r4 can
		return err
	}
	most, together, from := 0, 0, time.Now()
	for last := ""; time.Since(from) < 30*time.Second; time.Sleep(200 * time.Millisecond) {
		out := 0
		now := ""
		for i := range routers {
			status := ask(i)
			now += fmt.Sprintf("r%d %d ", i+1, status)
			if status == http.StatusServiceUnavailable {
				out++
			}
		}
		if now != last {
			last = now
			r.note("%s", now)
		}
		most = max(most, out)
		if out > 1 {
			together++
		}
	}
	if r.trouble && delayed.Load() == 0 {
		return fmt.Errorf("%w: no release was late", errRun)
	}
	r.note("%d routers were shut out at once at most, in %d looks more than one", most, together)
	if together > 5 {
		r.breaks("%d of 4 routers are shut out at once, one of them without the slot that it acts on: most_shut 0.25 allows one", most)
	}
	return nil
}
