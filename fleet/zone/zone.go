// Package zone determines the state of each zone from the reports of routers inside and outside of
// it: healthy, strained, failing, lost, returning, or out by an operator. It also determines which
// links between zones are cut.
//
// If only one other zone reports a zone as bad, the link between the two is considered cut: the
// routers of the reporting zone stop using the other one, and the rest continue. A zone is failing
// or lost only if its own routers or those of at least two zones report it as bad, and it is not
// lost if any zone reports it as good. A decider that is itself cut off therefore finds cut links,
// and no lost zone.
//
// A lost zone receives no traffic, so there are no new observations of it. After a hold time, which
// doubles each time the zone is lost again soon, and once its workers are listed, the zone returns
// with a trial level. From there its level rises as long as the results are good.
//
// The package does no I/O and starts no goroutines; the clock is an argument. A Monitor is not safe
// for concurrent use.
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

// State is the state of a zone.
type State uint8

// The states of a zone.
const (
	Healthy   State = iota
	Strained        // its load exceeds a stated part of its capacity
	Failing         // a part of the attempts there fails
	Lost            // almost all attempts there fail: it receives no traffic
	Returning       // it was lost or out, and receives a growing part of its traffic
	Out             // taken out by an operator
)

// String implements fmt.Stringer.
func (s State) String() string {
	return [...]string{"healthy", "strained", "failing", "lost", "returning", "out"}[min(s, Out)]
}

// Config sets the thresholds and times. All fields must be the same at all deciders.
type Config struct {
	Zones       []string
	MinAttempts float64       // minimum attempts of an observation that counts
	Failing     float64       // failed part of the attempts from which a zone is failing
	Lost        float64       // failed part of the attempts from which a zone is lost
	Strain      float64       // part of its capacity from which a zone is strained
	Confirm     time.Duration // how long a zone must be worse before its state changes
	Hold        time.Duration // how long a zone stays lost; doubled each time it was lost again soon
	Return      time.Duration // time from the trial level to full capacity
	Trial       float64       // part of its capacity with which a zone returns
}

// ErrConfig is wrapped by the errors for an invalid Config.
var ErrConfig = errors.New("zone")

const (
	maxDoublings = 4  // of Hold
	forgetAfter  = 10 // multiple of the longest Hold after which an earlier loss no longer counts
)

func (c *Config) check() error {
	seen := map[string]bool{}
	for _, z := range c.Zones {
		if z == "" || seen[z] {
			return fmt.Errorf("%w: zones hold %q, empty or duplicate", ErrConfig, z)
		}
		seen[z] = true
	}
	switch {
	case len(c.Zones) == 0:
		return fmt.Errorf("%w: zones is empty", ErrConfig)
	case !(c.Failing > 0 && c.Failing < c.Lost && c.Lost <= 1):
		return fmt.Errorf("%w: failing is %v and lost %v, want 0 < failing < lost <= 1", ErrConfig, c.Failing, c.Lost)
	case !(c.MinAttempts > 0):
		return fmt.Errorf("%w: least is %v, must be greater than 0", ErrConfig, c.MinAttempts)
	case !(c.Strain > 0 && c.Strain <= 1):
		return fmt.Errorf("%w: strain is %v, must be greater than 0 and at most 1", ErrConfig, c.Strain)
	case !(c.Trial > 0 && c.Trial <= 1):
		return fmt.Errorf("%w: trial is %v, must be greater than 0 and at most 1", ErrConfig, c.Trial)
	case c.Confirm < 0 || c.Hold <= 0 || c.Return <= 0:
		return fmt.Errorf("%w: confirm is %v, hold %v and return %v, want confirm >= 0, hold > 0 and return > 0", ErrConfig, c.Confirm, c.Hold, c.Return)
	}
	return nil
}

// Observation is what the routers of one zone observed recently at another zone, or at their own.
type Observation struct {
	From, Of string
	// Attempts, and those of them that could not connect, were reset or were answered by an error.
	Attempts, Failures float64
}

// Capacity is the load and capacity of a zone, in one unit. Invalid values are ignored.
type Capacity struct {
	Load   float64 // current load
	Now    float64 // capacity of the workers that are listed as serving, at their present warmth
	Listed bool    // at least one of its workers is listed as serving
}

// View is the input of Judge at one time.
type View struct {
	Observations []Observation
	Capacities   map[string]Capacity
	Out          map[string]bool // taken out by an operator
}

// Decision is the state that the Monitor decided for a zone.
type Decision struct {
	Zone  string
	State State
	Level float64 // part of its capacity that may be used, 0 to 1
	Since Time
	Why   string
	Cut   []string // zones that can't reach it while others can
}

type status struct {
	state          State
	since          Time
	indicated      State // state indicated by the observations, if it is worse than healthy
	indicatedSince Time
	lostAt         Time
	lossRepeats    int
	level          float64
	updatedAt      Time // when level was last updated
	why            string
	wasLost        bool
}

// Monitor decides the state of all zones.
type Monitor struct {
	cfg   Config
	zones map[string]*status
}

// New returns a monitor in which all zones are healthy.
func New(cfg Config, now Time) (*Monitor, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	m := &Monitor{cfg: cfg, zones: map[string]*status{}}
	for _, z := range cfg.Zones {
		m.zones[z] = &status{since: now, updatedAt: now, level: 1}
	}
	return m, nil
}

