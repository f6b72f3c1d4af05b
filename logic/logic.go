// The interface of this module is logic/api.go. All decisions and constants are here.

package logic

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Constants. "Ours" marks a starting value of the design; the others guard or bound.
const (
	overlapWeight = 1.0              // cost of a missing prompt token, in tokens of load (ours)
	keepFor       = 30 * time.Second // a table entry unused for so long has aged out (ours)
	roomShare     = 0.9              // a writer with less of its memory held has room (ours)
	keysPerServer = 4096             // table entries a reader; more than it can keep itself
	homeTrust     = 0.95             // part of a prefix expected at its homes
	leastHomes    = 2                // readers that share the prompts of one prefix
	mostHomes     = 8
	mostUnseen    = 0.75             // four gateways have less; past it, own streams tell too little of load
	pullLeast     = 0.5              // of an average reader's part; in a cell without writers it is not idle
	pullMost      = 1.5              // of an average reader's part in a cell of few readers
	baseTokens    = 500              // tokens that the fixed cost of one attempt is worth
	tieTokens     = 150              // readers that differ by so little are alike to one of many gateways
	fastLearn     = 0.15             // weight of a new sample where there are many
	slowLearn     = 0.03             // weight of a new sample in a kind's pace
	maxRatio      = 16.0             // one sample says no more than this about a server
	suspectScale  = 3.0              // cost scale of a server after one bad sign
	farScale      = 1.15             // cost scale of a server in another zone
	waitLeast     = 0.2              // part of the aim the least worthy may wait behind a backlog
	mixedWeight   = 3.0              // of a mixed server's memory share against the writers'
	unknownMemory = 1e5              // tokens; only shares against like servers count then
	coldCaution   = 0.6              // part of the cold budget used; the rest is for chance
	rightsPart    = 0.4              // the same by rights alone, where little is seen of peers
	homePart      = 0.4              // and the other, where requests meet
	farWait       = 0.2              // seconds of wait at writers from which a cold one is worth a far move
	lull          = 4                // times the settings' time for a fall: rights come for so long at most
	coldHomes     = 8.0              // power of warmth that homes go by where rights seldom meet their prompts
	reachTries    = 3                // servers tried with one held state where connections fail
	answerPart    = 0.3              // guess of an answer's length as part of its limit, without a hint
	strayTimes    = 4.0              // a time is out of the usual when so many mean deviations past the mean
	callOffPart   = 0.3              // part of the aim that every attempt gets before it is called off
	shareSamples  = 60.0             // stream seconds that the mean of own shares is taken over
	quotaBurst    = 2.0              // seconds of quota that may come at once, beside what chance adds
	forgetSlow    = 10 * time.Second // a slowness not confirmed fades with this time constant
	firstBackoff  = time.Second      // a suspect's first trial; each further one twice as late
	maxBackoff    = 8 * time.Second
	fullBacklog   = time.Second           // backlog that a 'full' stands for
	ghostFade     = time.Second           // tokens that a time-out leaves behind drain so fast
	waitFade      = 2 * time.Second       // a wait not confirmed fades, so that servers are tried again
	unreadFade    = time.Second           // trust in a server's report of its read load fades
	shareFade     = 5 * time.Second       // the same of its memory, which changes with its answers
	rateMemory    = 10 * time.Second      // time constant of the rates that cold budgets go by
	quietFloor    = 50 * time.Millisecond // allowance of any attempt, and the step of its later checks
	holdStep      = 20 * time.Millisecond // a held request is looked at again after this
	holdMargin    = 30 * time.Millisecond // and given up so long before its deadline
	surveyEvery   = 50 * time.Millisecond // age of the means over all servers
	sweepEvery    = time.Second
	toldWithin    = 6 * time.Second // what discovery has to tell counts as told by then (protocol)
)

// average takes x into a fading mean. Its weight grows with the time since the last one: what is seldom
// heard of is believed at once, what is often heard of is averaged.
func (f *fading) average(now Time, over time.Duration, x, least float64) {
	a := finite(1-math.Exp(-3*math.Max(float64(now-f.at), 0)/float64(over)), least, 0.5)
	f.add(now, over, a*(x-f.value(now, over)))
}

// unusual is the time that hardly any attempt takes.
func (p *pace) unusual(tok float64) float64 { return p.seconds(tok) * (p.ratio + strayTimes*p.dev) }

func (p *pace) observe(tok, sec float64) {
	p.stray(tok, sec)
	p.n++
	a := math.Max(1/float64(p.n), slowLearn)
	p.tok += a * (tok - p.tok)
	p.sec += a * (sec - p.sec)
}

// stray notes how far one time lies from the pace; that of an attempt cut off counts as well, or a fleet
// that queues would have its reads cut off and read again until nothing else is read.
func (p *pace) stray(tok, sec float64) {
	x := finite(sec/p.seconds(tok), 0, maxRatio)
	p.dev += fastLearn * (math.Abs(x-p.ratio) - p.dev)
	p.ratio += fastLearn * (x - p.ratio)
}

