// Package outlier removes failing workers from use at all routers of a fleet by agreement.
//
// Each router judges workers by the results of its own attempts. Routers forward judgements and the
// counts behind them to each other; each judgement is valid for a stated time. A worker is out for
// the whole fleet while a quorum of routers judges its present incarnation to be faulty, while
// these routers are not all in one zone (if the fleet has several), and while the failures that
// they counted together reach a minimum: a router with little traffic sees few failures. At most a
// stated share of a group of workers, those of one kind or of one zone, is out; if more would be,
// those with the least agreement stay in. A worker returns in steps.
//
// A router to which most workers appear faulty probably has a faulty link, and judges no worker.
// The judgements of a router that judges more workers than may be out are ignored.
//
// The package does no I/O and starts no goroutines; the clock is an argument. A Detector is not
// safe for concurrent use.
package outlier

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Time is a reading of the caller's monotonic clock from an arbitrary start.
type Time time.Duration

// Fault is the way in which a worker fails.
type Fault uint8

// The faults of a worker.
const (
	None    Fault = iota
	Errors        // it answers with errors
	Resets        // it resets connections
	Connect       // it can't be reached
	Silent        // it does not answer in time
)

// String implements fmt.Stringer.
func (f Fault) String() string {
	return [...]string{"none", "errors", "resets", "connect", "silent"}[min(f, Silent)]
}

const (
	evidenceDecay = 5 * time.Second // time constant of the attempt counts
	minFailures   = 0.5             // decayed failures that a single judgement requires
	maxAttempts   = 1e6             // attempts; larger counts in a message are invalid
	// failingShare is the failed fraction of the attempts at a worker from which it may be judged.
	failingShare = 0.5
	// failureRateFactor is the multiple of the other workers' failure rate that is required as well.
	failureRateFactor = 3.0
	returnSteps       = 4  // steps by which a returning worker's share grows
	maxJudgements     = 32 // judgements in a message
	maxWorkers        = 4096
	maxDoublings      = 3 // doublings of the hold time for a worker that is judged repeatedly
)

// Config lists the routers and sets the limits for taking workers out.
type Config struct {
	Self   string
	Zones  map[string]string // zone of each router, including Self; "" is also a zone
	Quorum int               // routers that must agree, including this one
	MaxOut float64           // fraction of a group of workers that may be out, 0 to 0.5
	// Failures counted by all judging routers together that take a worker out.
	MinFailures float64
	Hold        time.Duration // validity of a judgement unless it is renewed
	Return      time.Duration // time until a returning worker has all of its traffic again
}

// ErrConfig is wrapped by the errors for an invalid Config.
var ErrConfig = errors.New("outlier detection")

func (c *Config) check() error {
	_, self := c.Zones[c.Self]
	switch {
	case !self:
		return fmt.Errorf("%w: self is %q, not among the routers", ErrConfig, c.Self)
	case c.Quorum < 1:
		return fmt.Errorf("%w: quorum is %d, must be at least 1", ErrConfig, c.Quorum)
	case !(c.MaxOut >= 0 && c.MaxOut <= 0.5):
		return fmt.Errorf("%w: most_out is %v, must be from 0 to 0.5", ErrConfig, c.MaxOut)
	case !(c.MinFailures > 0):
		return fmt.Errorf("%w: least is %v, must be greater than 0", ErrConfig, c.MinFailures)
	case c.Hold <= 0 || c.Return < 0:
		return fmt.Errorf("%w: hold is %v and return %v, want hold > 0 and return >= 0", ErrConfig, c.Hold, c.Return)
	}
	return nil
}

// Judgement is one router's judgement of one worker.
type Judgement struct {
	Worker      string `cbor:"1,keyasint"`
	Since       int64  `cbor:"2,keyasint"` // the worker's incarnation
	Origin      string `cbor:"3,keyasint"` // the router that judges
	Incarnation uint64 `cbor:"4,keyasint"` // incarnation of Origin
	// Judgements with a higher number replace earlier ones of the same origin.
	Seq    uint64  `cbor:"5,keyasint"`
	Fault  Fault   `cbor:"6,keyasint"` // None withdraws the judgement
	Bad    float64 `cbor:"7,keyasint"` // recent failed attempts, decayed
	Good   float64 `cbor:"8,keyasint"` // recent successful attempts, decayed
	LeftMs uint32  `cbor:"9,keyasint"` // remaining validity
}

