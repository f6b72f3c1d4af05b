package traffic

import (
	"fmt"
	"math"
	"time"
)

// Pace bounds how a decider moves traffic.
type Pace struct {
	Every   time.Duration // between two steps, where nothing is lost
	Up      float64       // of all traffic, that may come to a zone in a step,
	Back    float64       // and that a zone gets back of its own entry's in a step: less, so that a return is slower than the leaving
	Band    float64       // differences below this part are let be
	Burst   int           // maps that may be made at once,
	PerMin  float64       // and a minute from there
	Reserve int           // of the burst, kept for zones that may not be used any more
}

// Stepper is a decider's way from map to map.
type Stepper struct {
	pace  Pace
	last  Time
	level float64 // maps that may be made
	at    Time
	began bool
}

// NewStepper returns a stepper that has made no map.
func NewStepper(p Pace, now Time) (*Stepper, error) {
	switch {
	case p.Every <= 0 || p.Burst < 1 || p.Reserve < 0 || p.Reserve >= p.Burst || !(p.PerMin > 0):
		return nil, fmt.Errorf("%w: every is %v, burst %d, reserve %d and per_min %v", ErrMap, p.Every, p.Burst, p.Reserve, p.PerMin)
	case !(p.Up > 0 && p.Up <= 1) || !(p.Back > 0 && p.Back <= p.Up) || !(p.Band >= 0 && p.Band < 1):
		return nil, fmt.Errorf("%w: up is %v, back %v and band %v, not over 0 to 1, over 0 to up, and 0 to under 1", ErrMap, p.Up, p.Back, p.Band)
	}
	return &Stepper{pace: p, level: float64(p.Burst), at: now}, nil
}

// Aim is where a decider wants to go, and what may be.
type Aim struct {
	Read, Write [][]float64
	Load        []float64 // of each entry, in one unit
	Bears       []float64 // load that a zone may get more of in this step, warm and cold as it is, beside Up; negative: not bounded
	Level       []float64 // part of each zone's capacity that may be used; at 0 it may not be used at all
	Why, By     string
}

// Most is how many maps are made at most in a time, whatever comes in.
func (p *Pace) Most(in time.Duration) float64 { return float64(p.Burst) + p.PerMin*in.Minutes() + 1 }

// Step returns the next map on the way from the one that holds to the aim, with the next epoch; nil where nothing is to move
// yet. The map that holds must have the zones of the aim, in their order.
func (s *Stepper) Step(now Map, aim Aim, at Time) *Map {
	s.level = math.Min(float64(s.pace.Burst), s.level+s.pace.PerMin*time.Duration(at-s.at).Minutes())
	s.at = at
	n := len(now.Zones)
	total := 0.0
	for _, l := range aim.Load {
		total += l
	}
	urgent, far := false, 0.0
	for e := range n {
		for z := range n {
			far = math.Max(far, math.Abs(aim.Read[e][z]-now.Read[e][z]))
			urgent = urgent || aim.Level[z] == 0 && now.Read[e][z] > 0
		}
	}
	for r := range n {
		for w := range n {
			far = math.Max(far, math.Abs(aim.Write[r][w]-now.Write[r][w]))
			urgent = urgent || aim.Level[w] == 0 && aim.Level[r] > 0 && now.Write[r][w] > 0
		}
	}
	level := make([]float64, n)
	opened := false
	for z, l := range aim.Level { // what a map says is whether a zone is barred; the ramp between is in its shares
		if l > 0 {
			level[z] = 1
		}
		was := len(now.Level) == 0 || now.Level[z] > 0
		urgent = urgent || level[z] == 0 && was
		opened = opened || level[z] > 0 && !was
	}
	need := 1.0
	if !urgent {
		need += float64(s.pace.Reserve)
	}
	if s.level < need || !urgent && (!opened && far <= s.pace.Band || s.began && at-s.last < Time(s.pace.Every)) {
		return nil
	}
	next := Map{Epoch: now.Epoch + 1, Zones: now.Zones, Level: level, Why: aim.Why, By: aim.By, Read: rows(now.Read), Write: rows(aim.Write)}
	s.read(&next, now, aim, total)
	if next.same(&now) {
		return nil
	}
	s.level--
	s.last, s.began = at, true
	return &next
}

