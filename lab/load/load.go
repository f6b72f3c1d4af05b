// Package load draws what clients ask for ahead of time, as an open loop: arrivals never
// wait for answers, so a service that stalls is not asked for less by it.
package load

import (
	"math"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// Config describes the clients.
type Config struct {
	Rate         float64       // requests a second on the mean, arriving by chance (Poisson)
	BurstRate    float64       // the same during bursts; 0: none
	BurstEvery   time.Duration // from the beginning of one burst to the next
	BurstFor     time.Duration
	Classes      []float64 // the weight of each class
	Prefixes     int       // texts that sessions share, by a Zipf law
	Zipf         float64   // its exponent, over 1
	PrefixTokens float64   // the mean length of such a text
	Turns        float64   // of a session on the mean; each adds to its prompt
	Prompt       float64   // the median of what a turn adds, in tokens, with a heavy tail (log-normal)
	Answer       float64   // the median of an answer's tokens, likewise
	Spread       float64   // sigma of both
	Most         float64   // tokens that a prompt, and a tenth of it that an answer, may have
}

// Request is one of a client's.
type Request struct {
	At              time.Duration
	Class           int
	Session, Prefix uint64
	PrefixTokens    float64
	PromptTokens    float64
	AnswerTokens    int
}

// Source draws requests in the order of their arrival.
type Source struct {
	cfg      Config
	rng      *rand.Rand
	zipf     *rand.Zipf
	prompt   distuv.LogNormal
	answer   distuv.LogNormal
	lengths  []float64 // of the shared texts
	sessions []session
	at       time.Duration
	last     uint64
}

type session struct {
	id, prefix uint64
	tokens     float64
}

// mostSessions bounds the sessions that may have a further turn.
const mostSessions = 256

// New returns a source; the same seed draws the same requests.
func New(cfg Config, seed uint64) *Source {
	src := rand.NewPCG(seed, 29)
	s := &Source{cfg: cfg, rng: rand.New(src)}
	s.zipf = rand.NewZipf(s.rng, max(cfg.Zipf, 1.01), 1, uint64(max(cfg.Prefixes, 1)-1))
	s.prompt = distuv.LogNormal{Mu: math.Log(cfg.Prompt), Sigma: cfg.Spread, Src: src}
	s.answer = distuv.LogNormal{Mu: math.Log(cfg.Answer), Sigma: cfg.Spread, Src: src}
	for range max(cfg.Prefixes, 1) {
		s.lengths = append(s.lengths, cfg.PrefixTokens*(0.5+s.rng.Float64()))
	}
	return s
}

// rate is how many requests a second come at a time.
func (s *Source) rate(at time.Duration) float64 {
	if s.cfg.BurstRate > 0 && s.cfg.BurstEvery > 0 && at%s.cfg.BurstEvery < s.cfg.BurstFor {
		return s.cfg.BurstRate
	}
	return s.cfg.Rate
}

// Next draws the next request.
func (s *Source) Next() Request {
	// Thinned from the highest rate, so that bursts begin on time.
	highest := max(s.cfg.Rate, s.cfg.BurstRate)
	for {
		s.at += time.Duration(s.rng.ExpFloat64() / highest * 1e9)
		if s.rng.Float64()*highest < s.rate(s.at) {
			break
		}
	}
	r := Request{At: s.at, Class: s.class()}
	v := s.session()
	v.tokens = min(v.tokens+s.prompt.Rand(), s.cfg.Most)
	r.Session, r.Prefix = v.id, v.prefix
	r.PrefixTokens = min(s.lengths[v.prefix-1], v.tokens)
	r.PromptTokens = v.tokens
	r.AnswerTokens = 1 + int(min(s.answer.Rand(), s.cfg.Most/10))
	return r
}

func (s *Source) class() int {
	sum := 0.0
	for _, w := range s.cfg.Classes {
		sum += w
	}
	at := s.rng.Float64() * sum
	for i, w := range s.cfg.Classes {
		if at -= w; at < 0 {
			return i
		}
	}
	return 0
}

// session is one that goes on, or a new one.
func (s *Source) session() *session {
	if n := len(s.sessions); n > 0 && s.rng.Float64() < 1-1/max(s.cfg.Turns, 1) {
		return &s.sessions[s.rng.IntN(n)]
	}
	s.last++
	prefix := 1 + s.zipf.Uint64()
	v := session{id: s.last<<20 | 1, prefix: prefix, tokens: s.lengths[prefix-1]}
	if len(s.sessions) < mostSessions {
		s.sessions = append(s.sessions, v)
		return &s.sessions[len(s.sessions)-1]
	}
	i := s.rng.IntN(mostSessions)
	s.sessions[i] = v
	return &s.sessions[i]
}
