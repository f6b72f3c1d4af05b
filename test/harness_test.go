// Package test runs the built program as a process and talks to it as clients, workers and
// discovery do.
package test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"lichenshelf/internal/standin/clock"
	"lichenshelf/internal/standin/syscalls"

	// The tests build the program with a command, which go test does not track: without this import
	// it would reuse cached results after a change to the program.
	_ "lichenshelf/internal/cli"
)

const (
	// eventualTimeout is the time limit for conditions that must hold eventually.
	eventualTimeout = 20 * time.Second
	// goroutineDumpTimeout is how long a program may take to write the trace of its goroutines.
	goroutineDumpTimeout = 5 * time.Second
	// pollInterval is the interval between checks of a condition.
	pollInterval = 2 * time.Millisecond
	// loadTolerance is the delay allowed for a machine that is busy with other work.
	loadTolerance = 2 * time.Second
)

var binary string

func TestMain(m *testing.M) {
	syscalls.Launch()
	dir, err := os.MkdirTemp("", "lichenshelf")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "lichenshelf")
	build := exec.Command("go", "build", "-race", "-o", binary, "lichenshelf/cmd/lichenshelf")
	if out, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("%v: %s", err, out))
	}
	// A program built with the race detector sleeps for one second at exit by default, to let
	// reports finish.
	if err := os.Setenv("GORACE", "atexit_sleep_ms=50"); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// eventually fails the test unless f returns true within eventualTimeout.
func eventually(t *testing.T, f func() bool, what string) {
	t.Helper()
	require.Eventually(t, f, eventualTimeout, pollInterval, what)
}

// program is a running lichenshelf process.
type program struct {
	t    *testing.T
	addr string
	file string // the platform's configuration file
	cmd  *exec.Cmd
	mu   sync.Mutex
	log  bytes.Buffer
	exit chan error
	// For a program whose log is read by readLog:
	logPause   sync.Mutex    // held while reading of the log is suspended
	logDrained chan struct{} // closed when the log has been read to its end; nil without readLog

	logOffset int               // bytes of the log already evaluated for served
	served    map[string]string // the current workers, from the changes in the log
}

func (p *program) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(b)
}

func (p *program) logged(text string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Contains(p.log.String(), text)
}

func start(t *testing.T, addr string, env []string, args ...string) *program {
	return startCommand(t, exec.Command(binary, args...), addr, env)
}

// startWithFaults is like start, and also returns a handle that makes system calls of the given
// numbers fail.
func startWithFaults(t *testing.T, calls []int, addr string, env []string, args ...string) (*program, *syscalls.Faults) {
	cmd, faults, err := syscalls.Command(calls, binary, args...)
	require.NoError(t, err)
	return startCommand(t, cmd, addr, env), faults
}

func startCommand(t *testing.T, cmd *exec.Cmd, addr string, env []string) *program {
	p := &program{t: t, addr: addr, cmd: cmd, exit: make(chan error, 1), served: map[string]string{}}
	p.cmd.Stdout = p
	if p.cmd.Stderr == nil {
		p.cmd.Stderr = p
	}
	p.cmd.Dir = t.TempDir()
	if p.cmd.Env == nil {
		p.cmd.Env = os.Environ()
	}
	p.cmd.Env = append(append(p.cmd.Env, "LICHENSHELF_LOG_LEVEL=debug"), env...)
	require.NoError(t, p.cmd.Start())
	go func() { p.exit <- p.cmd.Wait() }()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		if p.logged("DATA RACE") {
			t.Error("the program has a data race")
		}
		if t.Failed() {
			p.mu.Lock()
			defer p.mu.Unlock()
			t.Logf("the program's log:\n%s", p.log.String())
		}
	})
	return p
}

// smallPipeBytes is the smallest capacity that Linux allows for a pipe.
const smallPipeBytes = 4 << 10

// newSmallPipe returns both ends of a pipe with a capacity of smallPipeBytes.
func newSmallPipe(t *testing.T) (r, w *os.File) {
	r, w, err := os.Pipe()
	require.NoError(t, err)
	_, err = unix.FcntlInt(w.Fd(), unix.F_SETPIPE_SZ, smallPipeBytes)
	require.NoError(t, err)
	return r, w
}

