// Package demo runs emulated workers, routers and clients together, injects a fault into one of
// them on request, and prints the outcome second by second.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lichenshelf/internal/standin/link"
	"lichenshelf/lab/emulator"
	"lichenshelf/lab/engine"
	"lichenshelf/lab/load"
	"lichenshelf/logic"
)

// The faults of a demonstration.
const (
	NoFault     = ""
	FaultWorker = "worker" // a reader crashes and restarts cold
	FaultRouter = "router" // a router is killed and started again
	FaultLink   = "link"   // two halves of the routers receive nothing from each other
)

// Config describes a demonstration.
type Config struct {
	Routers int
	For     time.Duration
	Rate    float64 // requests a second
	Fault   string
	Alone   bool // routers share nothing
	Seed    uint64
	Plot    string // file name; empty: no plot
	Dir     string // for the routers' files and logs
	// Router is the command that starts a router; the router's arguments are added to it.
	Router []string
}

// ErrConfig is wrapped by the errors of Config.Check.
var ErrConfig = errors.New("demo")

// Check returns an error if a value of the config is not valid.
func (c *Config) Check() error {
	switch {
	case c.Routers < 1 || c.Routers > 16:
		return fmt.Errorf("%w: routers is %d, not from 1 to 16", ErrConfig, c.Routers)
	case c.For < 3*time.Second || c.For > time.Hour:
		return fmt.Errorf("%w: for is %v, not from 3s to 1h", ErrConfig, c.For)
	case !(c.Rate > 0 && c.Rate <= 500):
		return fmt.Errorf("%w: rate is %g, not over 0 and at most 500", ErrConfig, c.Rate)
	case c.Fault != NoFault && c.Fault != FaultWorker && c.Fault != FaultRouter && c.Fault != FaultLink:
		return fmt.Errorf("%w: fault is %q, not worker, router or link", ErrConfig, c.Fault)
	case c.Fault == FaultLink && (c.Alone || c.Routers < 2):
		return fmt.Errorf("%w: fault is link, but there are no links between the routers", ErrConfig)
	case c.Fault == FaultRouter && c.Routers < 2:
		return fmt.Errorf("%w: fault is router, but there is only one router", ErrConfig)
	case c.Plot != "" && filepath.Ext(c.Plot) != ".png":
		return fmt.Errorf("%w: plot is %q, which does not end in .png", ErrConfig, c.Plot)
	case len(c.Router) == 0:
		return fmt.Errorf("%w: router is empty: no command to start a router", ErrConfig)
	}
	return nil
}

// Kinds returns the kinds of the demonstration's workers: readers, writers and mixed workers.
func Kinds() []engine.Kind {
	return []engine.Kind{
		{Role: logic.RoleRead, ReadRate: 9000, ReadBase: 15 * time.Millisecond, ReadQueue: 24, CacheTokens: 60000, StateTokens: 2e5},
		{Role: logic.RoleWrite, FetchRate: 4e5, Step: 8 * time.Millisecond, StepDouble: 16, Memory: 80000, WriteQueue: 8},
		{Role: logic.RoleBoth, ReadRate: 5000, ReadBase: 20 * time.Millisecond, ReadQueue: 16, CacheTokens: 40000, Step: 12 * time.Millisecond, StepDouble: 10, Memory: 60000, WriteQueue: 4},
	}
}

// Site returns the demonstration's site: warm workers in two cells.
func Site() engine.Config {
	cfg := engine.Config{Kinds: Kinds(), Cold: engine.Cold{Share: 0.3, WarmWithin: 8 * time.Second, FallMultiple: 2.5,
		FallAfter: 1500 * time.Millisecond, Downtime: 3 * time.Second}}
	add := func(kind, cell int, name string) {
		cfg.Servers = append(cfg.Servers, engine.Spec{Name: name, Kind: kind, Cell: cell, Zone: cell, Started: -time.Hour})
	}
	for i := range 6 {
		add(0, i%2, fmt.Sprintf("reader-%d", i))
	}
	for i := range 8 {
		add(1, i%2, fmt.Sprintf("writer-%d", i))
	}
	add(2, 0, "mixed-0")
	add(2, 1, "mixed-1")
	return cfg
}

