package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// settings are those of a small deployment: two zones with mixed workers, three routers.
const settings = `{"balancers":3,"my-zone":%d,"zones":["z1","z2"],"skus":["mixed"],
 "bounds":{"cancel":true,"retry-after":true,"max-retry-after-ns":2000000000,"most-tries":5,
  "connect-timeout-ns":250000000,"conn-idle-ns":30000000000,"open-cap":1000},
 "categories":[{"name":"query","effect":"repeatable","group":"all","points":1.0,"target-ns":1500000000,"hard-limit-ns":3000000000,"late-share":0.2}],
 "extra":{"aim-us-per-1000-prompt-tokens":[40000.0],"token-aim-ns":[60000000],"kind-memory-tokens":[200000],"role-by-kind":["both"],
  "release-ns":300000000,"read-in-place":false},
 "realms":[{"name":"acme","quota-per-s":1000.0,"share":1.0}],
 "safety":{"cold-share":0.3,"fall-multiple":2.5,"fall-ns":1500000000,"stop-sending-within-ns":250000000,"warm-within-ns":10000000000},
 "load-info":{"columns":[],"how":"none"},"over-share-worth":0.1}`

// fleet is a fleet of three routers over two zones, with the values of deploy/fleet.toml but for a
// shorter return.
const fleet = `fleet = "review"
self = %q
operator = %q
%s[shift]
return = "4s"
[[zone]]
name = "z1"
read = 100.0
write = 100.0
[[zone]]
name = "z2"
read = 100.0
write = 100.0
`

// modelWorker is a mixed worker: it answers each request with a short stream.
type modelWorker struct {
	*httptest.Server
	name, zone string
	mu         sync.Mutex
	at         []time.Time
}

func (r *rig) newWorker(name, zone string) *modelWorker {
	w := &modelWorker{name: name, zone: zone}
	w.Server = httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, req *http.Request) {
		if req.Method == http.MethodDelete {
			out.WriteHeader(http.StatusNoContent)
			return
		}
		w.mu.Lock()
		w.at = append(w.at, time.Now())
		w.mu.Unlock()
		out.Header().Set("Content-Type", "text/event-stream")
		_, _ = out.Write([]byte("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"a\"},\"finish_reason\":\"stop\"}]}\n\n"))
		out.(http.Flusher).Flush()
		_, _ = out.Write([]byte("data: {\"choices\":[],\"usage\":{\"prompt_tokens\":512,\"completion_tokens\":1,\"prompt_tokens_details\":{\"cached_tokens\":64}}}\n\ndata: [DONE]\n\n"))
	}))
	r.closers = append(r.closers, w.Close)
	return w
}

func (w *modelWorker) since(t time.Time) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, at := range w.at {
		if at.After(t) {
			n++
		}
	}
	return n
}

// newDiscovery starts an agent that lists the workers and tells no changes.
func (r *rig) newDiscovery(workers ...*modelWorker) *httptest.Server {
	var lines []string
	for _, w := range workers {
		lines = append(lines, fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":%q,"machineType":"mixed","cell":1,"lifecycle":"in_service","weight":1.0,"startedAtMs":0}`,
			w.name, w.Listener.Addr().String(), w.zone))
	}
	list := fmt.Sprintf(`{"generation":1,"reset":true,"instances":[%s]}`, strings.Join(lines, ","))
	d := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, req *http.Request) {
		_, _ = out.Write([]byte(list + "\n"))
		if !req.URL.Query().Has("watch") {
			return
		}
		for {
			out.(http.Flusher).Flush()
			select {
			case <-req.Context().Done():
				return
			case <-time.After(2 * time.Second):
				_, _ = out.Write([]byte("\n"))
			}
		}
	}))
	r.closers = append(r.closers, func() { d.CloseClientConnections(); d.Close() })
	return d
}

// awayFor is how long a killed router is away: USER.md says 2.6 to 7.2 s.
const awayFor = 7 * time.Second