// Worker is a worker that the routers share.
type Worker struct {
	Name  string
	Since int64  // its incarnation
	Kind  string // the workers of one kind, or of one zone, must not all be out
	Zone  string
}

// Detector holds one router's evidence and the judgements of all routers.
type Detector struct {
	cfg         Config
	incarnation uint64
	seq         uint64
	evidence    map[string]*evidence
	judgements  map[string]map[string]*timedJudgement // by worker and origin
	returning   map[string]Time                       // when workers that were out began to return
	out         map[string]bool
	next        int // rotates the others' judgements in Judgements
}

// evidence is the results of recent own attempts at a worker.
type evidence struct {
	since       int64
	good        float64
	bad         [Silent + 1]float64
	updatedAt   Time
	judgedTimes int // judgements in short succession
	judgedUntil Time
}

type timedJudgement struct {
	Judgement
	until Time
}

// New returns a detector without evidence. The incarnation increases with each start.
func New(cfg Config, incarnation uint64) (*Detector, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	return &Detector{cfg: cfg, incarnation: incarnation, evidence: map[string]*evidence{}, judgements: map[string]map[string]*timedJudgement{},
		returning: map[string]Time{}, out: map[string]bool{}}, nil
}

// SetIncarnation sets a newer incarnation for this process. Its judgements carry the newer one from
// then on, and earlier ones are made again.
func (d *Detector) SetIncarnation(incarnation uint64) {
	if incarnation <= d.incarnation {
		return
	}
	d.incarnation = incarnation
	for _, by := range d.judgements {
		delete(by, d.cfg.Self)
	}
}

func (e *evidence) fade(now Time) {
	if now > e.updatedAt {
		k := math.Exp(-float64(now-e.updatedAt) / float64(evidenceDecay))
		e.good *= k
		for i := range e.bad {
			e.bad[i] *= k
		}
		e.updatedAt = now
	}
}

// failures returns the count of all failures and the most frequent fault.
func (e *evidence) failures() (bad float64, mainFault Fault) {
	for i, v := range e.bad {
		bad += v
		if v > e.bad[mainFault] {
			mainFault = Fault(i)
		}
	}
	return bad, mainFault
}

// Observe records the result of an attempt at a worker; None means success.
func (d *Detector) Observe(worker string, since int64, fault Fault, now Time) {
	e := d.evidence[worker]
	if e == nil || e.since != since {
		if e == nil && len(d.evidence) >= maxWorkers {
			return
		}
		e = &evidence{since: since, updatedAt: now}
		d.evidence[worker] = e
	}
	e.fade(now)
	if fault == None {
		e.good++
	} else {
		e.bad[min(fault, Silent)]++
	}
}

// RetainListed drops the state of workers that are not listed any more.
func (d *Detector) RetainListed(listed func(worker string) bool) {
	maps.DeleteFunc(d.evidence, func(name string, _ *evidence) bool { return !listed(name) })
	maps.DeleteFunc(d.judgements, func(name string, _ map[string]*timedJudgement) bool { return !listed(name) })
	maps.DeleteFunc(d.returning, func(name string, _ Time) bool { return !listed(name) })
}

// Judge renews the own judgements. Call it several times per Hold.
func (d *Detector) Judge(now Time) {
	good, bad, judged, failing := 0.0, 0.0, 0, 0
	for _, e := range d.evidence {
		e.fade(now)
		b, _ := e.failures()
		good, bad = good+e.good, bad+b
		if e.good+b >= minFailures {
			judged++
			if b >= failingShare*(e.good+b) {
				failing++
			}
		}
	}
	// If most workers appear faulty, the fault is at this router.
	ownFault := judged > 2 && float64(failing) > d.cfg.MaxOut*float64(judged)
	for _, name := range slices.Sorted(maps.Keys(d.evidence)) {
		e := d.evidence[name]
		b, mainFault := e.failures()
		n := e.good + b
		othersRate := (bad - b) / math.Max(good+bad-n, 1)
		w := d.judgements[name][d.cfg.Self]
		held := w != nil && w.Fault != None && w.Since == e.since && now < w.until
		switch {
		case ownFault || b < failingShare*n:
			if held && (ownFault || n >= minFailures) {
				d.judge(name, e, None, b, now)
			}
		case b < minFailures || b < failureRateFactor*othersRate*n:
		case !held || w.until-now < Time(d.cfg.Hold)/2 || b > 1.5*w.Bad:
			if !held {
				if now-e.judgedUntil > Time(8*d.cfg.Hold) {
					e.judgedTimes = 0
				}
				e.judgedTimes++
			}
			d.judge(name, e, mainFault, b, now)
		}
	}
	d.prune(now)
}

