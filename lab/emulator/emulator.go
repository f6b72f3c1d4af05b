// Package emulator puts the model of the servers (lab/engine) behind sockets on loopback:
// workers that speak the platform's protocol and the discovery beside them, in real time.
// What the workers saw is kept: it is the truth that routers are judged by.
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
	poll      = 20 * time.Millisecond // running answers are written out so often
	mostKept  = 1 << 20               // arrivals in the record
	mostBody  = 1 << 20
	headerID  = "X-Correlation-Id"
	headerNot = "X-Unprocessed"
	// AnswerHeader tells a worker how many tokens its answer will have. Routers pass it on.
	AnswerHeader = "X-Lab-Answer-Tokens"
)

// Arrival is an attempt as its worker saw it.
type Arrival struct {
	At     time.Time
	Worker string
	Job    string
	Said   engine.Answer
}

// Emulator is a site on loopback. It is safe for use from any goroutine.
type Emulator struct {
	cfg   engine.Config
	start time.Time

	mu      sync.Mutex
	site    *engine.Site
	changes int
	workers map[string]*worker
	jobs    map[string]*running // by worker and job
	record  []Arrival
	wake    chan struct{}
	lines   []string // of discovery, by generation from 1
	more    chan struct{}

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

// running is a job at a worker, and the handler that waits for what becomes of it.
type running struct {
	events []engine.Event
	more   chan struct{} // holds one token while there are events
}

// New starts a site; listen opens an address of its own for each worker and discovery, and
// is asked again for an address that was closed. Close ends it.
func New(cfg engine.Config, seed uint64, listen func(addr string) (net.Listener, error)) (*Emulator, error) {
	e := &Emulator{cfg: cfg, start: time.Now(), site: engine.New(cfg, seed), workers: map[string]*worker{}, jobs: map[string]*running{},
		wake: make(chan struct{}, 1), more: make(chan struct{}), done: make(chan struct{})}
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

// Close ends all of it.
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

// Discovery is where discovery listens.
func (e *Emulator) Discovery() string { return e.listener.Addr().String() }

func (e *Emulator) now() time.Duration { return time.Since(e.start) }

// Record is what the workers saw, in order.
func (e *Emulator) Record() []Arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.record)
}

// Held is how many read states wait for a writer.
func (e *Emulator) Held() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.site.Held()
}

// HeldJobs names the requests whose read states wait for a writer.
func (e *Emulator) HeldJobs() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.site.HeldJobs()
}

// Fell is how many times a worker was pushed over while it was cold.
func (e *Emulator) Fell() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.site.Fell
}

// Up is how many workers run.
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

// Set gives a worker a fault, or takes it away.
func (e *Emulator) Set(name string, f engine.Fault) {
	e.mu.Lock()
	e.site.Set(name, f)
	e.mu.Unlock()
	e.nudge()
}

// Kill ends a worker; it starts again, cold, after a time.
func (e *Emulator) Kill(name string, down time.Duration) {
	e.mu.Lock()
	e.advance()
	e.deliver(e.site.Kill(name, e.now(), down))
	e.mu.Unlock()
	e.nudge()
}

// nudge makes the loop look again.
func (e *Emulator) nudge() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// run advances the model as its events fall due.
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
		e.follow(listen)
		next, ok := e.site.Next()
		wait := next - e.now()
		if !ok {
			wait = time.Hour
		}
		if len(e.jobs) > 0 {
			wait = min(wait, poll)
		}
		e.mu.Unlock()
		timer.Reset(max(wait, time.Millisecond))
	}
}

func (e *Emulator) advance() { e.deliver(e.site.Advance(e.now())) }

func (e *Emulator) deliver(events []engine.Event) {
	for _, v := range events {
		if r := e.jobs[v.Server+"/"+v.Job]; r != nil {
			r.events = append(r.events, v)
			select {
			case r.more <- struct{}{}:
			default:
			}
		}
	}
}

// follow opens and closes workers as the model's go up and down, and tells discovery.
func (e *Emulator) follow(listen func(string) (net.Listener, error)) {
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
			if err != nil { // the address is not free yet: looked at again
				time.AfterFunc(poll, e.nudge)
				return
			}
			e.serve(w, again)
		}
	}
	e.changes = c
	e.lines = append(e.lines, e.list(false))
	close(e.more)
	e.more = make(chan struct{})
}

func (e *Emulator) serve(w *worker, l net.Listener) {
	w.server = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { e.handle(w.name, rw, r) })}
	go func(s *http.Server) { _ = s.Serve(l) }(w.server)
}

// list is a line of discovery's.
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
		panic(err) // numbers and names alone
	}
	return string(text)
}

