package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	outage     = 40 * time.Second       // how long the majority of the store is away
	firstToken = 400 * time.Millisecond // after a prompt has reached its writer
	askEvery   = 50 * time.Millisecond
)

// asked is one request of a platform's client, and what became of it.
type asked struct {
	id     string
	at     time.Time
	status int
	whole  bool // the stream came to its end
	err    error
}

// platformSurvivesStore has three routers with both fronts and a replica of the store each. Two of
// them are killed, and the third one is killed and started again while they are away. The
// platform's front has no need of the store; its clients ask all the time.
func platformSurvivesStore(r *rig) error {
	f := newFleet(r)
	release := func(*http.Request) {}
	reader, err := f.addWorker("s-reader", "prefill", func(w http.ResponseWriter, _ string) { read(w) }, release)
	if err != nil {
		return err
	}
	writer, err := f.addWorker("s-writer", "decode", func(w http.ResponseWriter, _ string) {
		time.Sleep(firstToken)
		stream(w)
	}, release)
	if err != nil {
		return err
	}
	f.list(true, "in_service", reader, writer)
	discovery, err := f.serveDiscovery()
	if err != nil {
		return err
	}
	replicas, err := r.newReplicas(3)
	if err != nil {
		return err
	}
	addrs, err := freeAddrs(2 * len(replicas))
	if err != nil {
		return err
	}
	var routers []*router
	start := func(i int) (err error) {
		p := replicas[i]
		p.program, err = r.runShell(p.id, "ROUTER_CONFIG="+p.args[0]+" ROUTER_NAME="+p.id+" ROUTER_LISTEN="+addrs[i]+" ROUTER_DISCOVERY="+discovery+" "+
			r.command+" "+strings.Join(p.args[1:], " "))
		return err
	}
	for i, p := range replicas {
		config, err := r.file("config-"+p.id+".json", fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"generation":0,"reset":true,"instances":[]},"settings":%s}`,
			p.id, addrs[i], discovery, strings.Replace(fmt.Sprintf(settings, 5*time.Second.Nanoseconds()), `"balancers":1`, `"balancers":3`, 1)))
		if err != nil {
			return err
		}
		api, err := r.file("modelapi-"+p.id+".toml", fmt.Sprintf("listen = %q\n[[backend]]\nname = \"m-1\"\naddr = %q\n", addrs[len(replicas)+i], writer.addr))
		if err != nil {
			return err
		}
		p.args = append([]string{config}, append(p.args, "--modelapi", api)...)
		routers = append(routers, &router{listen: addrs[i]})
		if err := start(i); err != nil {
			return err
		}
	}
	ready := func(i int) func() bool {
		return func() bool {
			status, _ := call(http.MethodGet, "http://"+addrs[i]+"/healthz", "")
			return status == http.StatusOK
		}
	}
	for i := range replicas {
		if err := wait("the platform's front", 20*time.Second, ready(i)); err != nil {
			return err
		}
	}
	if _, err := leader(20*time.Second, replicas...); err != nil {
		return err
	}
	// The model API is on at all routers before anything happens.
	for i := range replicas {
		if err := wait("the model API", 20*time.Second, func() bool {
			status, _ := call(http.MethodGet, "http://"+addrs[len(replicas)+i]+"/healthz", "")
			return status == http.StatusOK
		}); err != nil {
			return err
		}
	}
	first := replicas[0]
	// Somebody writes to the store all the time.
	writing, stopWriting := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(writing)
		for n := 1; ; n++ {
			select {
			case <-stopWriting:
				return
			case <-time.After(100 * time.Millisecond):
			}
			p := replicas[n%len(replicas)]
			status, _ := call(http.MethodPost, fmt.Sprintf("http://%s/v1/nodes/notice-%d", p.api, n), "text")
			r.note("a write to the store at %s: status %d", p.id, status)
		}
	}()
	defer func() {
		close(stopWriting)
		<-writing
	}()
	time.Sleep(time.Second)
	if r.trouble {
		r.note("SIGKILL to %s and %s: the majority of the store is lost", replicas[1].id, replicas[2].id)
		replicas[1].program.kill()
		replicas[2].program.kill()
	}
	r.note("SIGKILL to %s, which is started again", first.id)
	first.program.kill()
	if err := start(0); err != nil {
		return err
	}
	began := time.Now()
	if err := wait("the platform's front of the router that was started again", 20*time.Second, ready(0)); err != nil {
		return err
	}
	r.note("%s answers /healthz with 200 %v after its start: clients are sent there", first.id, time.Since(began).Round(time.Millisecond))
	var mu sync.Mutex
	var all []asked
	var wg sync.WaitGroup
	ended, endedAt := false, time.Time{}
	for n := 1; !ended && time.Since(began) < outage; n++ {
		select {
		case <-first.program.done:
			ended, endedAt = true, time.Now()
			r.note("%s has ended by itself, %v after its start: %v", first.id, time.Since(began).Round(time.Millisecond), first.program.cmd.ProcessState)
		case <-time.After(askEvery):
			wg.Go(func() {
				a := asked{id: fmt.Sprintf("%016x", 0x2000+n), at: time.Now()}
				var text string
				a.status, text, a.err = routers[0].ask(a.id, "chart-query", a.id, 500, 6*time.Second)
				a.whole = strings.Contains(text, "[DONE]")
				mu.Lock()
				defer mu.Unlock()
				all = append(all, a)
			})
		}
	}
	wg.Wait()
	lost := 0
	for _, a := range all {
		r.note("sent at %8.3f: %s: status %d, whole %v, error %v", a.at.Sub(r.start).Seconds(), a.id, a.status, a.whole, a.err)
		// A stream that is cut is not lost: by the settings (extra.resume) clients come for the rest.
		if reached := len(f.of(a.id)) > 0; reached && a.status == 0 {
			lost++
			r.note("LOST: %s was taken and sent to a worker, and its connection ended without an answer", a.id)
		}
	}
	f.noteArrivals()
	r.note("%d requests, %d of them taken and never answered", len(all), lost)
	if ended {
		text, _ := json.Marshal(endedAt.Sub(began).Seconds())
		r.note("the router was up for %s s and ended without a signal", text)
		return errBroken
	}
	if lost > 0 {
		return errBroken
	}
	if len(all) < 100 {
		return errors.New("too few requests were made")
	}
	return nil
}