// judge makes an own judgement. Its validity is longer for a worker that is judged repeatedly.
func (d *Detector) judge(name string, e *evidence, fault Fault, bad float64, now Time) {
	d.seq++
	hold := d.cfg.Hold << min(max(e.judgedTimes-1, 0), maxDoublings)
	e.judgedUntil = now + Time(hold)
	d.store(&timedJudgement{Judgement{name, e.since, d.cfg.Self, d.incarnation, d.seq, fault, bad, e.good, 0}, e.judgedUntil})
}

func (d *Detector) store(w *timedJudgement) {
	if d.judgements[w.Worker] == nil {
		d.judgements[w.Worker] = map[string]*timedJudgement{}
	}
	d.judgements[w.Worker][w.Origin] = w
}

func (d *Detector) prune(now Time) {
	for name, by := range d.judgements {
		maps.DeleteFunc(by, func(_ string, w *timedJudgement) bool { return now >= w.until })
		if len(by) == 0 {
			delete(d.judgements, name)
		}
	}
}

// Judgements returns the judgements for a message to another router: the own ones, then others' in
// rotation.
func (d *Detector) Judgements(now Time) []Judgement {
	var own, others []Judgement
	for _, name := range slices.Sorted(maps.Keys(d.judgements)) {
		for _, origin := range slices.Sorted(maps.Keys(d.judgements[name])) {
			w := d.judgements[name][origin]
			if now >= w.until {
				continue
			}
			j := w.Judgement
			j.LeftMs = uint32(time.Duration(w.until-now).Milliseconds()) + 1
			if origin == d.cfg.Self {
				own = append(own, j)
			} else {
				others = append(others, j)
			}
		}
	}
	for i := range others {
		if len(own) >= maxJudgements {
			break
		}
		own = append(own, others[(d.next+i)%len(others)])
	}
	d.next++
	return own[:min(len(own), maxJudgements)]
}

// Receive processes others' judgements. It ignores those that are malformed, valid for too long, of
// an unknown router, or older than the stored ones.
func (d *Detector) Receive(list []Judgement, now Time) {
	maxHold := d.cfg.Hold << maxDoublings
	for _, j := range list[:min(len(list), maxJudgements)] {
		left := time.Duration(j.LeftMs) * time.Millisecond
		_, known := d.cfg.Zones[j.Origin]
		if !known || j.Origin == d.cfg.Self || j.Worker == "" || j.Fault > Silent || !(j.Bad >= 0 && j.Bad <= maxAttempts) || !(j.Good >= 0 && j.Good <= maxAttempts) ||
			left <= 0 || left > maxHold+time.Second || d.judgements[j.Worker] == nil && len(d.judgements) >= maxWorkers {
			continue
		}
		was := d.judgements[j.Worker][j.Origin]
		if was != nil && (j.Incarnation < was.Incarnation || j.Incarnation == was.Incarnation && j.Seq <= was.Seq) {
			continue
		}
		d.store(&timedJudgement{j, now + Time(min(left, maxHold))})
	}
}

// agreed returns the routers that judge a worker's present incarnation, and the sum of the failures
// they counted.
func (d *Detector) agreed(w Worker, unreliable map[string]bool, now Time) (by []string, bad float64) {
	for _, origin := range slices.Sorted(maps.Keys(d.judgements[w.Name])) {
		if j := d.judgements[w.Name][origin]; j.Fault != None && j.Since == w.Since && now < j.until && !unreliable[origin] {
			by = append(by, origin)
			bad += j.Bad
		}
	}
	return by, bad
}

