// Package outlier takes workers out for a whole fleet of routers by agreement.
//
// Each router judges workers by what became of its own attempts there. Judgements and
// what they rest on are passed on between routers, each for a stated time. A worker is
// out for all while a stated number of routers judge its present incarnation so, not all
// of them in one zone where the fleet has several, and while what they have seen together
// is enough: routers of little traffic see little each. Never more than a stated share of a group of
// workers alike, by kind or by zone, is out: beyond it the least agreed on stay in. A
// worker comes back in steps.
//
// A router to which most workers look bad has a bad link itself, and judges nobody. One
// that judges more workers than may be out is disregarded.
//
// The package does no I/O and starts nothing; the clock is an argument. A Detector is not
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

// Fault is what is wrong with a worker.
type Fault uint8

// The faults of a worker.
const (
	None    Fault = iota
	Errors        // it answers with errors
	Resets        // it breaks connections off
	Connect       // it can't be reached
	Silent        // it does not answer in time
)

// String implements fmt.Stringer.
func (f Fault) String() string {
	return [...]string{"none", "errors", "resets", "connect", "silent"}[min(f, Silent)]
}

const (
	evidenceOver  = 5 * time.Second // time constant of what attempts tell
	leastBad      = 0.5             // attempts gone wrong, faded, that a single judgement rests on
	mostSeen      = 1e6             // attempts; what is more makes no sense
	badPart       = 0.5             // of the attempts at a worker, from where on it may be judged
	timesUsual    = 3.0             // and so many times what is usual at the others
	returnSteps   = 4
	mostPassed    = 32 // judgements in a message
	mostWorkers   = 4096
	mostDoublings = 3 // of the time that a judgement holds, for a worker that is judged again and again
)

// Config says who judges and what may come of it.
type Config struct {
	Self    string
	Zones   map[string]string // the zone of each router, Self among them; "" is a zone as well
	Quorum  int               // routers that must agree, this one among them
	MostOut float64           // share of a group of workers that may be out, 0 to 0.5
	Least   float64           // attempts gone wrong, of all who judge together, that take a worker out
	Hold    time.Duration     // a judgement holds for so long unless it is made anew
	Return  time.Duration     // a worker that comes back has all of its traffic after this
}

// ErrConfig is what a faulty Config wraps.
var ErrConfig = errors.New("outlier detection")

func (c *Config) check() error {
	_, self := c.Zones[c.Self]
	switch {
	case !self:
		return fmt.Errorf("%w: self is %q, none of the routers", ErrConfig, c.Self)
	case c.Quorum < 1:
		return fmt.Errorf("%w: quorum is %d, not 1 or more", ErrConfig, c.Quorum)
	case !(c.MostOut >= 0 && c.MostOut <= 0.5):
		return fmt.Errorf("%w: most_out is %v, not from 0 to 0.5", ErrConfig, c.MostOut)
	case !(c.Least > 0):
		return fmt.Errorf("%w: least is %v, not over 0", ErrConfig, c.Least)
	case c.Hold <= 0 || c.Return < 0:
		return fmt.Errorf("%w: hold is %v and return %v, not over 0 and 0 or more", ErrConfig, c.Hold, c.Return)
	}
	return nil
}

// Judgement is one router's word on one worker.
type Judgement struct {
	Worker string  `cbor:"1,keyasint"`
	Since  int64   `cbor:"2,keyasint"` // which incarnation of the worker
	Origin string  `cbor:"3,keyasint"` // who judges
	Life   uint64  `cbor:"4,keyasint"` // the judge's incarnation
	Seq    uint64  `cbor:"5,keyasint"` // a later word of the same judge counts
	Fault  Fault   `cbor:"6,keyasint"` // None takes the judgement back
	Bad    float64 `cbor:"7,keyasint"` // attempts that went wrong lately, faded
	Good   float64 `cbor:"8,keyasint"` // and that went well
	LeftMs uint32  `cbor:"9,keyasint"` // it holds for so much longer
}

// Worker is one that the routers share.
type Worker struct {
	Name  string
	Since int64  // its incarnation
	Kind  string // those of one kind, or of one zone, must not all be out
	Zone  string
}

// Detector is one router's part in all judgements.
type Detector struct {
	cfg      Config
	life     uint64
	seq      uint64
	evidence map[string]*evidence
	words    map[string]map[string]*word // by worker, by judge
	back     map[string]Time             // since when workers that were out come back
	out      map[string]bool
	next     int
}

// evidence is what became of own attempts at a worker lately.
type evidence struct {
	since int64
	good  float64
	bad   [Silent + 1]float64
	at    Time
	again int // times that it was judged, each soon after the last
	until Time
}

type word struct {
	Judgement
	until Time
}

// New returns a detector without evidence. The life grows with each start.
func New(cfg Config, life uint64) (*Detector, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	return &Detector{cfg: cfg, life: life, evidence: map[string]*evidence{}, words: map[string]map[string]*word{},
		back: map[string]Time{}, out: map[string]bool{}}, nil
}