// readLog reads the program's log from a pipe and suspends reading while logPause is held.
func (p *program) readLog(r *os.File) {
	p.logDrained = make(chan struct{})
	go func() {
		defer close(p.logDrained)
		defer r.Close()
		for b := make([]byte, smallPipeBytes); ; {
			n, err := r.Read(b)
			p.logPause.Lock()
			_, _ = p.Write(b[:n])
			p.logPause.Unlock()
			if err != nil {
				return
			}
		}
	}()
}

func (p *program) status(method, path string) int {
	req, err := http.NewRequest(method, "http://"+p.addr+path, nil)
	require.NoError(p.t, err)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

func (p *program) waitReady() *program {
	p.t.Helper()
	eventually(p.t, func() bool { return p.status(http.MethodGet, "/healthz") == 200 }, "the program is ready")
	return p
}

func (p *program) signal(s syscall.Signal) { require.NoError(p.t, p.cmd.Process.Signal(s)) }

func (p *program) waitExit() {
	p.t.Helper()
	select {
	case err := <-p.exit:
		require.NoError(p.t, err, "exit code")
	case <-time.After(eventualTimeout):
		p.dumpGoroutines()
		p.t.Fatal("the program did not end")
	}
}

// dumpGoroutines ends the program with SIGQUIT, which writes a trace of all goroutines to its log,
// so that a failed test shows what the program was waiting for.
func (p *program) dumpGoroutines() {
	_ = p.cmd.Process.Signal(syscall.SIGQUIT)
	select {
	case <-p.exit:
	case <-time.After(goroutineDumpTimeout):
	}
}

// call is a request that a worker has received completely.
type call struct {
	method, uri, id string
	header          http.Header
	body            []byte
	at              time.Time
}

// worker is an HTTP server that stands in for a worker.
type worker struct {
	*httptest.Server
	name, kind string
	serve      func(w http.ResponseWriter, r *http.Request) // replaces the default answer, unless nil
	onRelease  func(id string)                              // called for each release, unless nil
	mu         sync.Mutex
	calls      []call
	conns      int // connections accepted so far
	open       int // connections that are open now
}

// The default stream of a worker: its first event and the rest.
const (
	streamStart = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n"
	streamEnd   = "data: {\"usage\":{\"prompt_tokens_details\":{\"cached_tokens\":64}}}\n\ndata: [DONE]\n\n"
)

func newWorker(t *testing.T, name, kind string, serve func(http.ResponseWriter, *http.Request)) *worker {
	k := &worker{name: name, kind: kind, serve: serve}
	k.Server = httptest.NewUnstartedServer(http.HandlerFunc(k.handle))
	k.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		k.mu.Lock()
		defer k.mu.Unlock()
		switch s {
		case http.StateNew:
			k.conns++
			k.open++
		case http.StateClosed, http.StateHijacked:
			k.open--
		}
	}
	k.Start()
	t.Cleanup(func() { k.CloseClientConnections(); k.Close() })
	return k
}

func (k *worker) handle(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	k.mu.Lock()
	k.calls = append(k.calls, call{r.Method, r.RequestURI, r.Header.Get("X-Correlation-Id"), r.Header.Clone(), body, time.Now()})
	k.mu.Unlock()
	switch {
	case r.Method == http.MethodDelete:
		if k.onRelease != nil {
			k.onRelease(strings.TrimPrefix(r.URL.Path, "/v1/holds/"))
		}
		w.WriteHeader(http.StatusNoContent)
	case k.serve != nil:
		k.serve(w, r)
	case k.kind == "reader":
		serveRead(w, r)
	default:
		serveStream(w, r)
	}
}

// serveRead is the default answer of a reader.
func serveRead(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusAccepted)
	_, _ = io.WriteString(w, `{"cached_tokens":64}`)
}

// serveStream is the default answer of writers and mixed workers.
func serveStream(w http.ResponseWriter, _ *http.Request) {
	beginStream(w)
	_, _ = io.WriteString(w, streamEnd)
}

// beginStream sends the first event of a stream.
func beginStream(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, streamStart)
	w.(http.Flusher).Flush()
}

// closeConnection closes the connection without sending another byte.
func closeConnection(w http.ResponseWriter, _ *http.Request) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = c.Close()
	}
}

