package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	registrationTimeout = "3s"
	// hungFor is the length of a cut (STANDING, split).
	hungFor = 6 * time.Second
)

// registration keeps a backend registered with a store of three replicas, of which one that does
// not lead stops for hungFor. Its registration must stay.
func registration(r *rig) error {
	var served atomic.Int64
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		served.Add(1)
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(`{"object":"list","data":[{"object":"embedding","index":0,"embedding":[0.5]}]}`))
	}))
	r.closers = append(r.closers, backend.Close)
	s, err := r.startStore(true)
	if err != nil {
		return err
	}
	if err := s.lead("r2"); err != nil {
		return err
	}
	registrar, err := r.start("registrar", nil, "register", "--store", s.api[0], "--store", s.api[1], "--store", s.api[2],
		"--name", "m-a", "--addr", backend.Listener.Addr().String(), "--timeout", registrationTimeout)
	if err != nil {
		return err
	}
	node := "http://" + s.api[1] + "/v1/nodes/backends/m-a"
	if err := r.eventually("the backend is registered", 20*time.Second, func() bool {
		status, _ := r.call(http.MethodGet, node, "")
		return status == http.StatusOK
	}); err != nil {
		return err
	}
	ask := func(i int) (int, string) {
		return r.call(http.MethodPost, "http://"+s.models[i]+"/v1/embeddings", `{"model":"m","input":["a notice"]}`,
			"Content-Type", "application/json", "X-Time-Left-Ms", "1000")
	}
	for _, i := range []int{1, 2} {
		if err := r.eventually(fmt.Sprintf("the model API of r%d serves", i+1), 20*time.Second, func() bool {
			status, _ := ask(i)
			return status == http.StatusOK
		}); err != nil {
			return err
		}
	}
	// watch reads the node at the two replicas that run and asks their model APIs.
	answers := map[string]int{}
	absent := 0
	watch := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
			for _, i := range []int{1, 2} {
				status, text := r.call(http.MethodGet, "http://"+s.api[i]+"/v1/nodes/backends/m-a", "")
				if status == http.StatusNotFound {
					if absent++; absent <= 3 {
						r.note("r%d reads /backends/m-a: %d %s", i+1, status, text)
					}
				}
				status, text = ask(i)
				key := fmt.Sprintf("r%d %d", i+1, status)
				if answers[key]++; answers[key] <= 2 {
					r.note("r%d answers the client: %d %s", i+1, status, strings.TrimSpace(text))
				}
			}
		}
	}
	watch(6 * time.Second)
	if absent > 0 || registrar.ended() {
		return fmt.Errorf("%w: the backend was not registered before the disruption", errRun)
	}
	if r.trouble {
		if err := s.replicas[0].signal(syscall.SIGSTOP); err != nil {
			return err
		}
		goOn := time.AfterFunc(hungFor-100*time.Millisecond, func() { _ = s.replicas[0].signal(syscall.SIGCONT) })
		defer goOn.Stop()
	}
	watch(2 * hungFor)
	r.note("r2 names as the leader: %q", s.leader(1))
	r.note("clients' answers: %v; the backend served %d; reads that did not find the node: %d", answers, served.Load(), absent)
	if registrar.ended() {
		return fmt.Errorf("%w: the registrar has ended", errRun)
	}
	if absent > 0 {
		r.breaks("the registration was lost while its registrar, its backend and two of three replicas ran (%d reads found no node)", absent)
	}
	return nil
}
