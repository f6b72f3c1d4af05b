package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	earlierWrites  = 6000
	sessionCount   = 60
	sessionTimeout = 20 * time.Second
	touchEvery     = 100 * time.Millisecond
	touchFor       = 8 * time.Second
	rounds         = 3
)

// touch is one answer to a call that keeps a session alive.
type touch struct {
	at     time.Duration
	status int
}

// sessions opens sessions, kills two of three replicas and starts them again, three times, and
// keeps the sessions alive meanwhile. None may be told that its session is gone while it goes on.
func sessions(r *rig) error {
	s, err := r.startStore(false)
	if err != nil {
		return err
	}
	if err := s.lead("r1"); err != nil {
		return err
	}
	// Earlier writes: each replica's log has as many entries to apply after a start.
	if status, text := r.call(http.MethodPost, "http://"+s.api[0]+"/v1/nodes/n", "0"); status != http.StatusCreated {
		return fmt.Errorf("%w: create: %d %s", errRun, status, text)
	}
	writer := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	var writers sync.WaitGroup
	for range 60 {
		writers.Go(func() {
			for range earlierWrites / 60 {
				req, err := http.NewRequest(http.MethodPut, "http://"+s.api[0]+"/v1/nodes/n", strings.NewReader("a value of some length"))
				if err != nil {
					return
				}
				if resp, err := writer.Do(req); err == nil {
					_ = resp.Body.Close()
				}
			}
		})
	}
	writers.Wait()
	writer.CloseIdleConnections()
	var names []string
	for range sessionCount {
		status, text := r.call(http.MethodPost, "http://"+s.api[0]+"/v1/sessions", fmt.Sprintf(`{"timeout_ms":%d}`, sessionTimeout.Milliseconds()))
		var opened struct{ Session string }
		if status != http.StatusCreated || json.Unmarshal([]byte(text), &opened) != nil {
			return fmt.Errorf("%w: open a session: %d %s", errRun, status, text)
		}
		names = append(names, opened.Session)
	}
	r.note("%d sessions are open, of %v each, after some %d writes", len(names), sessionTimeout, earlierWrites)
	time.Sleep(time.Second)
	caller := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}, CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse // the next replica is asked in any case
	}}
	touches := make([][]touch, len(names))
	from := time.Now()
	for round := range rounds {
		if r.trouble {
			// Two of three, the leader among them.
			first := max(0, slices.IndexFunc(s.replicas, func(p *process) bool { return p.name == s.leader(1) }))
			killed := []int{first, (first + 1) % len(s.replicas)}
			for _, i := range killed {
				if err := s.replicas[i].signal(syscall.SIGKILL); err != nil {
					return err
				}
			}
			for _, i := range killed {
				<-s.replicas[i].done
				if s.replicas[i], err = r.start(s.replicas[i].name, nil, s.replicas[i].args...); err != nil {
					return err
				}
			}
		}
		began := time.Now()
		var callers sync.WaitGroup
		for i, name := range names {
			callers.Go(func() {
				for ; time.Since(began) < touchFor; time.Sleep(touchEvery) {
					for _, api := range s.api {
						req, err := http.NewRequest(http.MethodPut, "http://"+api+"/v1/sessions/"+name, nil)
						if err != nil {
							return
						}
						resp, err := caller.Do(req)
						if err != nil {
							continue
						}
						_ = resp.Body.Close()
						if resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotFound {
							touches[i] = append(touches[i], touch{time.Since(from), resp.StatusCode})
							break
						}
					}
				}
			})
		}
		callers.Wait()
		r.note("round %d is over", round+1)
	}
	wrong, alive := 0, 0
	for i, list := range touches {
		gone := -1
		for j, t := range list {
			if t.status == http.StatusNotFound && gone < 0 {
				gone = j
			}
		}
		if len(list) > 0 && list[len(list)-1].status == http.StatusNoContent {
			alive++
			if gone >= 0 {
				wrong++
				r.note("PUT /v1/sessions/%s: 404 after %v, and 204 at the end", names[i], list[gone].at)
			}
		}
	}
	r.note("%d of %d sessions are alive at the end; %d of these were told 404 before", alive, len(names), wrong)
	if alive == 0 {
		return fmt.Errorf("%w: no session is alive", errRun)
	}
	if wrong > 0 {
		r.breaks("%d of %d sessions were answered 404, no such session, and are alive: the leader that answered had not applied what was acknowledged", wrong, len(names))
	}
	return nil
}