// Settings returns the routers' settings for a site in virtual time. Of the two classes, the one
// whose requests must not run twice has more points.
func Settings(site *engine.Config) logic.Settings {
	s := logic.Settings{CancelAllowed: true, RetryAfter: true, MaxRetryAfter: 2 * time.Second, MaxAttempts: 5, ConnectTimeout: 250 * time.Millisecond,
		OverShareWorth: 0.1, DrainGrace: 250 * time.Millisecond, ColdShare: site.Cold.Share, WarmWithin: site.Cold.WarmWithin,
		FallMultiple: site.Cold.FallMultiple, FallAfter: site.Cold.FallAfter, ReleaseWithin: 300 * time.Millisecond,
		Classes: []logic.Class{{Aim: 1500 * time.Millisecond, AimPer1000: 40 * time.Millisecond, TokenAim: 60 * time.Millisecond, Points: 1, LateShare: 0.2},
			{Aim: 1500 * time.Millisecond, AimPer1000: 40 * time.Millisecond, TokenAim: 60 * time.Millisecond, Points: 3, LateShare: 0.2, Effect: logic.EffectOnce}}}
	for _, k := range site.Kinds {
		s.Kinds = append(s.Kinds, logic.Kind{Role: k.Role, MemoryTokens: k.Memory})
	}
	return s
}

// Load returns the load of the demonstration's clients.
func Load(rate float64) load.Config {
	return load.Config{Rate: rate, Classes: []float64{3, 1}, Prefixes: 24, Zipf: 1.2, PrefixTokens: 1200, Turns: 4,
		Prompt: 400, Answer: 50, Spread: 0.7, MaxTokens: 12000}
}

// Rules are the settings of the demonstration's routers.
var Rules = emulator.Rules{Patience: 4 * time.Second, Aim: 1500 * time.Millisecond, Attempts: 5}

// Fleet has the lines of the routers' fleet file besides the list of routers.
const Fleet = "lease = \"1s\"\nperiod = \"200ms\"\ntimeout = \"500ms\"\nrepeats_per_s = 40.0\ncold_per_s = 20.0\n"

// Report is the result of a demonstration.
type Report struct {
	Seconds         []emulator.Second
	AnsweredTwice   int // requests with more than one final answer
	Repeats         int // repeated attempts of requests, as recorded by the workers
	OverloadCrashes int // crashes of cold workers under overload
	Held            int // read states left at the end
	marks           []mark
}

// mark is an annotation, such as the injection of a fault, at a time in seconds.
type mark struct {
	at   float64
	text string
}

// Run runs a demonstration and prints its progress to out.
func Run(ctx context.Context, cfg Config, out io.Writer) (*Report, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	site, err := emulator.New(Site(), cfg.Seed, emulator.Loopback)
	if err != nil {
		return nil, err
	}
	defer site.Close()
	fleet := Fleet
	if cfg.Alone {
		fleet = ""
	}
	layout, err := site.NewLayout(cfg.Dir, cfg.Routers, Rules, fleet, freeAddr)
	if err != nil {
		return nil, err
	}
	defer layout.Close()
	s := &demonstration{cfg: cfg, site: site, layout: layout, out: &writer{out: out}}
	defer s.stop()
	for i := range layout.Routers {
		if err := s.startRouter(i); err != nil {
			return nil, err
		}
	}
	var addrs []string
	for _, r := range layout.Routers {
		addrs = append(addrs, r.Listen)
		if err := ready(ctx, r.Listen); err != nil {
			return nil, fmt.Errorf("router %s: %w; its log is %s", r.Name, err, s.logPath(r.Name))
		}
	}
	s.clients = emulator.NewClients(addrs, Rules.Patience)
	return s.run(ctx)
}

