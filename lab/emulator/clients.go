package emulator

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lichenshelf/lab/load"
)

// Fate is what became of a client's request.
type Fate uint8

// The fates of a request.
const (
	Served  Fate = iota
	Broken       // the answer began and broke off
	Refused      // turned away, to come again later
	Failed       // given up
	Unheard      // no router answered
	Late         // no answer before the client's patience ended
)

// String implements fmt.Stringer.
func (f Fate) String() string {
	return [...]string{"served", "broken", "refused", "failed", "unheard", "late"}[min(f, Late)]
}

// Fates is how many there are of them.
const Fates = int(Late) + 1

// Second is what clients saw of the requests that they sent in one second.
type Second struct {
	Fates [Fates]int
	First *hdrhistogram.Histogram // microseconds until the first token
}

// Clients ask routers by an open loop and note what they get.
type Clients struct {
	http    *http.Client
	routers []string
	down    []atomic.Bool
	ids     atomic.Int64
	start   time.Time

	mu      sync.Mutex
	seconds []Second
	answers map[string]int // final answers by request
	trips   map[string][]Trip
	most    time.Duration
}

// Trip is one sending of a request to a router, until its end.
type Trip struct {
	Router   int
	From, To time.Time
}

// ClientsPrefix begins the names of all requests.
const ClientsPrefix = "lab"

// NewClients returns clients of routers.
func NewClients(routers []string, patience time.Duration) *Clients {
	return &Clients{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}, routers: routers,
		down: make([]atomic.Bool, len(routers)), answers: map[string]int{}, trips: map[string][]Trip{}, most: patience, start: time.Now()}
}

// Avoid tells clients not to go to a router first, as they would who found it dead.
func (c *Clients) Avoid(router int, avoid bool) { c.down[router].Store(avoid) }

// Run sends a source's requests until ctx ends, and waits for what is out. Pick draws which of
// so many routers a request goes to; it is called by one goroutine.
func (c *Clients) Run(ctx context.Context, source *load.Source, pick func(n int) int) {
	var out sync.WaitGroup
	defer out.Wait()
	c.mu.Lock()
	c.start = time.Now()
	start := c.start
	c.mu.Unlock()
	for {
		q := source.Next()
		select {
		case <-time.After(time.Until(start.Add(q.At))):
		case <-ctx.Done():
			return
		}
		n := int(c.ids.Add(1))
		first := pick(len(c.routers))
		out.Go(func() { c.ask(n, first, q) })
	}
}

// ask sends one request, to another router where one is not there at all.
func (c *Clients) ask(n, first int, q load.Request) {
	id := fmt.Sprintf("%s-%d", ClientsPrefix, n)
	at := time.Now()
	fate, took := Unheard, time.Duration(0)
	for i := range c.routers {
		router := (first + i) % len(c.routers)
		if c.down[router].Load() && i < len(c.routers)-1 {
			continue
		}
		var sent bool
		from := time.Now()
		fate, took, sent = c.try(id, c.routers[router], at, q)
		c.mu.Lock()
		c.trips[id] = append(c.trips[id], Trip{router, from, time.Now()})
		c.mu.Unlock()
		if sent {
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	second := int(at.Sub(c.start) / time.Second)
	for len(c.seconds) <= second {
		c.seconds = append(c.seconds, Second{First: hdrhistogram.New(1, 120_000_000, 3)})
	}
	s := &c.seconds[second]
	s.Fates[fate]++
	if fate != Unheard && fate != Late {
		c.answers[id]++
	}
	if took > 0 {
		_ = s.First.RecordValue(max(took.Microseconds(), 1))
	}
}

func (c *Clients) try(id, router string, at time.Time, q load.Request) (fate Fate, first time.Duration, sent bool) {
	left := c.most - time.Since(at)
	ctx, cancel := context.WithTimeout(context.Background(), left+time.Minute)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+router+"/v1/chat/completions",
		strings.NewReader(`{"model":"chat","stream":true,"messages":[]}`))
	if err != nil {
		return Failed, 0, true
	}
	class := "query"
	if q.Class == 1 {
		class = "file"
	}
	for k, v := range map[string]string{headerID: id, "X-Service-Class": class, "X-Account": "acme",
		"X-Session-Key": strconv.FormatUint(q.Session, 16), "X-Time-Left-Ms": strconv.FormatInt(left.Milliseconds(), 10),
		"X-Facts":    fmt.Sprintf("prefix=%x,prompt_len=%.0f,prefix_len=%.0f,max_out=%d", q.Prefix, q.PromptTokens, q.PrefixTokens, 2*q.AnswerTokens),
		AnswerHeader: strconv.Itoa(q.AnswerTokens)} {
		req.Header.Set(k, v)
	}
	// Patience is for the beginning of an answer: one that runs may take its time.
	patient := time.AfterFunc(left, cancel)
	resp, err := c.http.Do(req)
	if err != nil {
		if ctx.Err() != nil {
			return Late, 0, true
		}
		return Unheard, 0, false
	}
	patient.Stop()
	defer resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusOK:
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") != "":
		return Refused, 0, true
	default:
		return Failed, 0, true
	}
	body := bufio.NewReader(resp.Body)
	last := ""
	for {
		line, err := body.ReadString('\n')
		if first == 0 && line != "" {
			first = time.Since(at)
		}
		if text := strings.TrimSpace(line); text != "" {
			last = text
		}
		if errors.Is(err, io.EOF) && last == "data: [DONE]" {
			return Served, first, true
		}
		if err != nil {
			return Broken, first, true
		}
	}
}

// Seconds is what was seen so far, by the second in which requests were sent.
func (c *Clients) Seconds() []Second {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]Second, len(c.seconds))
	for i, s := range c.seconds {
		out[i] = Second{s.Fates, hdrhistogram.Import(s.First.Export())}
	}
	return out
}

// Trips are the sendings of a request.
func (c *Clients) Trips(id string) []Trip {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Trip(nil), c.trips[id]...)
}

// Answers is how many final answers each request got that got any.
func (c *Clients) Answers() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]int, len(c.answers))
	for id, n := range c.answers {
		out[id] = n
	}
	return out
}
