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

// Outcome is how a client's request ended.
type Outcome uint8

// The outcomes of a request.
const (
	Served    Outcome = iota
	Broken            // the answer began and broke off
	Refused           // rejected with a Retry-After header
	Failed            // answered with any other status than 200
	Unreached         // no router was reached
	Late              // no answer within the client's patience
)

// String implements fmt.Stringer.
func (f Outcome) String() string {
	return [...]string{"served", "broken", "refused", "failed", "unheard", "late"}[min(f, Late)]
}

// NumOutcomes is the number of outcomes.
const NumOutcomes = int(Late) + 1

// Second has the outcomes of the requests that clients sent in one second.
type Second struct {
	Outcomes   [NumOutcomes]int
	FirstToken *hdrhistogram.Histogram // microseconds until the first token
}

// Clients send requests to routers as an open loop and record the outcomes.
type Clients struct {
	http    *http.Client
	routers []string
	avoided []atomic.Bool
	ids     atomic.Int64
	start   time.Time

	mu            sync.Mutex
	seconds       []Second
	answers       map[string]int // number of final answers by request
	transmissions map[string][]Transmission
	patience      time.Duration
}

// Transmission is one transmission of a request to a router, until it ended.
type Transmission struct {
	Router   int
	From, To time.Time
}

// ClientsPrefix begins the IDs of all requests.
const ClientsPrefix = "lab"

// NewClients returns clients of routers that wait for patience for the beginning of an answer.
func NewClients(routers []string, patience time.Duration) *Clients {
	return &Clients{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}, routers: routers,
		avoided: make([]atomic.Bool, len(routers)), answers: map[string]int{}, transmissions: map[string][]Transmission{}, patience: patience, start: time.Now()}
}

// Avoid makes clients skip a router, or use it again. They still try an avoided router if it is the
// last one in the order of a request.
func (c *Clients) Avoid(router int, avoid bool) { c.avoided[router].Store(avoid) }

// Run sends a source's requests until ctx ends, and waits for the open ones. Pick chooses the
// router of a request by its index below n; it is called by one goroutine.
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

// ask sends one request, and sends it to the next router if one can't be reached.
func (c *Clients) ask(n, first int, q load.Request) {
	id := fmt.Sprintf("%s-%d", ClientsPrefix, n)
	at := time.Now()
	outcome, firstToken := Unreached, time.Duration(0)
	for i := range c.routers {
		router := (first + i) % len(c.routers)
		if c.avoided[router].Load() && i < len(c.routers)-1 {
			continue
		}
		var sent bool
		from := time.Now()
		outcome, firstToken, sent = c.try(id, c.routers[router], at, q)
		c.mu.Lock()
		c.transmissions[id] = append(c.transmissions[id], Transmission{router, from, time.Now()})
		c.mu.Unlock()
		if sent {
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	second := int(at.Sub(c.start) / time.Second)
	for len(c.seconds) <= second {
		c.seconds = append(c.seconds, Second{FirstToken: hdrhistogram.New(1, 120_000_000, 3)})
	}
	s := &c.seconds[second]
	s.Outcomes[outcome]++
	if outcome != Unreached && outcome != Late {
		c.answers[id]++
	}
	if firstToken > 0 {
		_ = s.FirstToken.RecordValue(max(firstToken.Microseconds(), 1))
	}
}

func (c *Clients) try(id, router string, at time.Time, q load.Request) (outcome Outcome, firstToken time.Duration, sent bool) {
	left := c.patience - time.Since(at)
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
	// Patience limits the time until an answer begins, not the time until it ends.
	patienceTimer := time.AfterFunc(left, cancel)
	resp, err := c.http.Do(req)
	if err != nil {
		if ctx.Err() != nil {
			return Late, 0, true
		}
		return Unreached, 0, false
	}
	patienceTimer.Stop()
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
		if firstToken == 0 && line != "" {
			firstToken = time.Since(at)
		}
		if text := strings.TrimSpace(line); text != "" {
			last = text
		}
		if errors.Is(err, io.EOF) && last == "data: [DONE]" {
			return Served, firstToken, true
		}
		if err != nil {
			return Broken, firstToken, true
		}
	}
}

// Seconds returns the outcomes so far, by the second in which requests were sent.
func (c *Clients) Seconds() []Second {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]Second, len(c.seconds))
	for i, s := range c.seconds {
		out[i] = Second{s.Outcomes, hdrhistogram.Import(s.FirstToken.Export())}
	}
	return out
}

// Transmissions returns the transmissions of a request.
func (c *Clients) Transmissions(id string) []Transmission {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Transmission(nil), c.transmissions[id]...)
}

// Answers returns the number of final answers of each request that got one.
func (c *Clients) Answers() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]int, len(c.answers))
	for id, n := range c.answers {
		out[id] = n
	}
	return out
}
