// Package emulator runs the model of the servers (lab/engine) behind sockets on loopback in real
// time: workers that speak the platform's protocol, and a discovery service. It records what the
// workers receive, so that tests check routers by that record and not by the routers' own reports.
package emulator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"lichenshelf/front/platform"
	"lichenshelf/lab/engine"
	"lichenshelf/logic"
)

const (
	writeInterval     = 20 * time.Millisecond // between writes of the tokens of running answers
	maxArrivals       = 1 << 20               // in the record
	maxBodyBytes      = 1 << 20
	headerID          = "X-Correlation-Id"
	headerUnprocessed = "X-Unprocessed"
	// AnswerHeader has the number of tokens of a request's answer. Routers forward it.
	AnswerHeader = "X-Lab-Answer-Tokens"
)

// Arrival is an attempt that a worker received, and the worker's reply.
type Arrival struct {
	At     time.Time
	Worker string
	Job    string
	Reply  engine.Reply
}

// Emulator is a site on loopback. It is safe for concurrent use.
type Emulator struct {
	cfg   engine.Config
	start time.Time

	mu         sync.Mutex
	site       *engine.Site
	changes    int
	workers    map[string]*worker
	jobs       map[string]*running // by "worker/job"
	record     []Arrival
	wake       chan struct{}
	lines      []string      // discovery's lists; that of generation 1 is the first
	linesAdded chan struct{} // closed, and replaced, when lines grows

	discovery *http.Server
	listener  net.Listener
	done      chan struct{}
	ended     sync.WaitGroup
}

type worker struct {
	name   string
	addr   string
	server *http.Server // nil while it is down
}

// running is a job at a worker whose handler waits for events.
type running struct {
	events []engine.Event
	ready  chan struct{} // capacity 1; signals that there are events
}

// New starts a site. Listen opens a listener for each worker and for discovery, on a free address
// if addr is empty; it is called again with a worker's address when that worker restarts. Close
// stops the site.
func New(cfg engine.Config, seed uint64, listen func(addr string) (net.Listener, error)) (*Emulator, error) {
	e := &Emulator{cfg: cfg, start: time.Now(), site: engine.New(cfg, seed), workers: map[string]*worker{}, jobs: map[string]*running{},
		wake: make(chan struct{}, 1), linesAdded: make(chan struct{}), done: make(chan struct{})}
	for _, s := range cfg.Servers {
		l, err := listen("")
		if err != nil {
			e.Close()
			return nil, fmt.Errorf("worker %s: %w", s.Name, err)
		}
		w := &worker{name: s.Name, addr: l.Addr().String()}
		e.workers[s.Name] = w
		e.serve(w, l)
	}
	var err error
	if e.listener, err = listen(""); err != nil {
		e.Close()
		return nil, fmt.Errorf("discovery: %w", err)
	}
	e.discovery = &http.Server{Handler: http.HandlerFunc(e.watch)}
	go func() { _ = e.discovery.Serve(e.listener) }()
	e.lines = append(e.lines, e.list(true))
	e.ended.Go(func() { e.run(listen) })
	return e, nil
}

// Close stops the workers and discovery.
func (e *Emulator) Close() {
	select {
	case <-e.done:
		return
	default:
		close(e.done)
	}
	e.ended.Wait()
	if e.discovery != nil {
		_ = e.discovery.Close()
	}
	for _, w := range e.workers {
		if w.server != nil {
			_ = w.server.Close()
		}
	}
}

// Discovery returns the address of discovery.
func (e *Emulator) Discovery() string { return e.listener.Addr().String() }

func (e *Emulator) now() time.Duration { return time.Since(e.start) }

// Record returns the attempts that workers received, in order.
func (e *Emulator) Record() []Arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.record)
}

// Held returns the number of read states that wait for a writer.
func (e *Emulator) Held() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.site.Held()
}

// HeldJobs returns the IDs of the requests whose read states wait for a writer.
func (e *Emulator) HeldJobs() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.site.HeldJobs()
}

// OverloadCrashes returns the number of crashes of cold workers under overload.
func (e *Emulator) OverloadCrashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.site.OverloadCrashes
}

// Up returns the number of workers that run.
func (e *Emulator) Up() (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range e.site.List() {
		if l.Up {
			n++
		}
	}
	return n
}

// Set injects a fault into a worker; the zero Fault clears it.
func (e *Emulator) Set(name string, f engine.Fault) {
	e.mu.Lock()
	e.site.Set(name, f)
	e.mu.Unlock()
	e.wakeLoop()
}

// Kill stops a worker. It starts again, cold, after a time.
func (e *Emulator) Kill(name string, down time.Duration) {
	e.mu.Lock()
	e.advance()
	e.dispatch(e.site.Kill(name, e.now(), down))
	e.mu.Unlock()
	e.wakeLoop()
}