// hasQuorum reports whether these routers may take a worker out for the fleet.
func (d *Detector) hasQuorum(by []string) bool {
	if len(by) < min(d.cfg.Quorum, len(d.cfg.Zones)) {
		return false
	}
	zones := map[string]bool{}
	for _, z := range d.cfg.Zones {
		zones[z] = true
	}
	agreeing := map[string]bool{}
	for _, origin := range by {
		agreeing[d.cfg.Zones[origin]] = true
	}
	return len(zones) < 2 || len(agreeing) > 1
}

// TrafficShares returns, for each worker that does not get all of its traffic, the fraction that it
// gets: 0 for workers that are out, more for those that return.
func (d *Detector) TrafficShares(workers []Worker, now Time) map[string]float64 {
	unreliable := d.unreliable(workers, now)
	type candidate struct {
		Worker
		by  int
		bad float64
	}
	var list []candidate
	kinds, zones := map[string]int{}, map[string]int{}
	for _, w := range workers {
		kinds[w.Kind]++
		zones[w.Zone]++
		if by, bad := d.agreed(w, unreliable, now); d.hasQuorum(by) && bad >= d.cfg.MinFailures {
			list = append(list, candidate{w, len(by), bad})
		}
	}
	slices.SortStableFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.by, a.by), cmp.Compare(b.bad, a.bad), cmp.Compare(a.Name, b.Name))
	})
	out, kindsOut, zonesOut := map[string]bool{}, map[string]int{}, map[string]int{}
	for _, k := range list {
		if kindsOut[k.Kind] < d.maxOut(kinds[k.Kind]) && zonesOut[k.Zone] < d.maxOut(zones[k.Zone]) {
			out[k.Name] = true
			kindsOut[k.Kind]++
			zonesOut[k.Zone]++
		}
	}
	parts := map[string]float64{}
	for _, w := range workers {
		e := d.evidence[w.Name]
		if d.out[w.Name] && !out[w.Name] {
			d.returning[w.Name] = now
			if e != nil { // earlier failures must not take it out again
				e.good, e.bad = 0, [Silent + 1]float64{}
			}
		}
		if out[w.Name] {
			parts[w.Name] = 0
			delete(d.returning, w.Name)
		} else if since, ok := d.returning[w.Name]; ok {
			step := 1 + int(returnSteps*float64(now-since)/math.Max(float64(d.cfg.Return), 1))
			if step > returnSteps {
				delete(d.returning, w.Name)
			} else {
				parts[w.Name] = float64(step) / (returnSteps + 1)
			}
		}
	}
	d.out = out
	return parts
}

// maxOut is how many workers of a group may be out.
func (d *Detector) maxOut(group int) int { return int(d.cfg.MaxOut * float64(group)) }

// unreliable returns the routers that judge more workers than may ever be out.
func (d *Detector) unreliable(workers []Worker, now Time) map[string]bool {
	judged := map[string]int{}
	for _, w := range workers {
		for origin, j := range d.judgements[w.Name] {
			if j.Fault != None && j.Since == w.Since && now < j.until && origin != d.cfg.Self {
				judged[origin]++
			}
		}
	}
	unreliable := map[string]bool{}
	for origin, n := range judged {
		unreliable[origin] = n > max(1, d.maxOut(len(workers)))
	}
	return unreliable
}

// Case is the state of a worker, for display.
type Case struct {
	Worker string
	By     []Judgement // LeftMs counts from now
	Good   float64     // recent own attempts that succeeded, decayed
	Bad    float64     // those that failed
	Out    bool
}

// Case returns the state of one worker.
func (d *Detector) Case(worker string, now Time) Case {
	k := Case{Worker: worker, Out: d.out[worker]}
	if e := d.evidence[worker]; e != nil {
		e.fade(now)
		k.Good = e.good
		k.Bad, _ = e.failures()
	}
	for _, origin := range slices.Sorted(maps.Keys(d.judgements[worker])) {
		if w := d.judgements[worker][origin]; now < w.until {
			j := w.Judgement
			j.LeftMs = uint32(time.Duration(w.until - now).Milliseconds())
			k.By = append(k.By, j)
		}
	}
	return k
}