// New returns an instance that knows nothing but its settings.
func New(set Settings, seed uint64) *Gateway {
	set.Gateways = max(set.Gateways, 1)
	// Unknown kinds and classes share a last entry each.
	set.Kinds = append(slices.Clone(set.Kinds), Kind{Role: RoleBoth})
	set.Classes = append(slices.Clone(set.Classes), Class{Aim: time.Second})
	g := &Gateway{set: set, peers: float64(set.Gateways - 1), rng: rand.New(rand.NewPCG(seed, 0)),
		byID: map[ServerID]*server{}, requests: map[RequestID]*request{}, homes: map[Key]*home{},
		reads: make([]pace, len(set.Kinds)), quota: make([]bucket, len(set.Tenants)),
		fetch: pace{tok: 1000, sec: 1e-3, ratio: 1, dev: 1}}
	g.blind = g.peers / float64(set.Gateways)
	prior := 1e-9
	for _, c := range set.Classes[:len(set.Classes)-1] {
		prior += c.AimPer1000.Seconds() / float64(len(set.Classes)-1)
		g.maxWorth = math.Max(g.maxWorth, c.Points)
	}
	for i := range g.reads { // until something was read, the aims' growth stands in for the pace
		g.reads[i] = pace{tok: 1000, sec: prior, ratio: 1, dev: 1}
	}
	return g
}

// Retune takes new rules for requests that arrive from now on: the classes by index, and the bound on
// attempts. Open requests keep the rules they arrived under.
func (g *Gateway) Retune(classes []Class, maxAttempts int) {
	g.set.Classes = append(slices.Clone(classes), Class{Aim: time.Second})
	g.set.MaxAttempts = maxAttempts
	for _, c := range classes {
		g.maxWorth = math.Max(g.maxWorth, c.Points)
	}
}

// Handle takes what was seen at now and appends what to do to actions.
func (g *Gateway) Handle(now Time, events []Event, actions []Action) []Action {
	g.now, g.out, g.born = now, actions, cmp.Or(g.born, now)
	for i := range events {
		e := &events[i]
		switch e.Kind {
		case ServersChanged:
			g.list(e)
		case Arrived:
			g.arrive(e.Request)
		case AnswerStarted:
			g.started(e)
		case AttemptEnded:
			g.ended(e)
		case ClientLeft:
			if r := g.requests[e.ID]; r != nil {
				r.closed = true
				g.drop(r)
			}
		case TimerFired:
			g.timer(RequestID(e.Token))
		case Closing:
			g.close(e.Latency)
		case LoadTold:
			g.tell(g.byID[e.Server], e.Load)
		}
	}
	g.sweep()
	actions, g.out = g.out, nil
	return actions
}

// ---- the list of servers

func (g *Gateway) list(e *Event) {
	if e.Whole {
		for _, s := range g.servers {
			s.listed = false
		}
	}
	for _, m := range e.Members {
		s := g.byID[m.Server]
		if s == nil {
			if m.Health == Gone {
				continue
			}
			s = &server{Member: m, kept: map[Key]entry{}, began: g.began(m), coldAt: g.now}
			g.byID[m.Server] = s
			g.servers = append(g.servers, s)
		} else if m.Since != s.Since && m.Health != Gone {
			// A restarted process keeps nothing, and what was held against the old one is void.
			s.kept, s.ghost, s.fails, s.shunned = map[Key]entry{}, fading{}, 0, 0
			s.slow, s.load, s.began, s.coldAt, s.coldLeft = fading{}, Load{}, g.began(m), g.now, 0
		}
		m.Kind = min(m.Kind, len(g.set.Kinds)-1)
		kind := g.set.Kinds[m.Kind]
		s.Member, s.listed, s.role = m, m.Health != Gone, kind.Role
		s.memory = cmp.Or(max(kind.MemoryTokens, 0), unknownMemory)
	}
	g.balance()
	g.surveyed = 0
}

// balance sets each reader's part of the traffic by the writers of its cell: their answers have to be
// written there, and a reader's own load shows nothing of it. What a cell's writers would get above an
// average writer's part all the same is their press.
func (g *Gateway) balance() {
	cells, all := map[int]*[3]float64{}, [3]float64{}
	g.warming = false
	for _, s := range g.servers {
		if cells[s.Cell] == nil {
			cells[s.Cell] = &[3]float64{}
		}
		if s.usable() {
			w := g.warmth(s)
			cells[s.Cell][s.role] += w
			all[s.role] += w
			g.warming = g.warming || w < 1
		}
	}
	pulls, sum := map[int]float64{}, 0.0
	for _, s := range g.servers {
		s.pull = 1
		if cell := cells[s.Cell]; s.role == RoleRead && s.usable() {
			s.pull = finite(cell[RoleWrite]/all[RoleWrite]*all[RoleRead]/cell[RoleRead], pullLeast, pullMost)
		}
		s.pull *= math.Pow(g.warmth(s), 1+coldHomes*g.unseen)
		if s.role == RoleRead && s.usable() {
			pulls[s.Cell] += s.pull
			sum += s.pull
		}
	}
	for _, s := range g.servers {
		s.press = finite(pulls[s.Cell]/sum*all[RoleWrite]/cells[s.Cell][RoleWrite], 1, 1e3)
	}
	for _, h := range g.homes {
		h.servers = nil
	}
}

