package agent

import (
	"maps"
	"math"
	"net/url"
	"slices"
	"strings"
	"time"

	"lichenshelf/fleet/node"
	"lichenshelf/fleet/solver"
	"lichenshelf/fleet/traffic"
	"lichenshelf/logic"
	"lichenshelf/router"
)

// zoneTraffic holds a front's workers by zone and the balance of its requests between zones. It is
// guarded by the agent's lock.
type zoneTraffic struct {
	places     map[string]place // by worker
	starts     router.Starts
	maxWorkers map[string]int // the highest number of workers that each zone has had
	balance    traffic.Balance
}

type place struct {
	zone  string
	index int // of the zone in FrontConfig.Zones
	kind  int
	began time.Time // zero: long ago
	ready bool
}

func (s *zoneTraffic) update(names []string, members []router.Member, whole bool, now time.Time) {
	if s.places == nil || whole {
		s.places = map[string]place{}
	}
	for _, m := range members {
		if m.Health == logic.Gone || m.Zone < 0 || m.Zone >= len(names) {
			delete(s.places, m.Name)
			continue
		}
		s.places[m.Name] = place{names[m.Zone], m.Zone, m.Kind, s.starts.Began(m.Name, m.Since, m.PreviousListCurrent, now), m.Health == logic.Ready}
	}
	if s.maxWorkers == nil {
		s.maxWorkers = map[string]int{}
	}
	for zone, n := range s.count() {
		s.maxWorkers[zone] = max(s.maxWorkers[zone], n)
	}
}

func (s *zoneTraffic) count() map[string]int {
	out := map[string]int{}
	for _, p := range s.places {
		out[p.zone]++
	}
	return out
}

// sent records in which zone a request is read.
func (s *zoneTraffic) sent(worker string, kinds []logic.Kind, now time.Duration) {
	if p, ok := s.places[worker]; ok && (p.kind >= len(kinds) || kinds[p.kind].Role != logic.RoleWrite) {
		s.balance.RecordSent(p.index, p.index+1, traffic.Time(now))
	}
}

// serving returns the share of each zone's workers that serve, weighted by how warm they are by the
// settings.
func (s *zoneTraffic) serving(set logic.Settings, now time.Time) map[string]float64 {
	out := map[string]float64{}
	for zone := range s.maxWorkers {
		out[zone] = 0
	}
	for _, p := range s.places {
		if !p.ready {
			continue
		}
		warm := 1.0
		if age := now.Sub(p.began); !p.began.IsZero() && set.WarmWithin > 0 && age < set.WarmWithin {
			warm = set.ColdShare + (1-set.ColdShare)*math.Max(float64(age), 0)/float64(set.WarmWithin)
		}
		out[p.zone] += warm / float64(s.maxWorkers[p.zone])
	}
	return out
}

// applyZones reports the zones' workers to the node, sets the parts of workers in barred zones to
// 0, and returns the zones' cost factors by front, nil if no zones are set. The caller holds the
// lock.
func (a *Agent) applyZones(parts map[string]float64) (map[string]float64, [][]float64) {
	routing, ok := a.node.ZoneRouting(a.now())
	names := routing.Names
	if !ok {
		return parts, nil
	}
	parts = maps.Clone(parts)
	if parts == nil {
		parts = map[string]float64{}
	}
	serving, factors := map[string]float64{}, make([][]float64, len(a.fronts))
	for i, f := range a.fronts {
		for zone, part := range f.zones.serving(f.cfg.Settings, time.Now()) {
			// The lowest share over the fronts counts: a request needs the workers of its own front.
			if was, ok := serving[zone]; !ok || part < was {
				serving[zone] = part
			}
		}
		for worker, p := range f.zones.places {
			if z := slices.Index(names, p.zone); z >= 0 && routing.Barred[z] {
				parts[worker] = 0
			}
		}
		if len(f.cfg.Zones) == 0 {
			continue
		}
		shares, usable, own := make([]float64, len(f.cfg.Zones)), make([]bool, len(f.cfg.Zones)), -1
		for j, name := range f.cfg.Zones {
			if z := slices.Index(names, name); z >= 0 {
				shares[j], usable[j] = routing.Shares[z], routing.Usable[z]
				if z == routing.Own {
					own = j
				}
			}
		}
		factors[i] = f.zones.balance.Factors(shares, usable, own, traffic.Time(a.now()))
		for j, name := range f.cfg.Zones {
			if !slices.Contains(names, name) {
				factors[i][j] = 0 // not in the map: the default cost of distance applies
			}
		}
	}
	a.node.SetZoneServing(serving)
	return parts, factors
}

// ObserveArrival records a request that arrived at this router.
func (a *Agent) ObserveArrival() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.node.ObserveArrival(a.now())
}

// ZonesPage is the state of the zones.
type ZonesPage struct {
	Self    string       `json:"self"`
	Decides bool         `json:"decides"`
	Zones   []ZoneLine   `json:"zones"`
	Map     *traffic.Map `json:"map"`
	AgeS    float64      `json:"age_s"`  // since the map was renewed
	Shares  []float64    `json:"shares"` // of this router's traffic
	Best    *solver.Plan `json:"best"`   // the plan that the map moves towards
}

// ZoneLine is one zone.
type ZoneLine struct {
	Name   string   `json:"name"`
	State  string   `json:"state"`
	Level  float64  `json:"level"`
	SinceS float64  `json:"since_s"`
	Why    string   `json:"why"`
	Cut    []string `json:"cut"`
}

func (a *Agent) zonesPage() (ZonesPage, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	v, ok := a.node.ZoneView(now)
	p := ZonesPage{Self: a.cfg.Self, Decides: v.Decides, Zones: []ZoneLine{}, Map: v.Map, AgeS: v.Age.Seconds(), Shares: v.Shares, Best: v.Best}
	for _, s := range v.States {
		p.Zones = append(p.Zones, ZoneLine{s.Zone, s.State.String(), s.Level, (now - time.Duration(s.Since)).Seconds(), s.Why, s.Cut})
	}
	return p, ok
}

// Do executes an operator's command: zone/NAME/drain, zone/NAME/force or zone/NAME/return.
func (a *Agent) Do(name string) error {
	rest, ok := strings.CutPrefix(name, "zone/")
	zone, verb, found := strings.Cut(rest, "/")
	zone, err := url.PathUnescape(zone)
	if !ok || !found || err != nil || !slices.Contains([]string{"drain", "force", "return"}, verb) {
		return node.ErrNoZone
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.node.SetZoneOut(zone, verb != "return", verb == "force", a.now())
}

// planWithoutZone returns where traffic would go without a zone.
func (a *Agent) planWithoutZone(zone string) (*solver.Plan, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p, err := a.node.PlanWithoutZone(zone)
	return p, err == nil
}