// wakeLoop makes the loop advance the model now.
func (e *Emulator) wakeLoop() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// run advances the model when its next event is due.
func (e *Emulator) run(listen func(string) (net.Listener, error)) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-e.wake:
		case <-e.done:
			return
		}
		e.mu.Lock()
		e.advance()
		e.syncListeners(listen)
		next, ok := e.site.Next()
		wait := next - e.now()
		if !ok {
			wait = time.Hour
		}
		if len(e.jobs) > 0 {
			wait = min(wait, writeInterval)
		}
		e.mu.Unlock()
		timer.Reset(max(wait, time.Millisecond))
	}
}

func (e *Emulator) advance() { e.dispatch(e.site.Advance(e.now())) }

func (e *Emulator) dispatch(events []engine.Event) {
	for _, v := range events {
		if r := e.jobs[v.Server+"/"+v.Job]; r != nil {
			r.events = append(r.events, v)
			select {
			case r.ready <- struct{}{}:
			default:
			}
		}
	}
}

// syncListeners opens and closes the workers' listeners as the model's servers start and stop, and
// publishes a new list.
func (e *Emulator) syncListeners(listen func(string) (net.Listener, error)) {
	c := e.site.Changes()
	if c == e.changes {
		return
	}
	for _, l := range e.site.List() {
		w := e.workers[l.Name]
		switch {
		case !l.Up && w.server != nil:
			server := w.server
			w.server = nil
			go server.Close()
		case l.Up && w.server == nil:
			again, err := listen(w.addr)
			if err != nil { // the address is not free yet: retried
				time.AfterFunc(writeInterval, e.wakeLoop)
				return
			}
			e.serve(w, again)
		}
	}
	e.changes = c
	e.lines = append(e.lines, e.list(false))
	close(e.linesAdded)
	e.linesAdded = make(chan struct{})
}

func (e *Emulator) serve(w *worker, l net.Listener) {
	w.server = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { e.handle(w.name, rw, r) })}
	go func(s *http.Server) { _ = s.Serve(l) }(w.server)
}

// list returns discovery's present list as a line of JSON.
func (e *Emulator) list(whole bool) string {
	out := platform.List{Generation: int64(len(e.lines) + 1), Reset: whole, Instances: []platform.Instance{}}
	for _, l := range e.site.List() {
		in := platform.Instance{ID: l.Name, Addr: e.workers[l.Name].addr, Zone: zoneName(l.Zone), Kind: kindName(l.Kind), Cell: l.Cell,
			Lifecycle: "in_service", Weight: 1}
		if !l.Up {
			in.Lifecycle = "terminated"
		}
		if l.Since > -e.cfg.Cold.WarmWithin {
			in.StartedAtMs = e.start.Add(l.Since).UnixMilli()
		}
		out.Instances = append(out.Instances, in)
	}
	text, err := json.Marshal(out)
	if err != nil {
		panic(err) // the list has only numbers and strings, which always encode
	}
	return string(text)
}

func zoneName(i int) string { return "z" + strconv.Itoa(i) }
func kindName(i int) string { return "k" + strconv.Itoa(i) }

// watch serves discovery. Without the parameter "watch" it returns the present list. With it, it
// streams the lists after the generation in "from" and each new one, and an empty line after each
// second without a new list.
func (e *Emulator) watch(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	whole := e.list(true)
	e.mu.Unlock()
	if !r.URL.Query().Has("watch") {
		_, _ = io.WriteString(w, whole)
		return
	}
	sent, _ := strconv.Atoi(r.URL.Query().Get("from"))
	for {
		e.mu.Lock()
		lines, more := e.lines, e.linesAdded
		e.mu.Unlock()
		for ; sent < len(lines); sent++ {
			if _, err := io.WriteString(w, lines[sent]+"\n"); err != nil {
				return
			}
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-more:
		case <-time.After(time.Second):
			_, _ = io.WriteString(w, "\n")
		case <-r.Context().Done():
			return
		case <-e.done:
			return
		}
	}
}