func zoneName(i int) string { return "z" + strconv.Itoa(i) }
func kindName(i int) string { return "k" + strconv.Itoa(i) }

// watch is discovery's: all lines from a generation on, and those that come.
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
		lines, more := e.lines, e.more
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

// handle is a worker's answer to one call.
func (e *Emulator) handle(name string, w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodDelete {
		e.mu.Lock()
		e.advance()
		e.site.Release(strings.TrimPrefix(r.URL.Path, "/v1/holds/"))
		e.mu.Unlock()
		w.WriteHeader(http.StatusNoContent)
		return
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, mostBody)); err != nil {
		return
	}
	job, err := jobOf(r.Header)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	mine := &running{more: make(chan struct{}, 1)}
	at := name + "/" + job.ID
	e.mu.Lock()
	e.advance()
	said := e.site.Arrive(name, job, e.now())
	if len(e.record) < mostKept {
		e.record = append(e.record, Arrival{time.Now(), name, job.ID, said})
	}
	if said == engine.Taken {
		e.jobs[at] = mine
	}
	e.mu.Unlock()
	e.nudge()
	switch said {
	case engine.Full, engine.NoState:
		w.Header().Set(headerNot, "1")
		status := http.StatusServiceUnavailable
		if said == engine.NoState {
			status = http.StatusGone
		}
		w.WriteHeader(status)
	case engine.Failed:
		w.WriteHeader(http.StatusInternalServerError)
	case engine.Unheard:
		cut(w)
	default:
		e.answer(name, job.ID, mine, w, r)
		e.mu.Lock()
		if e.jobs[at] == mine {
			delete(e.jobs, at)
		}
		e.mu.Unlock()
	}
}

// answer writes what becomes of a job as it comes.
func (e *Emulator) answer(name, id string, mine *running, w http.ResponseWriter, r *http.Request) {
	out := http.NewResponseController(w)
	for {
		select {
		case <-mine.more:
		case <-r.Context().Done():
			e.mu.Lock()
			e.advance()
			e.site.Cancel(name, id)
			e.mu.Unlock()
			e.nudge()
			return
		case <-e.done:
			return
		}
		e.mu.Lock()
		events := mine.events
		mine.events = nil
		e.mu.Unlock()
		for _, v := range events {
			switch v.Kind {
			case engine.Read:
				w.Header().Set("Content-Type", "application/json")
				w.WriteHeader(http.StatusAccepted)
				_, _ = fmt.Fprintf(w, `{"cached_tokens":%d}`, int(v.Kept))
				return
			case engine.First, engine.Token:
				w.Header().Set("Content-Type", "text/event-stream")
				_, _ = w.Write(tokens(v.Tokens))
				_ = out.Flush()
			case engine.Done:
				_, _ = w.Write(tokens(v.Tokens))
				_, _ = fmt.Fprintf(w, "data: {\"usage\":{\"prompt_tokens_details\":{\"cached_tokens\":%d}}}\n\ndata: [DONE]\n\n", int(v.Kept))
				return
			case engine.Lost:
				cut(w)
				return
			}
		}
	}
}

const event = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n"

func tokens(n int) []byte { return bytes.Repeat([]byte(event), max(n, 0)) }

// cut ends a connection with no further byte.
func cut(w http.ResponseWriter) {
	if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_ = c.Close()
	}
}

// jobOf reads a call's headers.
func jobOf(h http.Header) (engine.Job, error) {
	j := engine.Job{ID: h.Get(headerID), Session: number(h.Get("X-Session-Key"))}
	if j.ID == "" {
		return j, fmt.Errorf("%s is missing", headerID)
	}
	most := 0.0
	for _, pair := range strings.Split(h.Get("X-Facts"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		v, err := strconv.ParseFloat(value, 64)
		switch name {
		case "prefix":
			j.Prefix = number(value)
			continue
		case "prompt_len":
			j.PromptTokens = v
		case "prefix_len":
			j.PrefixTokens = v
		case "max_out":
			most = v
		default:
			continue
		}
		if err != nil {
			return j, fmt.Errorf("X-Facts: %s is %q, not a number", name, value)
		}
	}
	j.AnswerTokens = int(max(most, 1))
	if n, err := strconv.Atoi(h.Get(AnswerHeader)); err == nil {
		j.AnswerTokens = max(n, 1)
	}
	return j, nil
}

func number(text string) uint64 {
	v, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0
	}
	return v
}

// Again counts the attempts that followed one for the same job that was not a read that
// went well: what routers sent again, by when they came.
func Again(record []Arrival, cfg engine.Config) []time.Time {
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
