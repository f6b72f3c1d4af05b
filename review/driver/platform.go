package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// arrival is one call that a worker got whole.
type arrival struct {
	worker, method, id string
	at                 time.Time
}

// fleet holds the stand-ins for the platform's side of one router: workers and the discovery agent.
type fleet struct {
	rig *rig

	mu        sync.Mutex
	arrivals  []arrival
	workers   []*worker
	lines     []string // of the discovery agent, by generation from 1
	lineAdded chan struct{}
}

// worker is one stand-in worker. Its handler answers prompts and streams.
type worker struct {
	id, kind, addr string
	fleet          *fleet
	post           func(w http.ResponseWriter, id string)
	release        func(r *http.Request) // returns when the call may be answered
}

func newFleet(r *rig) *fleet { return &fleet{rig: r, lineAdded: make(chan struct{})} }

// addWorker starts a worker.
func (f *fleet) addWorker(id, kind string, post func(http.ResponseWriter, string), release func(*http.Request)) (*worker, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &worker{id: id, kind: kind, addr: l.Addr().String(), fleet: f, post: post, release: release}
	f.workers = append(f.workers, k)
	go func() { _ = http.Serve(l, k) }()
	return k, nil
}

// ServeHTTP implements http.Handler.
func (k *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Correlation-Id")
	if r.Method == http.MethodDelete {
		id = strings.TrimPrefix(r.URL.Path, "/v1/holds/")
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	k.fleet.mu.Lock()
	k.fleet.arrivals = append(k.fleet.arrivals, arrival{k.id, r.Method, id, time.Now()})
	k.fleet.mu.Unlock()
	if r.Method == http.MethodDelete {
		k.release(r)
		w.WriteHeader(http.StatusNoContent)
		return
	}
	k.post(w, id)
}

// of returns the calls for a request, in order of arrival.
func (f *fleet) of(id string) (out []arrival) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range f.arrivals {
		if a.id == id {
			out = append(out, a)
		}
	}
	return out
}

// noteArrivals records all calls that workers got.
func (f *fleet) noteArrivals() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range f.arrivals {
		f.rig.note("at %8.3f %s got %s %s", a.at.Sub(f.rig.start).Seconds(), a.worker, a.method, a.id)
	}
}

// read answers as a reader that has read the prompt.
func read(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusAccepted)
	_, _ = io.WriteString(w, `{"cached_tokens":0}`)
}

// stream answers with a short stream.
func stream(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/event-stream")
	for _, event := range []string{`{"choices":[{"index":0,"delta":{"content":"oqvh"},"finish_reason":null}]}`,
		`{"choices":[{"index":0,"delta":{"content":"a"},"finish_reason":"stop"}]}`,
		`{"choices":[],"usage":{"prompt_tokens":500,"completion_tokens":2,"prompt_tokens_details":{"cached_tokens":0}}}`, `[DONE]`} {
		_, _ = io.WriteString(w, "data: "+event+"\n\n")
		w.(http.Flusher).Flush()
	}
}

// reset ends the call's connection with a reset.
func reset(w http.ResponseWriter) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// list has the discovery agent tell the workers' lifecycle: all of them (reset) or changes.
func (f *fleet) list(whole bool, lifecycle string, workers ...*worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var instances []map[string]any
	for _, k := range workers {
		instances = append(instances, map[string]any{"instanceId": k.id, "hostPort": k.addr, "zone": "busan-1", "machineType": k.kind,
			"cell": 1, "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0})
	}
	text, err := json.Marshal(map[string]any{"generation": len(f.lines) + 1, "reset": whole, "instances": instances})
	if err != nil {
		panic(err)
	}
	f.lines = append(f.lines, string(text))
	close(f.lineAdded)
	f.lineAdded = make(chan struct{})
}

// serveDiscovery starts the agent, and returns its address.
func (f *fleet) serveDiscovery() (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, http.HandlerFunc(f.watch)) }()
	return l.Addr().String(), nil
}

func (f *fleet) watch(w http.ResponseWriter, r *http.Request) {
	sent := 0
	_, _ = fmt.Sscan(r.URL.Query().Get("from"), &sent)
	w.(http.Flusher).Flush()
	for {
		f.mu.Lock()
		lines, added := f.lines, f.lineAdded
		f.mu.Unlock()
		for ; sent < len(lines); sent++ {
			_, _ = io.WriteString(w, lines[sent]+"\n")
		}
		w.(http.Flusher).Flush()
		if !r.URL.Query().Has("watch") {
			return
		}
		select {
		case <-added:
		case <-time.After(2 * time.Second):
			_, _ = io.WriteString(w, "\n")
		case <-r.Context().Done():
			return
		}
	}
}

