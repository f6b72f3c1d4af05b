// Package zone decides in which state each zone is, from what routers inside and outside of it report: healthy, strained,
// failing, lost, returning, or out by an operator; and which links between zones are cut.
//
// A zone that is seen bad from one other zone alone is a cut link: that zone's routers do without it, the others go on. It
// is failing or lost by the word of routers of two zones at least, of which its own may be one, and not against the word of
// another zone that sees it well. So a decider that is itself cut off finds cut links, and no zone lost.
//
// A lost zone gets nothing, so nothing more is learnt of it. After a hold, which doubles each time soon after the last, and
// once its workers are listed, it returns with a trial, and from there by a ramp as long as what comes back is good.
//
// The package does no I/O and starts nothing; the clock is an argument. A Monitor is not safe for concurrent use.
package zone

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Time is a reading of the caller's monotonic clock from an arbitrary start.
type Time time.Duration

// State is what a zone is.
type State uint8

// The states of a zone.
const (
	Healthy   State = iota
	Strained        // its load lies over a stated part of what it takes
	Failing         // a part of what goes there goes wrong
	Lost            // next to all of it does: it gets nothing
	Returning       // it was lost or out, and gets a growing part
	Out             // by an operator
)

// String implements fmt.Stringer.
func (s State) String() string {
	return [...]string{"healthy", "strained", "failing", "lost", "returning", "out"}[min(s, Out)]
}

// Config says what counts. All fields must be the same at all who decide.
type Config struct {
	Zones   []string
	Least   float64       // attempts in a sight, under which it says nothing
	Failing float64       // part that goes wrong, from which a zone is failing,
	Lost    float64       // and from which it is lost
	Strain  float64       // part of its capacity, from which it is strained
	Confirm time.Duration // for so long a zone must look worse before it counts as that
	Hold    time.Duration // it stays lost for so long, doubled each time soon after the last
	Return  time.Duration // from its trial to all of its capacity
	Trial   float64       // part of its capacity with which it returns
}

// ErrConfig is what a faulty Config wraps.
var ErrConfig = errors.New("zone")

const (
	mostDoublings = 4  // of Hold
	forgetAfter   = 10 // times the longest Hold, after which an earlier loss counts no more
)

func (c *Config) check() error {
	seen := map[string]bool{}
	for _, z := range c.Zones {
		if z == "" || seen[z] {
			return fmt.Errorf("%w: zones hold %q, empty or named twice", ErrConfig, z)
		}
		seen[z] = true
	}
	switch {
	case len(c.Zones) == 0:
		return fmt.Errorf("%w: zones is empty", ErrConfig)
	case !(c.Failing > 0 && c.Failing < c.Lost && c.Lost <= 1):
		return fmt.Errorf("%w: failing is %v and lost %v, not over 0, larger, and up to 1", ErrConfig, c.Failing, c.Lost)
	case !(c.Least > 0):
		return fmt.Errorf("%w: least is %v, not over 0", ErrConfig, c.Least)
	case !(c.Strain > 0 && c.Strain <= 1):
		return fmt.Errorf("%w: strain is %v, not over 0 and up to 1", ErrConfig, c.Strain)
	case !(c.Trial > 0 && c.Trial <= 1):
		return fmt.Errorf("%w: trial is %v, not over 0 and up to 1", ErrConfig, c.Trial)
	case c.Confirm < 0 || c.Hold <= 0 || c.Return <= 0:
		return fmt.Errorf("%w: confirm is %v, hold %v and return %v, not 0 or more, over 0 and over 0", ErrConfig, c.Confirm, c.Hold, c.Return)
	}
	return nil
}

// Sight is what the routers of one zone had at another, or at their own, of late.
type Sight struct {
	From, Of   string
	Tried, Bad float64 // attempts, and those that could not reach it, were reset or answered by an error
}

// Capacity is what a zone takes, in the unit of Load. What makes no sense counts as not told.
type Capacity struct {
	Load   float64 // what it has
	Now    float64 // with the workers that are listed as serving, as warm as they are
	Listed bool    // any of its workers is
}

// View is what is known at a time.
type View struct {
	Sights     []Sight
	Capacities map[string]Capacity
	Out        map[string]bool // by an operator
}

// Verdict is what a zone is by now.
type Verdict struct {
	Zone  string
	State State
	Level float64 // part of its capacity that may be used, 0 to 1
	Since Time
	Why   string
	Cut   []string // zones from which it can't be reached, while others can
}

type record struct {
	state       State
	since       Time
	worse       State // what it looks like, if that is worse
	worseSince  Time
	lostAt      Time
	times       int
	level       float64
	at          Time // of level
	why         string
	everWasLost bool
}

// Monitor judges all zones.
type Monitor struct {
	cfg   Config
	zones map[string]*record
}

// New returns a monitor to which all zones are healthy.
func New(cfg Config, now Time) (*Monitor, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	m := &Monitor{cfg: cfg, zones: map[string]*record{}}
	for _, z := range cfg.Zones {
		m.zones[z] = &record{since: now, at: now, level: 1}
	}
	return m, nil
}