var addrs atomic.Uint32

// freeAddr returns a free address on a loopback host of its own, if the system has such hosts. No
// outgoing connection can take its port before the router listens, since those are from 127.0.0.1.
func freeAddr() (string, error) {
	n := uint32(os.Getpid())*64 + addrs.Add(1)
	l, err := net.Listen("tcp4", fmt.Sprintf("127.66.%d.%d:0", n/250%250, 1+n%250))
	if err != nil {
		l, err = emulator.Loopback("")
	}
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

// ready waits until a router is ready, which it is once it has workers.
func ready(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, 30*time.Second)
	defer cancel()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/healthz", nil)
		if err != nil {
			return err
		}
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.New("not ready in time")
		}
	}
}

// writer serializes the writes of several goroutines.
type writer struct {
	mu  sync.Mutex
	out io.Writer
}

func (w *writer) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(p)
}

// demonstration is the state of a running demonstration.
type demonstration struct {
	cfg       Config
	site      *emulator.Emulator
	layout    *emulator.Layout
	out       io.Writer
	clients   *emulator.Clients
	processes []*exec.Cmd
	up        atomic.Int32
	marks     []mark
	began     time.Time
}

func (s *demonstration) logPath(name string) string { return s.cfg.Dir + "/" + name + ".log" }

