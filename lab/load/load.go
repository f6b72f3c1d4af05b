// Package load generates the requests of clients as an open loop: arrivals do not wait for answers,
// so a service that stalls still gets its full load.
package load

import (
	"math"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// Config describes the clients.
type Config struct {
	Rate         float64       // mean requests a second; arrivals are a Poisson process
	BurstRate    float64       // mean requests a second during bursts; 0: no bursts
	BurstEvery   time.Duration // from the beginning of one burst to the next
	BurstFor     time.Duration
	Classes      []float64 // the weight of each class
	Prefixes     int       // number of shared texts; sessions choose one by a Zipf law
	Zipf         float64   // exponent of the Zipf law, over 1
	PrefixTokens float64   // mean length of a shared text
	Turns        float64   // mean number of turns of a session; each turn adds to its prompt
	Prompt       float64   // median of the tokens that a turn adds (log-normal)
	Answer       float64   // median of an answer's tokens (log-normal)
	Spread       float64   // sigma of Prompt and Answer
	MaxTokens    float64   // maximum of a prompt's tokens; an answer's maximum is a tenth of it
}

// Request is one request of a client.
type Request struct {
	At              time.Duration
	Class           int
	Session, Prefix uint64
	PrefixTokens    float64
	PromptTokens    float64
	AnswerTokens    int
}

// Source generates requests in the order of their arrival.
type Source struct {
	cfg      Config
	rng      *rand.Rand
	zipf     *rand.Zipf
	prompt   distuv.LogNormal
	answer   distuv.LogNormal
	lengths  []float64 // of the shared texts, in tokens
	sessions []session
	at       time.Duration
	last     uint64 // number of the latest session
}

type session struct {
	id, prefix uint64
	tokens     float64
}

// maxSessions is the maximum number of sessions that may have a further turn.
const maxSessions = 256

// New returns a source. The same seed generates the same requests.
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

// rate returns the mean requests a second at a time.
func (s *Source) rate(at time.Duration) float64 {
	if s.cfg.BurstRate > 0 && s.cfg.BurstEvery > 0 && at%s.cfg.BurstEvery < s.cfg.BurstFor {
		return s.cfg.BurstRate
	}
	return s.cfg.Rate
}

// Next returns the next request.
func (s *Source) Next() Request {
	// Arrivals are drawn at the highest rate and thinned, so that bursts begin on time.
	highest := max(s.cfg.Rate, s.cfg.BurstRate)
	for {
		s.at += time.Duration(s.rng.ExpFloat64() / highest * 1e9)
		if s.rng.Float64()*highest < s.rate(s.at) {
			break
		}
	}
	r := Request{At: s.at, Class: s.class()}
	v := s.session()
	v.tokens = min(v.tokens+s.prompt.Rand(), s.cfg.MaxTokens)
	r.Session, r.Prefix = v.id, v.prefix
	r.PrefixTokens = min(s.lengths[v.prefix-1], v.tokens)
	r.PromptTokens = v.tokens
	r.AnswerTokens = 1 + int(min(s.answer.Rand(), s.cfg.MaxTokens/10))
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

// session returns a session that continues, or a new one.
func (s *Source) session() *session {
	if n := len(s.sessions); n > 0 && s.rng.Float64() < 1-1/max(s.cfg.Turns, 1) {
		return &s.sessions[s.rng.IntN(n)]
	}
	s.last++
	prefix := 1 + s.zipf.Uint64()
	v := session{id: s.last<<20 | 1, prefix: prefix, tokens: s.lengths[prefix-1]}
	if len(s.sessions) < maxSessions {
		s.sessions = append(s.sessions, v)
		return &s.sessions[len(s.sessions)-1]
	}
	i := s.rng.IntN(maxSessions)
	s.sessions[i] = v
	return &s.sessions[i]
}
