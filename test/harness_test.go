// Package test starts the real program as a process and talks to it as clients,
// workers and discovery would.
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

	// The program is built by a command, which go test does not see: without this
	// it would repeat an old verdict after a change of the program.
	_ "lichenshelf/internal/cli"
)

const (
	patient = 20 * time.Second // for what must happen at last
	// goroutineDumpTimeout is how long a program may take to write the trace of its goroutines.
	goroutineDumpTimeout = 5 * time.Second
	soon                 = 2 * time.Millisecond
	loaded               = 2 * time.Second // how late a machine with other work may be
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
	// A program built with the race detector waits a second at its end for reports that are still being made.
	if err := os.Setenv("GORACE", "atexit_sleep_ms=50"); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

func eventually(t *testing.T, f func() bool, what string) {
	t.Helper()
	require.Eventually(t, f, patient, soon, what)
}

// program is a running lichenshelf.
type program struct {
	t    *testing.T
	addr string
	file string // the platform's configuration
	cmd  *exec.Cmd
	mu   sync.Mutex
	log  bytes.Buffer
	exit chan error
	// Of a program whose log is read by readLog:
	pause   sync.Mutex    // held while nobody reads the log
	logRead chan struct{} // closed when it has been read to its end; nil: the log is not read so

	read   int               // of the log, for served
	served map[string]string // the workers, as the log told of their changes
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

// startTrapped is start with system calls of the given numbers that can be made to fail.
func startTrapped(t *testing.T, calls []int, addr string, env []string, args ...string) (*program, *syscalls.Faults) {
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

// smallPipe is the least that a pipe holds.
const smallPipe = 4 << 10

// newSmallPipe returns both ends of a pipe that holds little.
func newSmallPipe(t *testing.T) (r, w *os.File) {
	r, w, err := os.Pipe()
	require.NoError(t, err)
	_, err = unix.FcntlInt(w.Fd(), unix.F_SETPIPE_SZ, smallPipe)
	require.NoError(t, err)
	return r, w
}

// readLog reads the program's log from a pipe, but while pause is held.
func (p *program) readLog(r *os.File) {
	p.logRead = make(chan struct{})
	go func() {
		defer close(p.logRead)
		defer r.Close()
		for b := make([]byte, smallPipe); ; {
			n, err := r.Read(b)
			p.pause.Lock()
			_, _ = p.Write(b[:n])
			p.pause.Unlock()
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
	case <-time.After(patient):
		p.dumpGoroutines()
		p.t.Fatal("the program did not end")
	}
}

// dumpGoroutines has the program end with a trace of all its goroutines in its log, so that a failure shows what it waited for.
func (p *program) dumpGoroutines() {
	_ = p.cmd.Process.Signal(syscall.SIGQUIT)
	select {
	case <-p.exit:
	case <-time.After(goroutineDumpTimeout):
	}
}

// call is one call that a worker got, whole.
type call struct {
	method, uri, id string
	header          http.Header
	body            []byte
	at              time.Time
}

// worker is a stand-in for a worker.
type worker struct {
	*httptest.Server
	name, kind string
	serve      func(w http.ResponseWriter, r *http.Request) // instead of its kind's answer
	gone       func(id string)                              // told of releases, if it is set
	mu         sync.Mutex
	calls      []call
	conns      int
	open       int
}

// What the kinds answer by themselves.
const (
	events = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n"
	rest   = "data: {\"usage\":{\"prompt_tokens_details\":{\"cached_tokens\":64}}}\n\ndata: [DONE]\n\n"
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
		if k.gone != nil {
			k.gone(strings.TrimPrefix(r.URL.Path, "/v1/holds/"))
		}
		w.WriteHeader(http.StatusNoContent)
	case k.serve != nil:
		k.serve(w, r)
	case k.kind == "reader":
		read(w, r)
	default:
		write(w, r)
	}
}

func read(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusAccepted)
	_, _ = io.WriteString(w, `{"cached_tokens":64}`)
}

func write(w http.ResponseWriter, _ *http.Request) {
	begin(w)
	_, _ = io.WriteString(w, rest)
}

// begin sends a stream's first event.
func begin(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, events)
	w.(http.Flusher).Flush()
}

// cut ends the connection without another byte.
func cut(w http.ResponseWriter, _ *http.Request) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = c.Close()
	}
}