// zoneWord gives a zone back, kills a router that comes back, and takes the zone out again at that router.
func zoneWord(r *rig) error {
	workers := []*modelWorker{r.newWorker("s-01", "z1"), r.newWorker("s-02", "z1"), r.newWorker("s-03", "z2"), r.newWorker("s-04", "z2")}
	discovery := r.newDiscovery(workers...)
	addrs, err := freeAddrs(9)
	if err != nil {
		return err
	}
	listen, operator := addrs[:3], addrs[6:]
	var routers strings.Builder
	zones := []string{"z1", "z2", "z1"}
	for i, z := range zones {
		fmt.Fprintf(&routers, "[[router]]\nname = \"n%d\"\naddr = %q\nzone = %q\n", i+1, addrs[3+i], z)
	}
	launch := func(i int) (*process, error) {
		name := fmt.Sprintf("n%d", i+1)
		platform, err := r.file(name+"/config.json", fmt.Sprintf(`{"name":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
			"known":{"generation":0,"reset":true,"instances":[]},"settings":%s}`, name, fmt.Sprintf(settings, i%2)))
		if err != nil {
			return nil, err
		}
		shared, err := r.file(name+"/fleet.toml", fmt.Sprintf(fleet, name, operator[i], routers.String()))
		if err != nil {
			return nil, err
		}
		return r.start(name, []string{"ROUTER_CONFIG=" + platform, "ROUTER_NAME=" + name, "ROUTER_LISTEN=" + listen[i],
			"ROUTER_DISCOVERY=" + discovery.Listener.Addr().String()}, "serve", "--fleet", shared)
	}
	state := func(i int, zone string) string {
		status, text := r.call(http.MethodGet, "http://"+operator[i]+"/v1/fleet/zones", "")
		var p struct {
			Zones []struct{ Name, State string } `json:"zones"`
		}
		if status != http.StatusOK || json.Unmarshal([]byte(text), &p) != nil {
			return ""
		}
		for _, z := range p.Zones {
			if z.Name == zone {
				return z.State
			}
		}
		return ""
	}
	all := func(zone, is string) func() bool {
		return func() bool { return state(0, zone) == is && state(1, zone) == is && state(2, zone) == is }
	}
	var running []*process
	for i := range zones {
		p, err := launch(i)
		if err != nil {
			return err
		}
		running = append(running, p)
	}
	if err := r.eventually("all routers see z2 healthy", 30*time.Second, all("z2", "healthy")); err != nil {
		return err
	}
	stop, stopped := make(chan struct{}), make(chan struct{})
	answers := map[int]int{}
	go func() {
		defer close(stopped)
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			status, _ := r.call(http.MethodPost, "http://"+listen[n%2]+"/v1/chat/completions", `{"model":"chat","stream":true,"messages":[{"role":"user","content":"a"}]}`,
				"X-Correlation-Id", fmt.Sprintf("%08x%08x", os.Getpid(), n), "X-Service-Class", "query", "X-Account", "acme", "X-Session-Key", fmt.Sprintf("%016x", n+1),
				"X-Time-Left-Ms", "3000", "X-Facts", "prompt_len=512,prefix_len=0,max_out=16")
			answers[status]++
		}
	}()
	defer func() { close(stop); <-stopped }()
	if out, err := r.run(5*time.Second, "zone", "drain", "--operator", operator[0], "z2"); err != nil {
		return fmt.Errorf("%w: drain: %s", errRun, out)
	}
	if err := r.eventually("z2 is out at all routers", 10*time.Second, all("z2", "out")); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	if out, err := r.run(5*time.Second, "zone", "return", "--operator", operator[0], "z2"); err != nil {
		return fmt.Errorf("%w: return: %s", errRun, out)
	}
	if err := r.eventually("z2 is healthy again at all routers", 20*time.Second, all("z2", "healthy")); err != nil {
		return err
	}
	if r.trouble {
		if err := running[2].signal(syscall.SIGKILL); err != nil {
			return err
		}
		<-running[2].done
		time.Sleep(awayFor)
		if _, err := launch(2); err != nil {
			return err
		}
	}
	// The word is given at n3 as soon as it takes it.
	taken := false
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end) && !taken; time.Sleep(20 * time.Millisecond) {
		out, err := r.run(5*time.Second, "zone", "drain", "--operator", operator[2], "z2")
		_ = out
		taken = err == nil
	}
	if !taken {
		return fmt.Errorf("%w: n3 did not take the word", errRun)
	}
	said := time.Now()
	r.note("n3 has said yes to the drain of z2")
	out := false
	for end := said.Add(10 * time.Second); time.Now().Before(end) && !out; time.Sleep(100 * time.Millisecond) {
		out = all("z2", "out")()
	}
	from := time.Now()
	time.Sleep(3 * time.Second)
	n := 0
	for _, w := range workers[2:] {
		n += w.since(from)
	}
	r.note("z2 is %q, %q, %q; its workers have had %d requests from %.1f s after the yes on; all answers so far %v", state(0, "z2"), state(1, "z2"), state(2, "z2"), n,
		from.Sub(said).Seconds(), answers)
	if !out {
		r.breaks("10 s after n3 took the operator's word, z2 is not out; its workers had %d requests in the 3 s after that", n)
	}
	return nil
}
