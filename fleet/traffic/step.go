package traffic

import (
	"fmt"
	"math"
	"time"
)

// Pace bounds how fast a decider moves traffic.
type Pace struct {
	Every time.Duration // minimum time between two steps that are not urgent
	Up    float64       // part of all traffic that a zone may gain in a step
	// Part of all traffic that a zone may regain from its own entry in a step; less than Up, so
	// that a return is slower than leaving.
	Back   float64
	Band   float64 // smaller differences are ignored
	Burst  int     // maps that may be made at once
	PerMin float64 // maps per minute after that
	// Part of Burst that is kept for steps away from zones that may no longer be used.
	Reserve int
}

// Stepper moves a decider's map towards its aim.
type Stepper struct {
	pace      Pace
	lastStep  Time
	mapsLeft  float64 // maps that may be made
	updatedAt Time
	stepped   bool
}

// NewStepper returns a stepper that has not made a map.
func NewStepper(p Pace, now Time) (*Stepper, error) {
	switch {
	case p.Every <= 0 || p.Burst < 1 || p.Reserve < 0 || p.Reserve >= p.Burst || !(p.PerMin > 0):
		return nil, fmt.Errorf("%w: every is %v, burst %d, reserve %d and per_min %v, want every > 0, 0 <= reserve < burst and per_min > 0", ErrMap, p.Every, p.Burst, p.Reserve, p.PerMin)
	case !(p.Up > 0 && p.Up <= 1) || !(p.Back > 0 && p.Back <= p.Up) || !(p.Band >= 0 && p.Band < 1):
		return nil, fmt.Errorf("%w: up is %v, back %v and band %v, want 0 < up <= 1, 0 < back <= up and 0 <= band < 1", ErrMap, p.Up, p.Back, p.Band)
	}
	return &Stepper{pace: p, mapsLeft: float64(p.Burst), updatedAt: now}, nil
}

// Aim is the target of a decider and the bounds on the way to it.
type Aim struct {
	Read, Write [][]float64
	Load        []float64 // of each entry, in one unit
	// Load that a zone can gain in this step at its present warmth, a bound in addition to Up;
	// negative: not bounded.
	Headroom []float64
	// Part of each zone's capacity that may be used; at 0 the zone may not be used at all.
	Level   []float64
	Why, By string
}

// MaxMaps is the maximum number of maps made in a time, for any input.
func (p *Pace) MaxMaps(in time.Duration) float64 { return float64(p.Burst) + p.PerMin*in.Minutes() + 1 }

// Step returns the next map between the current one and the aim, with the next epoch, or nil if
// there is nothing to move yet. The current map must have the zones of the aim, in the same order.
func (s *Stepper) Step(current Map, aim Aim, at Time) *Map {
	s.mapsLeft = math.Min(float64(s.pace.Burst), s.mapsLeft+s.pace.PerMin*time.Duration(at-s.updatedAt).Minutes())
	s.updatedAt = at
	n := len(current.Zones)
	total := 0.0
	for _, l := range aim.Load {
		total += l
	}
	urgent, maxDiff := false, 0.0
	for e := range n {
		for z := range n {
			maxDiff = math.Max(maxDiff, math.Abs(aim.Read[e][z]-current.Read[e][z]))
			urgent = urgent || aim.Level[z] == 0 && current.Read[e][z] > 0
		}
	}
	for r := range n {
		for w := range n {
			maxDiff = math.Max(maxDiff, math.Abs(aim.Write[r][w]-current.Write[r][w]))
			urgent = urgent || aim.Level[w] == 0 && aim.Level[r] > 0 && current.Write[r][w] > 0
		}
	}
	level := make([]float64, n)
	opened := false
	// A map only states whether a zone is barred; its shares express the ramp in between.
	for z, l := range aim.Level {
		if l > 0 {
			level[z] = 1
		}
		was := len(current.Level) == 0 || current.Level[z] > 0
		urgent = urgent || level[z] == 0 && was
		opened = opened || level[z] > 0 && !was
	}
	need := 1.0
	if !urgent {
		need += float64(s.pace.Reserve)
	}
	if s.mapsLeft < need || !urgent && (!opened && maxDiff <= s.pace.Band || s.stepped && at-s.lastStep < Time(s.pace.Every)) {
		return nil
	}
	next := Map{Epoch: current.Epoch + 1, Zones: current.Zones, Level: level, Why: aim.Why, By: aim.By, Read: rows(current.Read), Write: rows(aim.Write)}
	s.read(&next, current, aim, total)
	if next.same(&current) {
		return nil
	}
	s.mapsLeft--
	s.lastStep, s.stepped = at, true
	return &next
}