// silent answers nothing until the router closes the connection.
func silent(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

func (k *worker) got(method string) []call {
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

func posts(workers ...*worker) (n int) {
	for _, k := range workers {
		n += len(k.got(http.MethodPost))
	}
	return n
}

// released tells whether the named request's state was let go of at any of them.
func released(id string, workers ...*worker) bool {
	for _, k := range workers {
		for _, c := range k.got(http.MethodDelete) {
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
	mu    sync.Mutex
	lines []string      // by generation, from 1
	more  chan struct{} // closed when a line is added
	from  []string      // what watches asked for
	whole string        // the list, where it is asked for
	mute  int           // watches from before it was counted up say nothing any more
	fails bool          // calls are answered 503
	down  chan struct{} // nothing is said to anybody until this is closed; nil: it is up
}

// silence makes all open watches fall silent; they stay open.
func (d *discovery) silence() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mute++
	close(d.more)
	d.more = make(chan struct{})
}

// refuse makes all calls end with 503, or no more.
func (d *discovery) refuse(yes bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fails = yes
}

// stop makes all watches fall silent, and answers none until start.
func (d *discovery) stop() (start func()) {
	d.silence()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = make(chan struct{})
	return sync.OnceFunc(func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		close(d.down)
		d.down = nil
	})
}

func newDiscovery(t *testing.T) *discovery { return newDiscoveryAt(t, "127.0.0.1:0", "") }

// newDiscoveryAt listens at an address and has a whole list, its first generation.
func newDiscoveryAt(t *testing.T, addr, whole string) *discovery {
	d := &discovery{more: make(chan struct{}), whole: whole}
	d.Server = httptest.NewUnstartedServer(http.HandlerFunc(d.watch))
	l, err := net.Listen("tcp", addr)
	require.NoError(t, err)
	_ = d.Listener.Close()
	d.Listener = l
	if whole != "" {
		d.say(whole)
	}
	d.Start()
	t.Cleanup(func() { d.CloseClientConnections(); d.Close() })
	return d
}

func (d *discovery) watch(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	mute, down, fails := d.mute, d.down, d.fails
	d.mu.Unlock()
	if fails {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if down != nil {
		select {
		case <-down:
		case <-r.Context().Done():
			return
		}
	}
	if !r.URL.Query().Has("watch") {
		d.mu.Lock()
		defer d.mu.Unlock()
		_, _ = io.WriteString(w, d.whole)
		return
	}
	d.mu.Lock()
	d.from = append(d.from, r.URL.Query().Get("from"))
	d.mu.Unlock()
	var sent int
	_, _ = fmt.Sscan(r.URL.Query().Get("from"), &sent)
	w.(http.Flusher).Flush()
	for {
		d.mu.Lock()
		lines, more, muted := d.lines, d.more, d.mute != mute
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
		case <-more:
		case <-time.After(time.Second):
			_, _ = io.WriteString(w, "\n")
		case <-r.Context().Done():
			return
		}
	}
}

func (d *discovery) say(line string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lines = append(d.lines, line)
	close(d.more)
	d.more = make(chan struct{})
}

// list adds a list, or changes to it, and returns its generation.
func (d *discovery) list(reset bool, lifecycle string, workers ...*worker) int {
	d.mu.Lock()
	generation := len(d.lines) + 1
	d.mu.Unlock()
	d.say(listText(generation, reset, lifecycle, workers...))
	return generation
}

// told waits until the program has been told of a list.
func (p *program) told(generation int) time.Time {
	eventually(p.t, func() bool { return p.logged(fmt.Sprintf("generation=%d ", generation)) }, "the list is told")
	return time.Now()
}

// listAt adds a worker that is at an address, and no stand-in of this harness.
func (d *discovery) listAt(name, kind, addr string) int {
	d.mu.Lock()
	generation := len(d.lines) + 1
	d.mu.Unlock()
	d.say(fmt.Sprintf(`{"generation":%d,"reset":false,"instances":[{"instanceId":%q,"hostPort":%q,"zone":"z1","machineType":%q,`+
		`"cell":1,"lifecycle":"in_service","weight":1.0,"startedAtMs":0}]}`, generation, name, addr, kind))
	return generation
}

// listSince adds a line of a worker that is in service and has started at a time.
func (d *discovery) listSince(k *worker, since time.Time) int {
	d.mu.Lock()
	generation := len(d.lines) + 1
	d.mu.Unlock()
	text := listText(generation, false, "in_service", k)
	d.say(strings.Replace(text, `"startedAtMs":0`, fmt.Sprintf(`"startedAtMs":%d`, since.UnixMilli()), 1))
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

// platform starts the program with a discovery that lists the workers.
func platform(t *testing.T, workers ...*worker) (*program, *discovery) {
	d := newDiscovery(t)
	d.list(true, "in_service", workers...)
	return platformAt(t, d, connIdle).waitReady(), d
}

func platformAt(t *testing.T, d *discovery, idle time.Duration) *program {
	return platformOf(t, d, config(t, `{"generation":0,"reset":true,"instances":[]}`, idle))
}

// platformOf starts the program by a configuration's file.
func platformOf(t *testing.T, d *discovery, file string) *program {
	addr := ownAddr(t)
	p := start(t, addr, []string{"ROUTER_LISTEN=" + addr, "ROUTER_NAME=n1",
		"ROUTER_DISCOVERY=" + d.Listener.Addr().String(), "ROUTER_CONFIG=" + file}, "serve")
	p.file = file
	return p
}

// platformTrapped is platform with system calls that can be made to fail.
func platformTrapped(t *testing.T, calls []int, workers ...*worker) (*program, *syscalls.Faults, *discovery) {
	d := newDiscovery(t)
	d.list(true, "in_service", workers...)
	addr, file := ownAddr(t), config(t, `{"generation":0,"reset":true,"instances":[]}`, connIdle)
	p, faults := startTrapped(t, calls, addr, []string{"ROUTER_LISTEN=" + addr, "ROUTER_NAME=n1",
		"ROUTER_DISCOVERY=" + d.Listener.Addr().String(), "ROUTER_CONFIG=" + file}, "serve")
	p.file = file
	return p.waitReady(), faults, d
}

// platformSteppable is platform with a wall clock that can be stepped.
func platformSteppable(t *testing.T, workers ...*worker) (*program, *clock.Clock, *discovery) {
	library, err := clockLibrary()
	require.NoError(t, err)
	wall, err := library.New(t.TempDir())
	require.NoError(t, err)
	d := newDiscovery(t)
	d.list(true, "in_service", workers...)
	addr, file := ownAddr(t), config(t, `{"generation":0,"reset":true,"instances":[]}`, connIdle)
	p := start(t, addr, append(wall.Env(), "ROUTER_LISTEN="+addr, "ROUTER_NAME=n1",
		"ROUTER_DISCOVERY="+d.Listener.Addr().String(), "ROUTER_CONFIG="+file), "serve")
	p.file = file
	return p.waitReady(), wall, d
}

// clockLibrary is built once, in the directory of the program.
var clockLibrary = sync.OnceValues(func() (clock.Library, error) { return clock.Build(filepath.Dir(binary)) })

// replaceFile puts another text in a file's place, so that nobody reads half of it.
func replaceFile(path, text string) error {
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// reconfigure replaces the platform's configuration and has it read again.
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

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error // met while reading the body
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

// askUntil has clients, each with connections of its own, ask again and again until ctx ends, with a pause after each time. The
// returned group is done when all have ended.
func askUntil(ctx context.Context, clients int, pause time.Duration, ask func(*http.Client)) *sync.WaitGroup {
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

// firstLine reads one line of a stream that is still open.
func firstLine(t *testing.T, resp *http.Response) string {
	line, err := bufio.NewReader(resp.Body).ReadString('\n')
	require.NoError(t, err)
	return line
}