// read moves the readers' parts: out of zones that may not be used at once, into others as far as they bear it.
func (s *Stepper) read(next *Map, now Map, aim Aim, total float64) {
	n := len(now.Zones)
	for z := range n {
		// What all entries together want more of here, in load.
		more, ownMore := 0.0, 0.0
		for e := range n {
			if d := (aim.Read[e][z] - now.Read[e][z]) * aim.Load[e]; d > 0 && aim.Level[z] > 0 {
				more += d
				if e == z {
					ownMore = d
				}
			}
		}
		part := 1.0
		if more > 0 {
			room := s.pace.Up * total
			if aim.Bears[z] >= 0 {
				room = math.Min(room, aim.Bears[z])
			}
			part = math.Min(1, room/more)
		}
		ownPart := part
		if ownMore > 0 {
			ownPart = math.Min(part, s.pace.Back*total/ownMore)
		}
		for e := range n {
			d := aim.Read[e][z] - now.Read[e][z]
			switch {
			case aim.Level[z] == 0:
				next.Read[e][z] = 0
			case d > 0 && e == z:
				next.Read[e][z] += d * ownPart
			case d > 0:
				next.Read[e][z] += d * part
			}
		}
	}
	// What came in somewhere leaves the zones that are to get less, as they are over their aim; what was given up by zones that
	// may not be used is there to come in anyway.
	for e := range n {
		sum, over := 0.0, 0.0
		for z := range n {
			sum += next.Read[e][z]
			if d := next.Read[e][z] - aim.Read[e][z]; d > 0 {
				over += d
			}
		}
		want := 0.0
		for z := range n {
			want += aim.Read[e][z]
		}
		// Nothing is shed that the map before served, but what can't be borne; nothing is served that the aim sheds.
		excess := sum - math.Min(1, math.Max(want, 0))
		if excess <= 0 || over <= 0 {
			continue
		}
		part := math.Min(1, excess/over)
		for z := range n {
			if d := next.Read[e][z] - aim.Read[e][z]; d > 0 {
				next.Read[e][z] -= d * part
			}
		}
	}
}

func rows(in [][]float64) [][]float64 {
	out := make([][]float64, len(in))
	for i, row := range in {
		out[i] = append([]float64(nil), row...)
	}
	return out
}

// Balance turns shares into figures for the decisions: what a server of a zone counts for against one of the own zone, beside
// all else. The own zone's is 1. A zone that may not be used gets an infinite one; one that may, but has no share, is as dear as
// can be: it takes what the others, jammed for a moment, would have refused. Those of the rest follow what was sent: more than
// its share makes a zone dearer, less makes it cheaper, within bounds.
type Balance struct {
	sent    []float64
	figures []float64
	at      Time
}

const (
	balanceOver  = 2 * time.Second // that what was sent is remembered for
	gain         = 0.15            // of a figure's logarithm, a look, for a share that is missed whole
	least, dear  = 0.6, 8.0
	usualFigure  = 1.15 // of a zone of which nothing is known yet
	leastSending = 5.0  // requests lately, under which nothing is concluded
)

// Sent notes a request that was sent to a zone, by its index.
func (b *Balance) Sent(zone, zones int, at Time) {
	b.size(zones)
	b.age(at)
	b.sent[zone]++
}

func (b *Balance) size(n int) {
	for len(b.sent) < n {
		b.sent, b.figures = append(b.sent, 0), append(b.figures, usualFigure)
	}
}

func (b *Balance) age(at Time) {
	if at > b.at {
		f := math.Exp(-float64(at-b.at) / float64(balanceOver))
		for i := range b.sent {
			b.sent[i] *= f
		}
		b.at = at
	}
}

// Figures returns one for each zone, by the shares that are to hold and whether the zone may be used. It is to be called a few
// times a second.
func (b *Balance) Figures(shares []float64, may []bool, own int, at Time) []float64 {
	b.size(len(shares))
	b.age(at)
	all := 0.0
	for _, s := range b.sent {
		all += s
	}
	out := make([]float64, len(shares))
	for z, share := range shares {
		switch {
		case !may[z]:
			out[z], b.figures[z] = math.Inf(1), usualFigure
		case share <= 0:
			out[z], b.figures[z] = dear, usualFigure
		case z == own:
			out[z] = 1
		default:
			if all >= leastSending {
				b.figures[z] *= math.Exp(gain * (b.sent[z]/all - share) / math.Max(share, 0.05))
				b.figures[z] = math.Min(math.Max(b.figures[z], least), dear)
			}
			out[z] = b.figures[z]
		}
	}
	return out
}