// looks is what sights say of one zone, by the zone that they are from.
type looks struct {
	of                  string
	lost, failing, well []string
	share               float64 // that goes wrong, over all
}

func (m *Monitor) looks(v View, of string) (l looks) {
	l.of = of
	tried, bad := map[string]float64{}, map[string]float64{}
	allTried, allBad := 0.0, 0.0
	for _, s := range v.Sights {
		if s.Of == of && s.Tried > 0 && s.Bad >= 0 && s.Bad <= s.Tried && m.zones[s.From] != nil {
			tried[s.From] += s.Tried
			bad[s.From] += s.Bad
		}
	}
	for _, from := range slices.Sorted(maps.Keys(tried)) {
		if tried[from] < m.cfg.Least {
			continue
		}
		allTried, allBad = allTried+tried[from], allBad+bad[from]
		switch share := bad[from] / tried[from]; {
		case share >= m.cfg.Lost:
			l.lost = append(l.lost, from)
		case share >= m.cfg.Failing:
			l.failing = append(l.failing, from)
		default:
			l.well = append(l.well, from)
		}
	}
	if allTried > 0 {
		l.share = allBad / allTried
	}
	return l
}

// worst is what the sights, taken together, say that a zone is, and why.
func (l *looks) worst() (State, string) {
	worse := append(l.lost[:len(l.lost):len(l.lost)], l.failing...)
	why := fmt.Sprintf("%.0f%% went wrong, as seen from %v", 100*l.share, worse)
	switch inside := slices.Contains(worse, l.of); {
	case len(l.well) == 0 && (slices.Contains(l.lost, l.of) || len(l.lost) >= 2):
		return Lost, why
	case (inside || len(worse) >= 2) && len(l.well) <= max(len(worse)-2, 0):
		return Failing, why
	}
	return Healthy, ""
}

// cut is from where the zone can't be reached, while it is not lost.
func (l *looks) cut() (out []string) {
	for _, from := range l.lost {
		if from != l.of {
			out = append(out, from)
		}
	}
	return out
}

// Judge takes what is known and returns what each zone is, in the order of the Config. It is to be called several times in a
// Confirm.
func (m *Monitor) Judge(v View, now Time) []Verdict {
	out := make([]Verdict, 0, len(m.cfg.Zones))
	for _, name := range m.cfg.Zones {
		r, l := m.zones[name], m.looks(v, name)
		m.step(r, &l, v.Capacities[name], v.Out[name], now)
		verdict := Verdict{Zone: name, State: r.state, Level: r.level, Since: r.since, Why: r.why}
		if r.state != Lost { // else all are without it
			verdict.Cut = l.cut()
		}
		out = append(out, verdict)
	}
	return out
}

func (r *record) become(s State, why string, now Time) {
	if s != r.state {
		r.state, r.since = s, now
	}
	r.why = why
}

func (m *Monitor) step(r *record, l *looks, k Capacity, out bool, now Time) {
	elapsed := time.Duration(now - r.at)
	r.at = now
	worst, why := l.worst()
	switch {
	case out:
		r.become(Out, "by an operator", now)
		r.level, r.worse = 0, Healthy
		return
	case r.state == Out:
		m.back(r, "an operator gave it back", now)
		return
	}
	if worst == Healthy || r.worse != worst && r.worse != Lost {
		r.worseSince = now
	}
	r.worse = worst
	confirmed := worst != Healthy && now-r.worseSince >= Time(m.cfg.Confirm)
	switch {
	case confirmed && worst == Lost && r.state != Lost:
		if r.everWasLost && now-r.lostAt < Time(forgetAfter*(m.cfg.Hold<<mostDoublings)) {
			r.times = min(r.times+1, mostDoublings)
		} else {
			r.times = 0
		}
		r.lostAt, r.everWasLost, r.level = now, true, 0
		r.become(Lost, why, now)
	case r.state == Lost:
		if now-r.since >= Time(m.cfg.Hold<<r.times) && k.Listed {
			m.back(r, "its hold is over and its workers are listed", now)
		}
	case confirmed && worst == Failing:
		r.level = min(r.level, 1-l.share)
		r.become(Failing, why, now)
	case r.state == Returning || r.state == Failing && worst == Healthy:
		if r.state == Failing {
			r.become(Returning, "what comes back is good again", now)
		}
		if worst == Healthy {
			r.level = min(1, r.level+elapsed.Seconds()/m.cfg.Return.Seconds()*(1-m.cfg.Trial))
		}
		if r.level >= 1 {
			r.become(Healthy, "", now)
		}
	case r.state == Healthy || r.state == Strained:
		r.level = 1
		if sane := k.Now > 0 && k.Load >= 0; sane && k.Load > m.cfg.Strain*k.Now {
			r.become(Strained, fmt.Sprintf("it has %.3g of %.3g", k.Load, k.Now), now)
		} else {
			r.become(Healthy, "", now)
		}
	}
}

func (m *Monitor) back(r *record, why string, now Time) {
	r.level, r.worse, r.worseSince = m.cfg.Trial, Healthy, now
	r.become(Returning, why, now)
}