func (s *demonstration) startRouter(i int) error {
	r := s.layout.Routers[i]
	log, err := os.OpenFile(s.logPath(r.Name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("log of router %s: %w", r.Name, err)
	}
	defer log.Close()
	args := append(append([]string{}, s.cfg.Router[1:]...), r.Args...)
	cmd := exec.Command(s.cfg.Router[0], args...)
	cmd.Env = append(os.Environ(), r.Env...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start router %s: %w", r.Name, err)
	}
	for len(s.processes) <= i {
		s.processes = append(s.processes, nil)
	}
	s.processes[i] = cmd
	s.up.Add(1)
	return nil
}

// endRouter sends a router a signal and waits until it has exited.
func (s *demonstration) endRouter(i int, signal syscall.Signal) {
	if cmd := s.processes[i]; cmd != nil {
		_ = cmd.Process.Signal(signal)
		_ = cmd.Wait()
		s.processes[i] = nil
		s.up.Add(-1)
	}
}

func (s *demonstration) stop() {
	for i := range s.processes {
		s.endRouter(i, syscall.SIGKILL)
	}
}

func (s *demonstration) mark(format string, args ...any) {
	m := mark{time.Since(s.began).Seconds(), fmt.Sprintf(format, args...)}
	s.marks = append(s.marks, m)
	fmt.Fprintf(s.out, "%5.1f s  %s\n", m.at, m.text)
}

// injectFault injects the configured fault after a third of the time and ends it after two thirds.
func (s *demonstration) injectFault(ctx context.Context) {
	third := s.cfg.For / 3
	if !sleep(ctx, third) {
		return
	}
	switch s.cfg.Fault {
	case FaultWorker:
		s.site.Kill("reader-0", third)
		s.mark("worker reader-0 is killed; it comes back cold after %v", third.Round(100*time.Millisecond))
	case FaultRouter:
		s.endRouter(1, syscall.SIGKILL)
		s.mark("router r-1 is killed")
		if sleep(ctx, third) && s.startRouter(1) == nil {
			s.mark("router r-1 is started again")
		}
	case FaultLink:
		s.layout.SetFaults(func(from, to int) bool { return from%2 != to%2 }, link.Fault{Refuse: true, Drop: [2]bool{true, true}})
		s.mark("every second router hears nothing of the others")
		if sleep(ctx, third) {
			s.layout.SetFaults(func(int, int) bool { return false }, link.Fault{})
			s.mark("all routers hear each other again")
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *demonstration) run(ctx context.Context) (*Report, error) {
	playing, cancel := context.WithTimeout(ctx, s.cfg.For)
	defer cancel()
	rng := rand.New(rand.NewPCG(s.cfg.Seed, 3))
	s.began = time.Now()
	fmt.Fprintf(s.out, "%d routers, %d workers, %.0f requests a second\n", s.cfg.Routers, s.site.Up(), s.cfg.Rate)
	fmt.Fprintln(s.out, " time   asked served broken refused failed unheard late   first token p50, p99   workers routers")
	faultDone := make(chan struct{})
	go func() {
		defer close(faultDone)
		if s.cfg.Fault != NoFault {
			s.injectFault(playing)
		}
	}()
	clientsDone := make(chan struct{})
	go func() {
		defer close(clientsDone)
		s.clients.Run(playing, load.New(Load(s.cfg.Rate), s.cfg.Seed), rng.IntN)
	}()
	printed := 0
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for running := true; running; {
		select {
		case <-ticker.C:
		case <-clientsDone:
			running = false
		}
		// A second is printed two seconds later: nearly all of its requests have ended then, though
		// patience allows for more time.
		seconds := s.clients.Seconds()
		for ; printed < len(seconds) && (!running || printed < len(seconds)-2); printed++ {
			s.printSecond(printed, &seconds[printed])
		}
	}
	<-faultDone
	for i := range s.processes { // an orderly shutdown, in which routers release held read states
		s.endRouter(i, syscall.SIGTERM)
	}
	r := &Report{Seconds: s.clients.Seconds(), Repeats: len(emulator.Repeats(s.site.Record(), Site())), OverloadCrashes: s.site.OverloadCrashes(), Held: s.site.Held(), marks: s.marks}
	for _, n := range s.clients.Answers() {
		if n > 1 {
			r.AnsweredTwice++
		}
	}
	if err := r.print(s.out); err != nil {
		return nil, err
	}
	if s.cfg.Plot == "" {
		return r, ctx.Err()
	}
	if err := r.plot(s.cfg.Plot); err != nil {
		return nil, err
	}
	fmt.Fprintf(s.out, "plot: %s\n", s.cfg.Plot)
	return r, ctx.Err()
}

func (s *demonstration) printSecond(i int, v *emulator.Second) {
	sum := 0
	for _, n := range v.Outcomes {
		sum += n
	}
	f := v.Outcomes
	fmt.Fprintf(s.out, "%4d s  %5d  %5d  %5d   %5d  %5d   %5d %4d   %7.0f ms %7.0f ms   %7d %7d\n", i, sum, f[emulator.Served], f[emulator.Broken],
		f[emulator.Refused], f[emulator.Failed], f[emulator.Unreached], f[emulator.Late], ms(v.FirstToken, 50), ms(v.FirstToken, 99), s.site.Up(), s.up.Load())
}

func ms(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }

// print writes the summary.
func (r *Report) print(w io.Writer) error {
	var sum [emulator.NumOutcomes]int
	all := 0
	first := hdrhistogram.New(1, 120_000_000, 3)
	for _, s := range r.Seconds {
		first.Merge(s.FirstToken)
		for f, n := range s.Outcomes {
			sum[f] += n
			all += n
		}
	}
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "\nREQUESTS\tNUMBER\tPART\t")
	for f, n := range sum {
		fmt.Fprintf(t, "%s\t%d\t%.1f%%\t\n", emulator.Outcome(f), n, 100*float64(n)/float64(max(all, 1)))
	}
	fmt.Fprintf(t, "all\t%d\t\t\n", all)
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "first token: p50 %.0f ms, p90 %.0f ms, p99 %.0f ms\n"+
		"as the workers saw it: %d attempts sent again, %d cold workers pushed over, %d read states left; %d requests answered twice\n",
		ms(first, 50), ms(first, 90), ms(first, 99), r.Repeats, r.OverloadCrashes, r.Held, r.AnsweredTwice)
	return err
}