// SetLife tells that this process goes by a newer life: its judgements go by it from
// the next one on, and those made before are made anew.
func (d *Detector) SetLife(life uint64) {
	if life <= d.life {
		return
	}
	d.life = life
	for _, by := range d.words {
		delete(by, d.cfg.Self)
	}
}

func (e *evidence) fade(now Time) {
	if now > e.at {
		k := math.Exp(-float64(now-e.at) / float64(evidenceOver))
		e.good *= k
		for i := range e.bad {
			e.bad[i] *= k
		}
		e.at = now
	}
}

// sum is all that went wrong, and the fault that did most of it.
func (e *evidence) sum() (bad float64, most Fault) {
	for i, v := range e.bad {
		bad += v
		if v > e.bad[most] {
			most = Fault(i)
		}
	}
	return bad, most
}

// Observe takes what became of an attempt at a worker; None says that it went well.
func (d *Detector) Observe(worker string, since int64, fault Fault, now Time) {
	e := d.evidence[worker]
	if e == nil || e.since != since {
		if e == nil && len(d.evidence) >= mostWorkers {
			return
		}
		e = &evidence{since: since, at: now}
		d.evidence[worker] = e
	}
	e.fade(now)
	if fault == None {
		e.good++
	} else {
		e.bad[min(fault, Silent)]++
	}
}

// Keep drops what is known of workers that are not listed any more.
func (d *Detector) Keep(listed func(worker string) bool) {
	maps.DeleteFunc(d.evidence, func(name string, _ *evidence) bool { return !listed(name) })
	maps.DeleteFunc(d.words, func(name string, _ map[string]*word) bool { return !listed(name) })
	maps.DeleteFunc(d.back, func(name string, _ Time) bool { return !listed(name) })
}

// Judge renews the own judgements. It is to be called several times in a Hold.
func (d *Detector) Judge(now Time) {
	good, bad, looked, wrong := 0.0, 0.0, 0, 0
	for _, e := range d.evidence {
		e.fade(now)
		b, _ := e.sum()
		good, bad = good+e.good, bad+b
		if e.good+b >= leastBad {
			looked++
			if b >= badPart*(e.good+b) {
				wrong++
			}
		}
	}
	// Where most look bad the fault is on this side.
	own := looked > 2 && float64(wrong) > d.cfg.MostOut*float64(looked)
	for _, name := range slices.Sorted(maps.Keys(d.evidence)) {
		e := d.evidence[name]
		b, most := e.sum()
		n := e.good + b
		usual := (bad - b) / math.Max(good+bad-n, 1)
		w := d.words[name][d.cfg.Self]
		held := w != nil && w.Fault != None && w.Since == e.since && now < w.until
		switch {
		case own || b < badPart*n:
			if held && (own || n >= leastBad) {
				d.say(name, e, None, b, now)
			}
		case b < leastBad || b < timesUsual*usual*n:
		case !held || w.until-now < Time(d.cfg.Hold)/2 || b > 1.5*w.Bad:
			if !held {
				if now-e.until > Time(8*d.cfg.Hold) {
					e.again = 0
				}
				e.again++
			}
			d.say(name, e, most, b, now)
		}
	}
	d.prune(now)
}

// say makes an own judgement. One that is made again and again holds for longer.
func (d *Detector) say(name string, e *evidence, fault Fault, bad float64, now Time) {
	d.seq++
	hold := d.cfg.Hold << min(max(e.again-1, 0), mostDoublings)
	e.until = now + Time(hold)
	d.keep(&word{Judgement{name, e.since, d.cfg.Self, d.life, d.seq, fault, bad, e.good, 0}, e.until})
}

func (d *Detector) keep(w *word) {
	if d.words[w.Worker] == nil {
		d.words[w.Worker] = map[string]*word{}
	}
	d.words[w.Worker][w.Origin] = w
}

func (d *Detector) prune(now Time) {
	for name, by := range d.words {
		maps.DeleteFunc(by, func(_ string, w *word) bool { return now >= w.until })
		if len(by) == 0 {
			delete(d.words, name)
		}
	}
}