// observations groups the zones that observe one zone by what their observations of it indicate.
type observations struct {
	of                  string
	lost, failing, good []string
	share               float64 // failed part of all attempts
}

func (m *Monitor) observations(v View, of string) (l observations) {
	l.of = of
	tried, bad := map[string]float64{}, map[string]float64{}
	allTried, allBad := 0.0, 0.0
	for _, s := range v.Observations {
		if s.Of == of && s.Attempts > 0 && s.Failures >= 0 && s.Failures <= s.Attempts && m.zones[s.From] != nil {
			tried[s.From] += s.Attempts
			bad[s.From] += s.Failures
		}
	}
	for _, from := range slices.Sorted(maps.Keys(tried)) {
		if tried[from] < m.cfg.MinAttempts {
			continue
		}
		allTried, allBad = allTried+tried[from], allBad+bad[from]
		switch share := bad[from] / tried[from]; {
		case share >= m.cfg.Lost:
			l.lost = append(l.lost, from)
		case share >= m.cfg.Failing:
			l.failing = append(l.failing, from)
		default:
			l.good = append(l.good, from)
		}
	}
	if allTried > 0 {
		l.share = allBad / allTried
	}
	return l
}

// worst returns the state of a zone that the observations together indicate, and the reason.
func (l *observations) worst() (State, string) {
	worse := append(l.lost[:len(l.lost):len(l.lost)], l.failing...)
	why := fmt.Sprintf("%.0f%% went wrong, as seen from %v", 100*l.share, worse)
	switch inside := slices.Contains(worse, l.of); {
	case len(l.good) == 0 && (slices.Contains(l.lost, l.of) || len(l.lost) >= 2):
		return Lost, why
	case (inside || len(worse) >= 2) && len(l.good) <= max(len(worse)-2, 0):
		return Failing, why
	}
	return Healthy, ""
}

// cut returns the zones from which the zone can't be reached while it is not lost.
func (l *observations) cut() (out []string) {
	for _, from := range l.lost {
		if from != l.of {
			out = append(out, from)
		}
	}
	return out
}

// Judge updates and returns the state of each zone, in the order of Config.Zones. Call it several
// times per Confirm.
func (m *Monitor) Judge(v View, now Time) []Decision {
	out := make([]Decision, 0, len(m.cfg.Zones))
	for _, name := range m.cfg.Zones {
		r, l := m.zones[name], m.observations(v, name)
		m.step(r, &l, v.Capacities[name], v.Out[name], now)
		decision := Decision{Zone: name, State: r.state, Level: r.level, Since: r.since, Why: r.why}
		if r.state != Lost { // a lost zone is unreachable from all zones
			decision.Cut = l.cut()
		}
		out = append(out, decision)
	}
	return out
}

func (r *status) setState(s State, why string, now Time) {
	if s != r.state {
		r.state, r.since = s, now
	}
	r.why = why
}

func (m *Monitor) step(r *status, l *observations, k Capacity, out bool, now Time) {
	elapsed := time.Duration(now - r.updatedAt)
	r.updatedAt = now
	worst, why := l.worst()
	switch {
	case out:
		r.setState(Out, "by an operator", now)
		r.level, r.indicated = 0, Healthy
		return
	case r.state == Out:
		m.startReturn(r, "an operator gave it back", now)
		return
	}
	if worst == Healthy || r.indicated != worst && r.indicated != Lost {
		r.indicatedSince = now
	}
	r.indicated = worst
	confirmed := worst != Healthy && now-r.indicatedSince >= Time(m.cfg.Confirm)
	switch {
	case confirmed && worst == Lost && r.state != Lost:
		if r.wasLost && now-r.lostAt < Time(forgetAfter*(m.cfg.Hold<<maxDoublings)) {
			r.lossRepeats = min(r.lossRepeats+1, maxDoublings)
		} else {
			r.lossRepeats = 0
		}
		r.lostAt, r.wasLost, r.level = now, true, 0
		r.setState(Lost, why, now)
	case r.state == Lost:
		if now-r.since >= Time(m.cfg.Hold<<r.lossRepeats) && k.Listed {
			m.startReturn(r, "its hold is over and its workers are listed", now)
		}
	case confirmed && worst == Failing:
		r.level = min(r.level, 1-l.share)
		r.setState(Failing, why, now)
	case r.state == Returning || r.state == Failing && worst == Healthy:
		if r.state == Failing {
			r.setState(Returning, "what comes back is good again", now)
		}
		if worst == Healthy {
			r.level = min(1, r.level+elapsed.Seconds()/m.cfg.Return.Seconds()*(1-m.cfg.Trial))
		}
		if r.level >= 1 {
			r.setState(Healthy, "", now)
		}
	case r.state == Healthy || r.state == Strained:
		r.level = 1
		if sane := k.Now > 0 && k.Load >= 0; sane && k.Load > m.cfg.Strain*k.Now {
			r.setState(Strained, fmt.Sprintf("it has %.3g of %.3g", k.Load, k.Now), now)
		} else {
			r.setState(Healthy, "", now)
		}
	}
}

func (m *Monitor) startReturn(r *status, why string, now Time) {
	r.level, r.indicated, r.indicatedSince = m.cfg.Trial, Healthy, now
	r.setState(Returning, why, now)
}