// neverAnswer sends no answer and returns when the router closes the connection.
func neverAnswer(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// received returns the calls received with the method.
func (k *worker) received(method string) []call {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []call
	for _, c := range k.calls {
		if c.method == method {
			out = append(out, c)
		}
	}
	return out
}

// countPosts counts the POST calls that the workers have received.
func countPosts(workers ...*worker) (n int) {
	for _, k := range workers {
		n += len(k.received(http.MethodPost))
	}
	return n
}

// released reports whether any of the workers was asked to release the state of the request.
func released(id string, workers ...*worker) bool {
	for _, k := range workers {
		for _, c := range k.received(http.MethodDelete) {
			if c.uri == "/v1/holds/"+id {
				return true
			}
		}
	}
	return false
}

// discovery is a stand-in for the discovery agent.
type discovery struct {
	*httptest.Server
	mu          sync.Mutex
	lines       []string      // by generation, from 1
	lineAdded   chan struct{} // closed and replaced when a line is added
	watchedFrom []string      // the from parameters of the watches
	fullList    string        // the answer to requests that are not watches
	silences    int           // calls of silence, which stop the watches opened before
	refusing    bool          // calls are answered 503
	downUntil   chan struct{} // calls are not answered until it is closed; nil: discovery is up
}

// silence stops sending on all open watches, which stay open.
func (d *discovery) silence() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silences++
	close(d.lineAdded)
	d.lineAdded = make(chan struct{})
}

// refuse sets whether new calls are answered with 503.
func (d *discovery) refuse(yes bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refusing = yes
}

// stop stops sending on all open watches and leaves new calls unanswered until start is called.
func (d *discovery) stop() (start func()) {
	d.silence()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.downUntil = make(chan struct{})
	return sync.OnceFunc(func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		close(d.downUntil)
		d.downUntil = nil
	})
}

func newDiscovery(t *testing.T) *discovery { return newDiscoveryAt(t, "127.0.0.1:0", "") }

// newDiscoveryAt returns a discovery that listens at the address. The full list, unless empty, is
// its first line.
func newDiscoveryAt(t *testing.T, addr, fullList string) *discovery {
	d := &discovery{lineAdded: make(chan struct{}), fullList: fullList}
	d.Server = httptest.NewUnstartedServer(http.HandlerFunc(d.watch))
	l, err := net.Listen("tcp", addr)
	require.NoError(t, err)
	_ = d.Listener.Close()
	d.Listener = l
	if fullList != "" {
		d.addLine(fullList)
	}
	d.Start()
	t.Cleanup(func() { d.CloseClientConnections(); d.Close() })
	return d
}