// Tell returns what a message to another router holds: the own judgements, and those
// of others in turn.
func (d *Detector) Tell(now Time) []Judgement {
	var own, others []Judgement
	for _, name := range slices.Sorted(maps.Keys(d.words)) {
		for _, origin := range slices.Sorted(maps.Keys(d.words[name])) {
			w := d.words[name][origin]
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
		if len(own) >= mostPassed {
			break
		}
		own = append(own, others[(d.next+i)%len(others)])
	}
	d.next++
	return own[:min(len(own), mostPassed)]
}

// Receive takes others' judgements. What is malformed, holds too long, comes from a
// stranger or is older than what is known is passed over.
func (d *Detector) Receive(list []Judgement, now Time) {
	most := d.cfg.Hold << mostDoublings
	for _, j := range list[:min(len(list), mostPassed)] {
		left := time.Duration(j.LeftMs) * time.Millisecond
		_, known := d.cfg.Zones[j.Origin]
		if !known || j.Origin == d.cfg.Self || j.Worker == "" || j.Fault > Silent || !(j.Bad >= 0 && j.Bad <= mostSeen) || !(j.Good >= 0 && j.Good <= mostSeen) ||
			left <= 0 || left > most+time.Second || d.words[j.Worker] == nil && len(d.words) >= mostWorkers {
			continue
		}
		was := d.words[j.Worker][j.Origin]
		if was != nil && (j.Life < was.Life || j.Life == was.Life && j.Seq <= was.Seq) {
			continue
		}
		d.keep(&word{j, now + Time(min(left, most))})
	}
}

// agreed is who judges a worker's present incarnation, and what went wrong for them.
func (d *Detector) agreed(w Worker, liars map[string]bool, now Time) (by []string, bad float64) {
	for _, origin := range slices.Sorted(maps.Keys(d.words[w.Name])) {
		if j := d.words[w.Name][origin]; j.Fault != None && j.Since == w.Since && now < j.until && !liars[origin] {
			by = append(by, origin)
			bad += j.Bad
		}
	}
	return by, bad
}

// enough tells whether these routers may take a worker out for all.
func (d *Detector) enough(by []string) bool {
	if len(by) < min(d.cfg.Quorum, len(d.cfg.Zones)) {
		return false
	}
	zones := map[string]bool{}
	for _, z := range d.cfg.Zones {
		zones[z] = true
	}
	mine := map[string]bool{}
	for _, origin := range by {
		mine[d.cfg.Zones[origin]] = true
	}
	return len(zones) < 2 || len(mine) > 1
}

// Parts tells which part of its traffic each worker gets that does not get all of it:
// 0 for those that are out, more for those on their way back.
func (d *Detector) Parts(workers []Worker, now Time) map[string]float64 {
	liars := d.liars(workers, now)
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
		if by, bad := d.agreed(w, liars, now); d.enough(by) && bad >= d.cfg.Least {
			list = append(list, candidate{w, len(by), bad})
		}
	}
	slices.SortStableFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.by, a.by), cmp.Compare(b.bad, a.bad), cmp.Compare(a.Name, b.Name))
	})
	out, kindsOut, zonesOut := map[string]bool{}, map[string]int{}, map[string]int{}
	for _, k := range list {
		if kindsOut[k.Kind] < d.most(kinds[k.Kind]) && zonesOut[k.Zone] < d.most(zones[k.Zone]) {
			out[k.Name] = true
			kindsOut[k.Kind]++
			zonesOut[k.Zone]++
		}
	}
	parts := map[string]float64{}
	for _, w := range workers {
		e := d.evidence[w.Name]
		if d.out[w.Name] && !out[w.Name] {
			d.back[w.Name] = now
			if e != nil { // what it did before it was out must not take it out again
				e.good, e.bad = 0, [Silent + 1]float64{}
			}
		}
		if out[w.Name] {
			parts[w.Name] = 0
			delete(d.back, w.Name)
		} else if since, ok := d.back[w.Name]; ok {
			step := 1 + int(returnSteps*float64(now-since)/math.Max(float64(d.cfg.Return), 1))
			if step > returnSteps {
				delete(d.back, w.Name)
			} else {
				parts[w.Name] = float64(step) / (returnSteps + 1)
			}
		}
	}
	d.out = out
	return parts
}

// most is how many of a group may be out.
func (d *Detector) most(group int) int { return int(d.cfg.MostOut * float64(group)) }

// liars are routers that judge more workers than may ever be out.
func (d *Detector) liars(workers []Worker, now Time) map[string]bool {
	judged := map[string]int{}
	for _, w := range workers {
		for origin, j := range d.words[w.Name] {
			if j.Fault != None && j.Since == w.Since && now < j.until && origin != d.cfg.Self {
				judged[origin]++
			}
		}
	}
	liars := map[string]bool{}
	for origin, n := range judged {
		liars[origin] = n > max(1, d.most(len(workers)))
	}
	return liars
}

// Case is what is known of a worker, for people.
type Case struct {
	Worker string
	By     []Judgement // LeftMs counts from now
	Good   float64     // own attempts lately
	Bad    float64
	Out    bool
}

// Case tells of one worker.
func (d *Detector) Case(worker string, now Time) Case {
	k := Case{Worker: worker, Out: d.out[worker]}
	if e := d.evidence[worker]; e != nil {
		e.fade(now)
		k.Good = e.good
		k.Bad, _ = e.sum()
	}
	for _, origin := range slices.Sorted(maps.Keys(d.words[worker])) {
		if w := d.words[worker][origin]; now < w.until {
			j := w.Judgement
			j.LeftMs = uint32(time.Duration(w.until - now).Milliseconds())
			k.By = append(k.By, j)
		}
	}
	return k
}