// survey renews the means over all servers, the base of what is thought of peers.
func (g *Gateway) survey() {
	if g.surveyed != 0 && after(g.surveyed, g.now) < surveyEvery {
		return
	}
	var tokens, memory [3]float64
	streams, servers := 1.0, 1.0
	for i := range g.pools {
		g.pools[i].n, g.pools[i].roomiest = 0, nil
	}
	for i := range g.stages {
		g.stages[i].n, g.stages[i].units, g.stages[i].cold = 0, 0, g.stages[i].cold[:0]
	}
	for _, s := range g.servers {
		if p := &g.pools[s.role]; s.usable() {
			p.n++
			g.join(s, g.bears(s))
			if g.reports && (p.roomiest == nil || g.share(s) < g.share(p.roomiest)) {
				p.roomiest = s
			}
			tokens[s.role] += s.tokens
			memory[s.role] += s.memory
			streams += float64(s.streams)
			servers++
		}
	}
	// The fewer own streams there are, the longer they are averaged before they speak for the peers'.
	a := 1 - math.Exp(-after(g.surveyed, g.now).Seconds()*streams/shareSamples)
	for i := range g.pools {
		if p := &g.pools[i]; p.n > 0 && !g.reports {
			p.share += a * (tokens[i]/memory[i]*float64(g.set.Gateways) - p.share)
		}
	}
	g.unseen = g.blind / (1 + streams/servers)
	g.surveyed = g.now
}

// ---- intake

func (g *Gateway) arrive(q Request) {
	if g.requests[q.ID] != nil {
		return
	}
	if g.lastArrival != 0 {
		g.gap += fastLearn * (math.Min(after(g.lastArrival, g.now).Seconds(), 5) - g.gap)
	}
	g.lastArrival = g.now
	r := &request{Request: q, arrived: g.now}
	r.PromptTokens = finite(q.PromptTokens, 1, 1e7)
	r.PrefixTokens = finite(q.PrefixTokens, 0, r.PromptTokens)
	r.MaxTokens = finite(q.MaxTokens, 1, 1e6)
	r.Patience = min(max(q.Patience, 0), time.Hour)
	r.deadline = g.now + Time(r.Patience)
	r.most = g.set.MaxAttempts
	r.Class = min(max(q.Class, 0), len(g.set.Classes)-1)
	c := g.class(r)
	r.aim = min(c.Aim+time.Duration(float64(c.AimPer1000)*r.PromptTokens/1000), r.Patience)
	r.worth = 1
	if g.maxWorth > 0 {
		r.worth = c.Points / g.maxWorth
	}
	if !g.inQuota(r.Tenant) {
		r.worth *= g.set.OverShareWorth
	}
	answer := r.MaxTokens * answerPart
	if q.Hinted && c.TokenAim > 0 {
		answer = math.Min(r.MaxTokens, float64(q.AnswerHint)/float64(c.TokenAim))
	}
	r.memory = r.PromptTokens + answer
	g.requests[q.ID] = r
	g.meet(r)
	g.proceed(r)
}

