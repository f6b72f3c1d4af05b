package dnssrv

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"lichenshelf/discovery/dnsrule"
)

// Config states how a name is resolved. All fields must be set.
type Config struct {
	Service string   // the SRV name
	Servers []string // the name servers, host:port, the preferred one first
	Family  dnsrule.Family
	// Agree is how many of the servers must return the same result; all are asked then. With 0, the
	// servers are asked in turn until one answers.
	Agree    int
	Timeout  time.Duration // per question and server, separately for UDP and TCP
	Deadline time.Duration // of the whole look-up
	Parallel int           // maximum number of open questions, each with a descriptor of its own
	dnsrule.Lifetimes
}

const (
	maxRounds    = 2 // passes through all servers for one question
	avoidInitial = 5 * time.Second
	avoidMax     = 2 * time.Minute
)

// Resolver resolves one name. It is safe for concurrent use.
type Resolver struct {
	cfg     Config
	mu      sync.Mutex
	servers *dnsrule.Servers
}

// NewResolver returns a resolver.
func NewResolver(cfg Config) *Resolver {
	return &Resolver{cfg: cfg, servers: dnsrule.NewServers(len(cfg.Servers), avoidInitial, avoidMax)}
}

// Lookup queries the name and the addresses of its targets. An error means that the result is
// unknown, not that the name has no workers.
func (r *Resolver) Lookup(ctx context.Context) (dnsrule.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Deadline)
	defer cancel()
	if r.cfg.Agree == 0 {
		return r.run(ctx, r.order, r.cfg.Parallel)
	}
	type found struct {
		result dnsrule.Result
		err    error
	}
	all := make(chan found)
	for i := range r.cfg.Servers {
		go func() {
			result, err := r.run(ctx, func() []int { return []int{i} }, max(1, r.cfg.Parallel/len(r.cfg.Servers)))
			all <- found{result, err}
		}()
	}
	var results []dnsrule.Result
	var faults []error
	for range r.cfg.Servers {
		if f := <-all; f.err != nil {
			faults = append(faults, f.err)
		} else {
			results = append(results, f.result)
		}
	}
	result, err := dnsrule.Agree(results, r.cfg.Agree)
	if err != nil {
		return result, errors.Join(append([]error{err}, faults...)...)
	}
	return result, nil
}

// run carries out one look-up with the servers in the given order.
func (r *Resolver) run(ctx context.Context, order func() []int, parallel int) (dnsrule.Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answered struct {
		q   dnsrule.Question
		a   dnsrule.Answer
		err error
	}
	l := dnsrule.NewLookup(r.cfg.Service, r.cfg.Family)
	answers := make(chan answered)
	var queue []dnsrule.Question
	for out := 0; ; {
		queue = append(queue, l.NextQuestions()...)
		for ; len(queue) > 0 && out < parallel && !l.Done(); out++ {
			q := queue[0]
			queue = queue[1:]
			go func() {
				a, err := r.ask(ctx, q, order)
				answers <- answered{q, a, err}
			}()
		}
		if out == 0 {
			return l.Result()
		}
		if l.Done() { // failed: the other answers are not needed
			cancel()
		}
		got := <-answers
		out--
		if got.err != nil {
			l.Failed(got.q, got.err)
		} else {
			l.Answered(got.q, got.a)
		}
	}
}

// ask sends one question to the servers in turn until one answers.
func (r *Resolver) ask(ctx context.Context, q dnsrule.Question, order func() []int) (dnsrule.Answer, error) {
	var last error
	for range maxRounds {
		for _, i := range order() {
			if ctx.Err() != nil {
				break
			}
			a, err := exchange(ctx, r.cfg.Servers[i], q, r.cfg.Timeout)
			if err == nil {
				r.recordOutcome(i, true)
				return a, nil
			}
			last = err
			if ctx.Err() == nil {
				r.recordOutcome(i, false)
			}
		}
	}
	if ctx.Err() != nil {
		last = errors.Join(last, ctx.Err())
	}
	return dnsrule.Answer{}, fmt.Errorf("no name server answered: %w", last)
}

func (r *Resolver) order() []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.servers.Order(time.Now())
}

func (r *Resolver) recordOutcome(i int, succeeded bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if succeeded {
		r.servers.Succeeded(i)
	} else {
		r.servers.Failed(i, time.Now())
	}
}