// settings are those of the deployment busan-chart-ai, with one class that may be repeated by its
// key and with one router.
const settings = `{"balancers":1,"me":0,"my-zone":0,"zones":["busan-1","busan-2","ulsan-1"],"skus":["prefill","decode","mixed"],
 "membership-mode":"automatic","kind-of-service":"twostage","layers":["chart-llm"],"stage":0,"weights":"none","worth-by":"work","round-ns":2000000,
 "bounds":{"cancel":true,"conn-idle-ns":30000000000,"connect-timeout-ns":250000000,"cpu-us-per-request":0.0,"cpu-us-per-s":537282,
  "max-retry-after-ns":2000000000,"most-tries":5,"open-cap":26864,"peer-messages":false,"probes":false,"retry-after":true,"second-copies":true,"streams-per-conn":32},
 "callers":{"marks-retry":true},
 "categories":[
  {"name":"chart-query","effect":"repeatable","group":"all","hard-limit-ns":6000000000,"late-share":0.2,"points":1.0,"repeat-window-ns":5000000000,"stream":true,"target-ns":1500000000},
  {"name":"passage-check","effect":"by_key","group":"all","hard-limit-ns":8000000000,"late-share":0.1,"points":3.0,"repeat-window-ns":%d,"stream":true,"target-ns":2000000000}],
 "extra":{"ahead":false,"aim-us-per-1000-prompt-tokens":[40000.0,40000.0],"kind-memory-tokens":[155805,111798,285698],"read-in-place":false,
  "release-ns":300000000,"resume":true,"role-by-kind":["read","write","both"],"token-aim-ns":[60000000,70000000],"transfer-price":0.03},
 "load-info":{"columns":[],"how":"none"},"over-share-worth":0.1,
 "realms":[{"name":"dongbang-lines","quota-per-s":10.0,"share":0.42},{"name":"seoho-ferries","quota-per-s":9.0,"share":0.37},{"name":"gampo-fisheries","quota-per-s":5.0,"share":0.21}],
 "safety":{"answer-slack-ns":8000000,"cold-share":0.27,"fall-multiple":2.5,"fall-ns":1500000000,"must-ask-in-ns":10000000000,
  "stop-sending-within-ns":250000000,"warm-within-ns":14000000000}}`

// router is one router of the platform's front.
type router struct {
	listen  string
	program *program
}

// startRouter starts a router and waits until it is ready.
func (f *fleet) startRouter(settings string) (*router, error) {
	discovery, err := f.serveDiscovery()
	if err != nil {
		return nil, err
	}
	addrs, err := freeAddrs(1)
	if err != nil {
		return nil, err
	}
	file, err := f.rig.file("config.json", fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"generation":0,"reset":true,"instances":[]},"settings":%s}`, addrs[0], discovery, settings))
	if err != nil {
		return nil, err
	}
	m := &router{listen: addrs[0]}
	if m.program, err = f.rig.runShell("n1", "ROUTER_CONFIG="+file+" ROUTER_NAME=n1 ROUTER_LISTEN="+m.listen+" ROUTER_DISCOVERY="+discovery+" "+f.rig.command); err != nil {
		return nil, err
	}
	return m, wait("the router", 15*time.Second, func() bool {
		status, _ := call(http.MethodGet, "http://"+m.listen+"/healthz", "")
		return status == http.StatusOK
	})
}

// clients may hold many connections.
var clients = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// ask sends one request of a conversation as the platform's clients do, with a prompt of so many
// tokens, and returns the status and the body.
func (m *router) ask(id, class, session string, prompt int, patience time.Duration) (status int, text string, err error) {
	body := `{"model":"chat","stream":true,"max_tokens":200,"messages":[{"role":"user","content":"` + strings.Repeat("abcd", prompt) + `"}]}`
	req, err := http.NewRequest(http.MethodPost, "http://"+m.listen+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	for name, value := range map[string]string{"X-Correlation-Id": id, "X-Service-Class": class, "X-Account": "dongbang-lines", "X-Session-Key": session,
		"X-Time-Left-Ms": fmt.Sprint(patience.Milliseconds()), "X-Facts": fmt.Sprintf("prompt_len=%d,prefix_len=0,max_out=200", prompt), "X-Weight-Hint": "200000"} {
		req.Header.Set(name, value)
	}
	resp, err := clients.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(answer), err
}