// read moves the readers' shares: at once out of zones that may not be used, and into others within
// the bounds of a step.
func (s *Stepper) read(next *Map, current Map, aim Aim, total float64) {
	n := len(current.Zones)
	for z := range n {
		// The load by which all entries together want to increase their use of this zone.
		more, ownMore := 0.0, 0.0
		for e := range n {
			if d := (aim.Read[e][z] - current.Read[e][z]) * aim.Load[e]; d > 0 && aim.Level[z] > 0 {
				more += d
				if e == z {
					ownMore = d
				}
			}
		}
		part := 1.0
		if more > 0 {
			room := s.pace.Up * total
			if aim.Headroom[z] >= 0 {
				room = math.Min(room, aim.Headroom[z])
			}
			part = math.Min(1, room/more)
		}
		ownPart := part
		if ownMore > 0 {
			ownPart = math.Min(part, s.pace.Back*total/ownMore)
		}
		for e := range n {
			d := aim.Read[e][z] - current.Read[e][z]
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
	// Gains are taken from the zones whose shares exceed the aim, in proportion to the excess.
	// Traffic that left zones that may not be used is available anyway.
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
		// Traffic that the previous map served is shed only if no zone has capacity for it, and
		// traffic that the aim sheds is not served.
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

// Balance turns shares into cost factors for routing decisions: the weight of a server of a zone
// relative to one of the own zone, in addition to all other costs. The factor of the own zone is 1.
// A zone that may not be used has an infinite factor. A zone that may be used but has no share has
// the highest finite one, so that it takes requests that the briefly congested others would have
// refused. The factors of the remaining zones follow the traffic sent: within bounds, the factor of
// a zone that got more than its share rises, and that of a zone that got less falls.
type Balance struct {
	sent    []float64
	factors []float64
	at      Time
}

const (
	balanceDecay = 2 * time.Second // time constant of the counts of sent requests
	// Change of a factor's logarithm per update, for a share that is missed completely.
	gain                 = 0.15
	minFactor, maxFactor = 0.6, 8.0
	initialFactor        = 1.15 // factor of a zone without data
	minSent              = 5.0  // recent requests below which the factors don't change
)

// RecordSent records a request that was sent to a zone, by its index.
func (b *Balance) RecordSent(zone, zones int, at Time) {
	b.grow(zones)
	b.decay(at)
	b.sent[zone]++
}

func (b *Balance) grow(n int) {
	for len(b.sent) < n {
		b.sent, b.factors = append(b.sent, 0), append(b.factors, initialFactor)
	}
}

func (b *Balance) decay(at Time) {
	if at > b.at {
		f := math.Exp(-float64(at-b.at) / float64(balanceDecay))
		for i := range b.sent {
			b.sent[i] *= f
		}
		b.at = at
	}
}

// Factors returns the cost factor of each zone, given the target shares and whether each zone may
// be used. Call it a few times per second.
func (b *Balance) Factors(shares []float64, may []bool, own int, at Time) []float64 {
	b.grow(len(shares))
	b.decay(at)
	all := 0.0
	for _, s := range b.sent {
		all += s
	}
	out := make([]float64, len(shares))
	for z, share := range shares {
		switch {
		case !may[z]:
			out[z], b.factors[z] = math.Inf(1), initialFactor
		case share <= 0:
			out[z], b.factors[z] = maxFactor, initialFactor
		case z == own:
			out[z] = 1
		default:
			if all >= minSent {
				b.factors[z] *= math.Exp(gain * (b.sent[z]/all - share) / math.Max(share, 0.05))
				b.factors[z] = math.Min(math.Max(b.factors[z], minFactor), maxFactor)
			}
			out[z] = b.factors[z]
		}
	}
	return out
}