func (d *discovery) watch(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	silences, downUntil, refusing := d.silences, d.downUntil, d.refusing
	d.mu.Unlock()
	if refusing {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if downUntil != nil {
		select {
		case <-downUntil:
		case <-r.Context().Done():
			return
		}
	}
	if !r.URL.Query().Has("watch") {
		d.mu.Lock()
		defer d.mu.Unlock()
		_, _ = io.WriteString(w, d.fullList)
		return
	}
	d.mu.Lock()
	d.watchedFrom = append(d.watchedFrom, r.URL.Query().Get("from"))
	d.mu.Unlock()
	var sent int
	_, _ = fmt.Sscan(r.URL.Query().Get("from"), &sent)
	w.(http.Flusher).Flush()
	for {
		d.mu.Lock()
		lines, lineAdded, muted := d.lines, d.lineAdded, d.silences != silences
		d.mu.Unlock()
		if muted {
			<-r.Context().Done()
			return
		}
		for ; sent < len(lines); sent++ {
			_, _ = io.WriteString(w, lines[sent]+"\n")
		}
		w.(http.Flusher).Flush()
		select {
		case <-lineAdded:
		case <-time.After(time.Second):
			_, _ = io.WriteString(w, "\n")
		case <-r.Context().Done():
			return
		}
	}
}

// addLine adds a line, which is sent on all watches.
func (d *discovery) addLine(line string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lines = append(d.lines, line)
	close(d.lineAdded)
	d.lineAdded = make(chan struct{})
}

// addList adds a full list (reset) or changes to it, and returns the generation.
func (d *discovery) addList(reset bool, lifecycle string, workers ...*worker) int {
	d.mu.Lock()
	generation := len(d.lines) + 1
	d.mu.Unlock()
	d.addLine(listText(generation, reset, lifecycle, workers...))
	return generation
}

// waitForList waits until the program has logged the list of a generation and returns the time.
func (p *program) waitForList(generation int) time.Time {
	eventually(p.t, func() bool { return p.logged(fmt.Sprintf("generation=%d ", generation)) }, "the list is received")
	return time.Now()
}

// addWorkerAt adds a line with a worker at any address.
func (d *discovery) addWorkerAt(name, kind, addr string) int {
	d.mu.Lock()
	generation := len(d.lines) + 1
	d.mu.Unlock()
	d.addLine(fmt.Sprintf(`{"generation":%d,"reset":false,"instances":[{"instanceId":%q,"hostPort":%q,"zone":"z1","machineType":%q,`+
		`"cell":1,"lifecycle":"in_service","weight":1.0,"startedAtMs":0}]}`, generation, name, addr, kind))
	return generation
}

// addWorkerStartedAt adds a line with a worker in service that started at the given time.
func (d *discovery) addWorkerStartedAt(k *worker, since time.Time) int {
	d.mu.Lock()
	generation := len(d.lines) + 1
	d.mu.Unlock()
	text := listText(generation, false, "in_service", k)
	d.addLine(strings.Replace(text, `"startedAtMs":0`, fmt.Sprintf(`"startedAtMs":%d`, since.UnixMilli()), 1))
	return generation
}

func listText(generation int, reset bool, lifecycle string, workers ...*worker) string {
	type instance map[string]any
	l := map[string]any{"generation": generation, "reset": reset}
	list := []instance{}
	for _, k := range workers {
		list = append(list, instance{"instanceId": k.name, "hostPort": k.Listener.Addr().String(), "zone": "z1",
			"machineType": k.kind, "cell": 1, "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0})
	}
	l["instances"] = list
	text, err := json.Marshal(l)
	if err != nil {
		panic(err)
	}
	return string(text)
}

const settings = `{"balancers":1,"my-zone":0,"zones":["z1","z2"],"skus":["reader","writer","mixed"],
 "bounds":{"cancel":true,"retry-after":true,"max-retry-after-ns":2000000000,"most-tries":5,
  "connect-timeout-ns":250000000,"conn-idle-ns":%d,"open-cap":1000},
 "categories":[
  {"name":"query","effect":"repeatable","group":"all","points":1.0,"target-ns":1500000000,"late-share":0.2},
  {"name":"file","effect":"once","group":"all","points":3.0,"target-ns":1500000000,"late-share":0.2}],
 "extra":{"aim-us-per-1000-prompt-tokens":[40000.0,40000.0],"token-aim-ns":[60000000,60000000],
  "kind-memory-tokens":[200000,200000,200000],"role-by-kind":["read","write","both"],"release-ns":300000000,
  "read-in-place":false},
 "realms":[{"name":"acme","quota-per-s":1000.0,"share":1.0}],
 "safety":{"cold-share":0.3,"fall-multiple":2.5,"fall-ns":1500000000,"stop-sending-within-ns":250000000,
  "warm-within-ns":10000000000},"load-info":{"columns":[],"how":"none"},"over-share-worth":0.1}`

const connIdle = 30 * time.Second

func config(t *testing.T, known string, idle time.Duration) string {
	return configOf(t, known, fmt.Sprintf(settings, idle.Nanoseconds()))
}

func configOf(t *testing.T, known, settings string) string {
	file := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name":"n1","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
		"known":%s,"settings":%s}`, known, settings)
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

// startPlatform starts the program with a discovery that lists the workers, and waits until it is
// ready.
func startPlatform(t *testing.T, workers ...*worker) (*program, *discovery) {
	d := newDiscovery(t)
	d.addList(true, "in_service", workers...)
	return startPlatformWith(t, d, connIdle).waitReady(), d
}

func startPlatformWith(t *testing.T, d *discovery, idle time.Duration) *program {
	return startPlatformFromFile(t, d, config(t, `{"generation":0,"reset":true,"instances":[]}`, idle))
}

// startPlatformFromFile starts the program with a configuration file.
func startPlatformFromFile(t *testing.T, d *discovery, file string) *program {
	addr := ownAddr(t)
	p := start(t, addr, []string{"ROUTER_LISTEN=" + addr, "ROUTER_NAME=n1",
		"ROUTER_DISCOVERY=" + d.Listener.Addr().String(), "ROUTER_CONFIG=" + file}, "serve")
	p.file = file
	return p
}

// startPlatformWithFaults is like startPlatform, and also returns a handle that makes system calls
// of the given numbers fail.
func startPlatformWithFaults(t *testing.T, calls []int, workers ...*worker) (*program, *syscalls.Faults, *discovery) {
	d := newDiscovery(t)
	d.addList(true, "in_service", workers...)
	addr, file := ownAddr(t), config(t, `{"generation":0,"reset":true,"instances":[]}`, connIdle)
	p, faults := startWithFaults(t, calls, addr, []string{"ROUTER_LISTEN=" + addr, "ROUTER_NAME=n1",
		"ROUTER_DISCOVERY=" + d.Listener.Addr().String(), "ROUTER_CONFIG=" + file}, "serve")
	p.file = file
	return p.waitReady(), faults, d
}

// startPlatformWithClock is like startPlatform, and also returns a handle that steps the program's
// wall clock.
func startPlatformWithClock(t *testing.T, workers ...*worker) (*program, *clock.Clock, *discovery) {
	library, err := clockLibrary()
	require.NoError(t, err)
	wall, err := library.New(t.TempDir())
	require.NoError(t, err)
	d := newDiscovery(t)
	d.addList(true, "in_service", workers...)
	addr, file := ownAddr(t), config(t, `{"generation":0,"reset":true,"instances":[]}`, connIdle)
	p := start(t, addr, append(wall.Env(), "ROUTER_LISTEN="+addr, "ROUTER_NAME=n1",
		"ROUTER_DISCOVERY="+d.Listener.Addr().String(), "ROUTER_CONFIG="+file), "serve")
	p.file = file
	return p.waitReady(), wall, d
}

// clockLibrary builds the clock library once, in the directory of the program.
var clockLibrary = sync.OnceValues(func() (clock.Library, error) { return clock.Build(filepath.Dir(binary)) })

// replaceFile replaces the content of a file atomically, so that no process reads half of it.
func replaceFile(path, text string) error {
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// reconfigure replaces the platform's configuration file and makes the program reload it.
func (p *program) reconfigure(text string) {
	require.NoError(p.t, replaceFile(p.file, text))
	p.signal(syscall.SIGHUP)
}

var ids struct {
	sync.Mutex
	last int
}

func newID() string {
	ids.Lock()
	defer ids.Unlock()
	ids.last++
	return fmt.Sprintf("%016x", ids.last)
}

// answer is the response that a client received.
type answer struct {
	status int
	header http.Header
	body   string
	err    error // of the call, or of reading the body
	took   time.Duration
}

const prompt = `{"model":"chat","stream":true,  "messages":[{"role":"user","content":"ab\u00e9"}]}`

func (p *program) request(class, id string, patience time.Duration) *http.Request {
	req, err := http.NewRequest(http.MethodPost, "http://"+p.addr+"/v1/chat/completions?x=1&y=%2F", strings.NewReader(prompt))
	require.NoError(p.t, err)
	for k, v := range map[string]string{"X-Correlation-Id": id, "X-Service-Class": class, "X-Account": "acme",
		"X-Session-Key": id, "X-Time-Left-Ms": fmt.Sprint(patience.Milliseconds()),
		"X-Facts": "prefix=" + id + ",prompt_len=5120,prefix_len=2048,max_out=800"} {
		req.Header.Set(k, v)
	}
	return req
}

// askRepeatedly starts clients, each with its own connections, that call ask in a loop until ctx
// ends, with a pause after each call. The returned group is done when all clients have ended.
func askRepeatedly(ctx context.Context, clients int, pause time.Duration, ask func(*http.Client)) *sync.WaitGroup {
	var all sync.WaitGroup
	for range clients {
		all.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for ctx.Err() == nil {
				ask(client)
				time.Sleep(pause)
			}
		})
	}
	return &all
}

func (p *program) ask(class, id string, patience time.Duration) answer {
	return do(p.request(class, id, patience))
}

func do(req *http.Request) answer {
	from := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, string(body), err, time.Since(from)}
}

// firstLine reads the first line of a response body, which may still be open.
func firstLine(t *testing.T, resp *http.Response) string {
	line, err := bufio.NewReader(resp.Body).ReadString('\n')
	require.NoError(t, err)
	return line
}