// handle serves one call to a worker.
func (e *Emulator) handle(name string, w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodDelete {
		e.mu.Lock()
		e.advance()
		e.site.Release(strings.TrimPrefix(r.URL.Path, "/v1/holds/"))
		e.mu.Unlock()
		w.WriteHeader(http.StatusNoContent)
		return
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxBodyBytes)); err != nil {
		return
	}
	job, err := jobFromHeaders(r.Header)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	pending := &running{ready: make(chan struct{}, 1)}
	at := name + "/" + job.ID
	e.mu.Lock()
	e.advance()
	reply := e.site.Arrive(name, job, e.now())
	if len(e.record) < maxArrivals {
		e.record = append(e.record, Arrival{time.Now(), name, job.ID, reply})
	}
	if reply == engine.Accepted {
		e.jobs[at] = pending
	}
	e.mu.Unlock()
	e.wakeLoop()
	switch reply {
	case engine.Full, engine.NoState:
		w.Header().Set(headerUnprocessed, "1")
		status := http.StatusServiceUnavailable
		if reply == engine.NoState {
			status = http.StatusGone
		}
		w.WriteHeader(status)
	case engine.Failed:
		w.WriteHeader(http.StatusInternalServerError)
	case engine.Unreachable:
		closeConnection(w)
	default:
		e.answer(name, job.ID, pending, w, r)
		e.mu.Lock()
		if e.jobs[at] == pending {
			delete(e.jobs, at)
		}
		e.mu.Unlock()
	}
}

// answer writes the response of an accepted job as its events arrive.
func (e *Emulator) answer(name, id string, pending *running, w http.ResponseWriter, r *http.Request) {
	out := http.NewResponseController(w)
	for {
		select {
		case <-pending.ready:
		case <-r.Context().Done():
			e.mu.Lock()
			e.advance()
			e.site.Cancel(name, id)
			e.mu.Unlock()
			e.wakeLoop()
			return
		case <-e.done:
			return
		}
		e.mu.Lock()
		events := pending.events
		pending.events = nil
		e.mu.Unlock()
		for _, v := range events {
			switch v.Kind {
			case engine.Read:
				w.Header().Set("Content-Type", "application/json")
				w.WriteHeader(http.StatusAccepted)
				_, _ = fmt.Fprintf(w, `{"cached_tokens":%d}`, int(v.Kept))
				return
			case engine.FirstToken, engine.Token:
				w.Header().Set("Content-Type", "text/event-stream")
				_, _ = w.Write(tokens(v.Tokens))
				_ = out.Flush()
			case engine.Done:
				_, _ = w.Write(tokens(v.Tokens))
				_, _ = fmt.Fprintf(w, "data: {\"usage\":{\"prompt_tokens_details\":{\"cached_tokens\":%d}}}\n\ndata: [DONE]\n\n", int(v.Kept))
				return
			case engine.Lost:
				closeConnection(w)
				return
			}
		}
	}
}

// event is the server-sent event of one token.
const event = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n"

func tokens(n int) []byte { return bytes.Repeat([]byte(event), max(n, 0)) }

// closeConnection closes a connection without writing anything further.
func closeConnection(w http.ResponseWriter) {
	if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_ = c.Close()
	}
}

// jobFromHeaders returns the job that a call's headers describe.
func jobFromHeaders(h http.Header) (engine.Job, error) {
	j := engine.Job{ID: h.Get(headerID), Session: parseHex(h.Get("X-Session-Key"))}
	if j.ID == "" {
		return j, fmt.Errorf("%s is missing", headerID)
	}
	maxTokens := 0.0
	for _, pair := range strings.Split(h.Get("X-Facts"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		v, err := strconv.ParseFloat(value, 64)
		switch name {
		case "prefix":
			j.Prefix = parseHex(value)
			continue
		case "prompt_len":
			j.PromptTokens = v
		case "prefix_len":
			j.PrefixTokens = v
		case "max_out":
			maxTokens = v
		default:
			continue
		}
		if err != nil {
			return j, fmt.Errorf("X-Facts: %s is %q, not a number", name, value)
		}
	}
	j.AnswerTokens = int(max(maxTokens, 1))
	if n, err := strconv.Atoi(h.Get(AnswerHeader)); err == nil {
		j.AnswerTokens = max(n, 1)
	}
	return j, nil
}

func parseHex(text string) uint64 {
	v, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0
	}
	return v
}

// Repeats returns the arrival times of repeated attempts. A job's attempts at readers and those at
// other workers count separately, so that the write that follows a read is no repeat.
func Repeats(record []Arrival, cfg engine.Config) []time.Time {
	readers := map[string]bool{}
	for _, s := range cfg.Servers {
		readers[s.Name] = cfg.Kinds[s.Kind].Role == logic.RoleRead
	}
	type seen struct{ reads, writes int }
	jobs := map[string]*seen{}
	var out []time.Time
	for _, a := range record {
		s := jobs[a.Job]
		if s == nil {
			s = &seen{}
			jobs[a.Job] = s
		}
		n := &s.writes
		if readers[a.Worker] {
			n = &s.reads
		}
		if *n++; *n > 1 {
			out = append(out, a.At)
		}
	}
	return out
}