// inQuota tells whether the tenant is within this gateway's even part of its quota. The burst allows for
// chance as well: of a small part, even traffic comes in lumps.
func (g *Gateway) inQuota(tenant int) bool {
	if tenant >= len(g.set.Tenants) || g.set.Tenants[tenant].QuotaPerSecond <= 0 {
		return true
	}
	b, rate := &g.quota[tenant], g.set.Tenants[tenant].QuotaPerSecond/float64(g.set.Gateways)
	burst := quotaBurst*rate + 2*math.Sqrt(quotaBurst*rate) + 1
	b.level = math.Min(burst, b.level+rate*after(b.at, g.now).Seconds()) // full at the start
	b.at = g.now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// hopeless tells whether even the best reader's backlog eats up the aim. A fleet that reads only what is late
// by then, for nobody, never comes back: so what would wait too long is refused, the less worthy the earlier,
// and so is what would not be read and fetched in the time that its client has left.
func (g *Gateway) hopeless(r *request, s *server) bool {
	told := g.blind * g.trust(s, unreadFade) * s.load.UnreadToken
	wait := g.readSeconds(s, g.pending(s)+told) + g.waitAt(s.role)
	need := g.readSeconds(s, g.missing(r, s)+baseTokens)
	full := 1.0 // where a writer reports room, waits of before are over; remembered, they would keep all out
	if s.role == RoleRead {
		need += g.fetch.seconds(r.PromptTokens + baseTokens)
		if w := g.pools[RoleWrite].roomiest; w != nil {
			full = finite(2*(g.share(w)+r.memory/w.memory)/roomShare-1, 0, 1)
		}
		wait += full * g.waitAt(RoleWrite)
	}
	// Nor does a wait show where it is hidden in what is usual by now, but first tokens come late for it.
	wait = math.Max(wait, full*g.delay.value(g.now, g.waitSpan()))
	r.need = need
	worth := r.worth
	if r.Resumed {
		worth = 1
	}
	if after(r.arrived, g.now) > r.aim {
		worth = 0
	}
	least := waitLeast * g.shared(r)
	limit := least + math.Max(0, math.Min(r.aim.Seconds()-need, g.shared(r))-least)*worth
	return wait > limit || seconds(wait+need) > after(g.now, r.deadline)
}

// shared is the wait, in seconds, that a request may add itself to: all classes wait in the same queues, so
// what is less worthy must not fill them past the aim of what is worth more.
func (g *Gateway) shared(r *request) float64 {
	aim := r.aim
	for _, c := range g.set.Classes {
		if c.Points > g.class(r).Points {
			aim = min(aim, c.Aim)
		}
	}
	return aim.Seconds()
}

func (g *Gateway) waited(role Role, sec float64) {
	g.pools[role].wait.average(g.now, g.waitSpan(), math.Max(0, sec), 0.02)
}

func (g *Gateway) waitSpan() time.Duration { return max(waitFade, seconds(3*g.gap)) }

// ---- reader choice

// meet finds the homes of the request's prefix by rendezvous hashing: with many gateways hardly any table
// holds what peers had read, but all of them hash alike. A frequent prefix has more homes; the first of
// them is the one where the request's session meets. So do sessions that share nothing, where little is seen.
func (g *Gateway) meet(r *request) {
	if g.surveyed == 0 {
		g.survey()
	}
	key := r.Prefix
	if r.PrefixTokens <= 0 {
		key = 0
		if g.unseen > mostUnseen {
			key = r.Session
		}
	}
	if r.meets = key; key == 0 || g.peers == 0 {
		return
	}
	h := g.homes[key]
	if h == nil {
		if len(g.homes) >= keysPerServer {
			clear(g.homes)
		}
		h = &home{}
		g.homes[key] = h
	}
	h.seen.add(g.now, keepFor, 1)
	g.seen.add(g.now, keepFor, 1)
	if h.servers == nil {
		for _, s := range g.servers {
			if s.usable() && s.role != RoleWrite {
				h.servers = append(h.servers, s)
			}
		}
		byHash(h.servers, func(s *server) float64 { return -math.Log(hash(key, s.Server)) / s.pull })
	}
	// What is seldom seen is no measure: gateways that count on other homes send a session's turns apart.
	n := len(h.servers)
	most := min(n, mostHomes, leastHomes+int((h.seen.v-1)/(g.seen.v+float64(n))*float64(n)))
	r.homes = slices.Clone(h.servers[:most])
	byHash(r.homes, func(s *server) float64 { return hash(r.Session, s.Server) })
	r.renewed = math.Min(1, h.seen.v/2)
}

// missing is the part of a prompt to be read at s: what the table does not hold there and, at the homes
// of its prefix, peers will not have had read. Away from them a prefix stays kept only if own requests
// alone come often enough.
func (g *Gateway) missing(r *request, s *server) float64 {
	e, own := s.holds(r)
	promise, home := e.tokens, slices.Index(r.homes, s)
	if after(e.used, g.now) >= keepFor {
		promise = 0
	} else if !own && home < 0 && r.homes != nil {
		promise *= r.renewed
	}
	if home >= 0 {
		promise = math.Max(promise, homeTrust*r.PrefixTokens)
	}
	if home == 0 {
		promise = math.Max(promise, (r.PrefixTokens+r.PromptTokens)/2)
	}
	return r.PromptTokens - promise
}

// pickReader is the design's rule: the lowest overlap weight x missing tokens + read load. Where most
// traffic is peers', readers that look alike are told apart by chance, or all gateways take the same.
func (g *Gateway) pickReader(r *request) *server {
	answering := g.pools[RoleWrite].share
	if g.pools[RoleWrite].n == 0 {
		answering = roomShare
	}
	return g.pick(r, func(s *server) (class int, cost float64) {
		if s.role == RoleWrite { // only when no reader is left
			if class = 64; !g.set.WritersRead {
				class = never
			}
		}
		cost = (overlapWeight*g.missing(r, s) + baseTokens + g.pending(s) + g.reported(s)) * g.scale(s)
		cost += tieTokens * g.unseen * g.rng.ExpFloat64() / s.pull
		if s.role == RoleBoth { // answers that run there wait for the read, and are load as well
			cost += math.Max(0, mixedWeight*g.share(s)-answering) * s.memory
			if g.share(s) >= roomShare {
				class = 8
			}
		}
		return class, cost
	})
}

const never = math.MaxInt

// pick returns the allowed server of the lowest class, and among those of the lowest cost. What was tried
// comes later and suspects last, but none is left out: when all look bad, the least bad is chosen.
func (g *Gateway) pick(r *request, weigh func(*server) (int, float64)) *server {
	var best *server
	bestClass, bestCost := never, math.Inf(1)
	few, jam := g.unseen > mostUnseen, g.waitAt(RoleWrite) > farWait
	for _, s := range g.servers {
		if !g.allowed(r, s) {
			continue
		}
		class, cost := weigh(s)
		if class == never {
			continue
		}
		if slices.Contains(r.tried, s) {
			class += 8
		} else if few && s.fails == 0 && g.bears(s) < 1 && (class == 0 || r.reader == nil || jam) {
			class -= 32 // a right that is not used lapses, and of many gateways each has few
		}
		if s.fails > 1 && (g.now < s.shunned || r.failed > 0) {
			class += 16
		}
		if class < bestClass || class == bestClass && cost < bestCost {
			best, bestClass, bestCost = s, class, cost
		}
	}
	return best
}

// pending is the read load that this gateway put on s: what is out, and what time-outs left behind, or a
// server that times out would look idle just when it is not.
func (g *Gateway) pending(s *server) float64 { return s.unread + s.ghost.value(g.now, ghostFade) }

// trust in a server's own report falls with its age; none is as old as can be.
func (g *Gateway) trust(s *server, over time.Duration) float64 {
	if !s.load.HasMemory && !s.load.HasUnread {
		return 0
	}
	return math.Exp(-float64(after(s.loadAt, g.now)) / float64(over))
}

// reported is the peers' part of the read load that s reports, or of the mean as the report ages.
func (g *Gateway) reported(s *server) float64 {
	mean := g.pools[s.role].unread.value(g.now, g.waitSpan())
	return g.blind * (mean + g.trust(s, unreadFade)*(s.load.UnreadToken-mean))
}

// tell takes a server's report into its model and into the means of its role.
func (g *Gateway) tell(s *server, l Load) {
	if s == nil || !l.HasMemory && !l.HasUnread {
		return
	}
	l.MemoryShare, l.UnreadToken = finite(l.MemoryShare, 0, 1), finite(l.UnreadToken, 0, 1e7)
	s.load, s.loadAt, s.since = l, g.now, 0
	p := &g.pools[s.role]
	p.reports++
	a := math.Max(fastLearn, 1/float64(p.reports))
	if l.HasMemory {
		g.reports, p.share = true, p.share+a*(l.MemoryShare-p.share)
	}
	p.unread.average(g.now, g.waitSpan(), l.UnreadToken, fastLearn)
}

// allowed keeps the rules: drains, cold servers, and the group of a by-key request; proceed, its window.
func (g *Gateway) allowed(r *request, s *server) bool {
	if !s.usable() || s != r.guest && !g.coldRoom(s) || s.role == RoleRead && r.reader != nil {
		return false
	}
	if r.mayHaveRun {
		switch c := g.class(r); {
		case c.Effect == EffectByKey && c.Group == GroupZone:
			return s.Zone == r.ranServer.Zone
		case c.Effect == EffectByKey && c.Group == GroupCell:
			return s.Cell == r.ranServer.Cell
		}
	}
	return true
}

// ---- writer choice

// pickWriter takes the writer of the reader's cell with the lowest memory share, if it has room; else
// the best one elsewhere; if none has room, the near one with fewest own streams.
func (g *Gateway) pickWriter(r *request) *server {
	// Where own streams tell little, the press of the cell's writers goes wherever there is most room.
	roam := g.rng.Float64() < g.unseen*(1-1/r.reader.press)
	return g.pick(r, func(s *server) (class int, cost float64) {
		near, scale := s.Cell == r.reader.Cell, g.scale(s)
		share := (g.share(s) + r.memory/s.memory) * scale
		// What peers have there is off its mean by chance: the fewer streams, the more.
		mean := g.blind * g.pools[s.role].share
		chance := (1e-3*g.blind + mean/math.Sqrt(1+mean*s.memory/r.memory)) * g.rng.ExpFloat64() * scale
		switch {
		case share < roomShare && (near || roam) && s.role == RoleWrite:
		case share < roomShare && s.role == RoleWrite:
			class = 1
		case share < roomShare: // mixed servers have work of their own
			class = 2
		case near:
			return 3, float64(s.streams+1)*scale + chance
		default:
			return 4, float64(s.streams+1)*scale + chance
		}
		return class, share + chance
	})
}

// share is the part of a server's memory that is held: its last report plus own tokens sent since, and
// the mean of the reports as it ages. Without reports own tokens speak for the peers' as far as there
// are enough of them, and their mean for the rest.
func (g *Gateway) share(s *server) float64 {
	mean := g.pools[s.role].share
	if !g.reports {
		return s.turnedAway(g.now) + s.tokens/s.memory*(1+g.peers*(1-g.unseen)) + g.blind*mean*g.unseen
	}
	return s.turnedAway(g.now) + mean + g.trust(s, shareFade)*(s.load.MemoryShare-mean) + s.since/s.memory
}

// ---- health

// scale makes a token at s dearer by all that makes s slow: its observed pace, a bad sign, distance, cold.
func (g *Gateway) scale(s *server) float64 {
	v := g.slowness(s) / math.Pow(math.Max(g.warmth(s), 0.05), 1-g.unseen)
	if g.now < s.shunned { // one bad sign may be chance: dearer, but not out
		v *= suspectScale
	}
	v *= g.distance(s)
	if g.set.Weights && s.Weight > 0 {
		v /= s.Weight
	}
	return v
}

func (g *Gateway) slowness(s *server) float64 {
	return math.Max(1+s.slow.value(g.now, forgetSlow), 0.3)
}

func (g *Gateway) sample(s *server, ratio float64) {
	s.slow.average(g.now, forgetSlow, finite(ratio, 0.2, maxRatio)-1, fastLearn)
}

// bears is the warmth that sends go by. A server that could not be reached twice may have started anew: it is
// sent as to a cold one since, until discovery would have told of a start. Trials go on where much is seen.
func (g *Gateway) bears(s *server) float64 {
	w, gone := g.warmth(s), after(s.lost, g.now)
	trial := g.unseen <= mostUnseen && s.shunned != 0 && g.now >= s.shunned && s.waiting == 0
	if s.lost == 0 || gone >= toldWithin || trial || g.set.FallMultiple <= 0 || g.set.FallAfter <= 0 {
		return w
	}
	return math.Min(w, g.set.ColdShare+(1-g.set.ColdShare)*gone.Seconds()/toldWithin.Seconds())
}

// coldRoom tells whether this gateway may send to s now. To a fresh server it has rights to single sends,
// that come with time: its part of what the settings let all send, by the rate that a unit of warmth bears.
// Its part of that rate is what its own requests had there, so the parts of all make up the fleet's rate,
// however uneven. Parts of a right are drawn for. Rights lapse: from a lull, they would be used at once.
func (g *Gateway) coldRoom(s *server) bool {
	w := g.bears(s)
	if w >= 1 {
		return true
	}
	least := 1 / float64(g.set.Gateways) / g.set.FallAfter.Seconds() // one a window of all: warming has to begin
	part := coldCaution
	if g.unseen > mostUnseen {
		part = rightsPart // where requests meet, cold servers have another
	}
	rate := math.Max(part*g.set.FallMultiple*w*g.stages[s.role.stage()].borne(g.now, g.born), least)
	if g.now >= s.coldUntil {
		s.coldLeft = 0
	}
	if n := int(rate*min(after(s.coldAt, g.now), lull*g.set.FallAfter).Seconds() + g.rng.Float64()); n > 0 {
		s.coldLeft, s.coldUntil = s.coldLeft+n, g.now+Time(g.set.FallAfter)
	}
	s.coldAt = g.now
	return s.coldLeft > 0
}

// ask counts a request at the stage that it comes to. Until it ends it stands for what servers bear however
// warm; done, for what their warmth did; failed, for nothing.
func (g *Gateway) ask(r *request) {
	st := &g.stages[r.stage()]
	if r.asked == st || st.n == 0 {
		return
	}
	g.told(r, false)
	r.asked, r.part = st, (1-g.unseen/2)/st.n
	st.did.add(g.now, rateMemory, r.part)
	st.asks.add(g.now, rateMemory, 1)
	if r.guest = nil; g.unseen > mostUnseen {
		g.invite(r, st)
	}
}

// invite lets a part of the requests go without a right to the cold server at which a request meets others of
// its kind, by its beginning or near its reader: the less, the more of this gateway's last ones met there. It
// bounds the mean of what all let go to one server, however requests fall on servers: where k of m met there,
// each with the chance h, E[h(m+1)/(k+1)] < 1, and that k = 0 counts twice adds 1/e at most.
func (g *Gateway) invite(r *request, st *stage) {
	key := cmp.Or(r.meets, Key(r.ID))
	if r.reader != nil {
		key = Key(r.reader.Cell + 1)
	}
	at, k, m := st.coldest(key), 0.0, 1.0
	for _, p := range st.past {
		if p.key != 0 && after(p.at, g.now) < keepFor {
			m++
			if at != nil && (p.key == key || st.coldest(p.key) == at) {
				k++
			}
		}
	}
	st.past[st.last%len(st.past)] = meeting{key, g.now}
	st.last++
	if k == 0 {
		m *= 2
	}
	if at != nil && g.rng.Float64()*(k+1)/m < homePart*g.set.FallMultiple*g.bears(at)*st.did.v/st.asks.v {
		r.guest = at
	}
}

// suspect takes a server out of the ordinary path; single trials, ever later, bring it back. Where this
// gateway seldom sends to any one server, a trial costs as much and tells as little: they are later.
func (g *Gateway) suspect(s *server) {
	unit := min(max(firstBackoff, seconds(g.gap*float64(g.pools[s.role].n))), maxBackoff)
	wait := min(unit<<min(s.fails, 6), max(maxBackoff, 2*unit))
	s.fails++
	s.shunned = g.now + Time(float64(wait)*(0.8+0.4*g.rng.Float64()))
}

// ---- sends and outcomes

// send starts the one attempt of a request, charges it, and budgets its time-out.
func (g *Gateway) send(r *request, s *server) {
	if g.bears(s) < 1 {
		s.coldLeft--
	}
	if s.shunned != 0 && g.now >= s.shunned { // its trial: one at a time
		s.shunned = g.now + Time(firstBackoff)
	}
	r.charge, r.ahead = 0, 0
	if r.reader == nil {
		r.charge, r.ahead = g.missing(r, s), g.pending(s)+g.reported(s)
		s.unread += r.charge
		s.record(r, g.now)
	}
	r.phase = reading
	if s.role != RoleRead {
		r.phase = writing
		s.streams++
		s.tokens += r.memory
		s.since += r.memory
	}
	if s.waiting == 0 {
		s.quiet = g.now
	}
	s.waiting++
	r.out, r.called, r.server, r.sentAt, r.check = true, false, s, g.now, math.MaxInt64
	r.sends++
	g.do(Action{Kind: Send, ID: r.ID, Server: s.Server, After: g.budget(r, s), Reach: g.reach(r)})
}

// reach: an attempt must reach its server within this. A state counts as held until then; a try gets a part.
func (g *Gateway) reach(r *request) time.Duration {
	if r.reader == nil {
		return 0
	}
	return min(g.set.ReleaseWithin/reachTries, after(g.now, r.heldSince)+g.set.ReleaseWithin)
}

// budget is the time-out of an attempt: past all that is usual and a good part of the aim, if another try
// can still make it then. A server that is at work on other requests is slow, not silent: cutting it off
// would only have the prompt read twice. So where calls may be called off, this is for the silent alone.
func (g *Gateway) budget(r *request, s *server) time.Duration {
	left := after(g.now, r.deadline)
	p, _ := g.stage(r, s)
	// Nothing may be kept there. What is called off at a writer loses its place, and waits as long at the next.
	d := seconds(p.unusual(r.PromptTokens+r.ahead+baseTokens)) + quietFloor
	if r.reader != nil {
		d += seconds(2 * g.waitAt(s.role))
	}
	d = max(d, time.Duration(callOffPart*float64(r.aim)))
	// What must not run twice is not called off once it may run: nothing could be tried after it.
	last := r.sends-r.unreached >= r.most || s.role != RoleRead && g.class(r).Effect == EffectOnce
	if d > left/2 || last {
		d = left
	} else if g.set.CancelAllowed {
		r.check = g.now + Time(d)
		g.arm(r, d)
		d = left
	}
	return max(d, time.Millisecond)
}

// stage is the pace that an attempt goes by, and the tokens that it is worth there.
func (g *Gateway) stage(r *request, s *server) (*pace, float64) {
	if r.reader != nil {
		return &g.fetch, r.PromptTokens + baseTokens
	}
	return &g.reads[s.Kind], r.charge + r.ahead + baseTokens
}

func (g *Gateway) started(e *Event) {
	r := g.requests[e.ID]
	if r == nil || !r.out || r.phase != writing {
		return
	}
	r.settle()
	g.tell(r.server, e.Load)
	g.learn(r, r.server, e.Latency)
	r.phase = streaming
	g.delay.average(g.now, g.waitSpan(), math.Max(0, after(r.arrived, g.now).Seconds()-r.need), 0.02)
	if r.reader == nil {
		r.server.record(r, g.now)
	}
	r.reader = nil // FIRST lets go of the rest
}

// learn compares an attempt's time with the pace of its kind. A wait for a writer is all of its time.
func (g *Gateway) learn(r *request, s *server, took time.Duration) {
	s.quiet, s.fails, s.shunned = g.now, 0, 0
	g.told(r, true)
	p, tok := g.stage(r, s)
	sec, want := took.Seconds(), p.seconds(tok)
	if p.n > 0 {
		g.sample(s, sec/want)
	}
	if r.reader != nil {
		want = 0
	}
	if r.reader != nil || g.peers > 0 {
		g.waited(s.role, sec-want)
	}
	if r.reader == nil || !g.reports || g.share(s) < roomShare { // a wait for room is no pace
		p.observe(tok, sec)
	}
}

// unanswered takes an attempt without an outcome of its own for one that took so long at least.
func (g *Gateway) unanswered(r *request, s *server) {
	p, tok := g.stage(r, s)
	sec := after(r.sentAt, g.now).Seconds()
	most := p.seconds(tok) * (p.ratio + strayTimes/2*p.dev)
	if sec < most { // its client's time was short, which says nothing of the server
		return
	}
	// Beside many answers that come at once, one that does not is lost; in a jam it is a longer wait.
	bound := (2*g.waitAt(s.role) + quietFloor.Seconds()) / (1 - g.unseen)
	g.waited(s.role, math.Min(sec-p.seconds(tok), bound))
	g.sample(s, sec/p.seconds(tok))
	p.stray(tok, most)       // a jam raises the time-outs by and by; silent servers must not do so at once
	if s.quiet <= r.sentAt { // nothing at all since: silent, not just slow
		g.suspect(s)
	}
}

func (g *Gateway) ended(e *Event) {
	r := g.requests[e.ID]
	if r == nil || !r.out {
		return
	}
	s, was := r.server, r.phase
	r.free(g.now, e.Unreached)
	g.tell(s, e.Load)
	if was != streaming {
		r.settle()
	}
	if was != reading {
		s.streams--
		s.tokens = math.Max(0, s.tokens-r.memory)
	}
	g.judge(r, s, e)
	g.told(r, false)
	r.closed = r.closed || e.Closed
	noState := e.Status == Full && e.Kept == 1
	if e.Status == PromptRead {
		r.reader = s
	} else if was == reading && e.Status != Rejected || noState {
		// The state is lost to us, but a reader behind a cut path may still hold it: always let go.
		r.reader = nil
		g.do(Action{Kind: Release, ID: r.ID})
	}
	never := e.Status == Full || e.Status == ConnectFailed || e.Status == NotSent || e.Status == PromptRead
	if was == writing && !never && !r.mayHaveRun {
		r.mayHaveRun, r.ranAt, r.ranServer = true, r.sentAt, s
	}
	if e.Status != PromptRead && !noState && !e.Stale {
		r.tried = append(r.tried, s)
		r.failed++
	}
	switch {
	case r.closed:
		g.drop(r)
	case e.Status == NotSent || e.Status == Rejected:
		g.giveUp(r)
	case e.Status == Full && !noState && r.sends > 2:
		g.hold(r) // where all are full, asking each of them at once only adds to it
	default:
		g.proceed(r)
	}
}

// proceed takes a request with no attempt out on: to a writer with its state, or to a reader.
func (g *Gateway) proceed(r *request) {
	if r.reader != nil && g.reach(r) < g.set.ReleaseWithin/reachTries/2 {
		r.reader = nil // too late to reach a writer with it: it is let go of, and the prompt read again
		g.do(Action{Kind: Release, ID: r.ID})
	}
	spent := g.closing || r.sends-r.unreached >= r.most || after(g.now, r.deadline) <= holdMargin
	c := g.class(r)
	over := c.Effect == EffectOnce || c.Effect == EffectByKey && after(r.ranAt, g.now) >= c.RepeatWindow
	if spent || r.mayHaveRun && over {
		g.giveUp(r)
		return
	}
	var s *server
	g.survey()
	g.ask(r)
	if r.reader != nil {
		s = g.pickWriter(r)
	} else if s = g.pickReader(r); s != nil && g.hopeless(r, s) {
		g.giveUp(r)
		return
	}
	if s == nil {
		g.hold(r)
		return
	}
	g.send(r, s)
}

// judge draws from an outcome what it says of the server.
func (g *Gateway) judge(r *request, s *server, e *Event) {
	switch e.Status {
	case PromptRead:
		r.charge = math.Max(0, r.PromptTokens-float64(e.Kept)) // a failed promise is not the server's slowness
		g.learn(r, s, e.Latency)
		// A shortfall of kept tokens voids nothing: what was just read is kept again, and other entries
		// still lead their sessions back to one reader instead of scattering them over all.
		s.record(r, g.now)
	case Served:
		s.quiet, s.fails, s.shunned = g.now, 0, 0
	case Full, Rejected:
		if s.quiet = g.now; e.Kept == 1 || e.Unreached || e.Status == Rejected { // it has room
			break
		}
		// Its queue is full, whatever this gateway has there: peers' work, or left behind.
		g.waited(s.role, fullBacklog.Seconds())
		full := s.memory // of a writer: without own streams it would look the emptiest
		if s.role != RoleWrite {
			full = fullBacklog.Seconds() / g.readSeconds(s, 1)
		}
		s.ghost.add(g.now, ghostFade, math.Max(0, full-s.ghost.value(g.now, ghostFade)))
	case TimedOut, Cancelled:
		s.ghost.add(g.now, ghostFade, r.charge)
		if e.Status == TimedOut || r.called {
			g.unanswered(r, s)
		}
	case ConnectFailed, ConnectionReset:
		if e.Stale { // the connection's fault
			break
		}
		// A dead process keeps nothing; a path that is cut keeps it from us all the same.
		s.kept = map[Key]entry{}
		g.suspect(s)
		s.missed(g.now, e.Status == ConnectFailed, g.set.FallAfter)
	case ServerError:
		g.sample(s, 2)
	}
}

// ---- timers and release

// hold keeps a request for a moment: no server may take it now.
func (g *Gateway) hold(r *request) {
	stateDue := r.reader != nil && r.unreached == 0 && after(r.heldSince, g.now) > g.set.ReleaseWithin/2
	if after(g.now, r.deadline) <= holdMargin+holdStep || stateDue {
		g.giveUp(r)
		return
	}
	r.check = g.now + Time(holdStep)
	g.arm(r, holdStep)
}

func (g *Gateway) timer(id RequestID) {
	r := g.requests[id]
	switch {
	case r != nil && !r.closed && r.phase == streaming && g.ending:
		g.do(Action{Kind: Move, ID: id})
	case r == nil || r.closed || g.now < r.check || r.phase == streaming || r.out && r.called:
	case !r.out:
		g.proceed(r)
	case r.server.quiet <= r.sentAt:
		r.called = true
		g.do(Action{Kind: CallOff, ID: r.ID, Attempt: r.sends - 1})
	default:
		r.check = g.now + Time(quietFloor)
		g.arm(r, quietFloor)
	}
}

// giveUp answers at once: a refusal where the rules allow one, with advice when to come back.
func (g *Gateway) giveUp(r *request) {
	a, c := Action{Kind: Refuse, ID: r.ID}, g.class(r)
	if r.mayHaveRun && (c.Effect == EffectOnce || c.Effect == EffectByKey && c.Group != GroupAll) {
		a.Kind = Fail
	} else if g.set.RetryAfter {
		a.After = time.Duration(float64(g.set.MaxRetryAfter) * (0.5 + 0.5*g.rng.Float64()))
	}
	g.do(a)
	r.closed = true
	g.drop(r)
}

// close ends what is in hand before the instance ends: answers that have begun move, where their clients
// come again for the rest, and requests that wait for one are called off and answered. Until all of that
// is due, answers move one by one: each is read anew elsewhere, and all at once would jam the readers.
func (g *Gateway) close(in time.Duration) {
	g.ending, g.closing = true, in <= 0
	ids := slices.Sorted(maps.Keys(g.requests))
	for i, id := range ids {
		switch r := g.requests[id]; {
		case r.closed:
		case r.phase == streaming && g.set.Resume:
			g.arm(r, in*time.Duration(i)/time.Duration(len(ids)))
		case r.phase == streaming || !g.closing:
		case r.out:
			r.called = true
			g.do(Action{Kind: CallOff, ID: id, Attempt: r.sends - 1})
		default:
			g.giveUp(r)
		}
	}
}

// drop forgets a request that has ended, once nothing of it is out, and lets go of what is held for it.
func (g *Gateway) drop(r *request) {
	if r.out {
		return
	}
	if r.reader != nil {
		g.do(Action{Kind: Release, ID: r.ID})
		r.reader = nil
	}
	g.told(r, false)
	delete(g.requests, r.ID)
}
