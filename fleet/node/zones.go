package node

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"lichenshelf/fleet/members"
	"lichenshelf/fleet/solver"
	"lichenshelf/fleet/traffic"
	"lichenshelf/fleet/zone"
)

// ZoneConfig holds the settings for judging zones and moving traffic between them. It must be
// the same at every router.
type ZoneConfig struct {
	Judge zone.Config // its Zones are also the zones of the map
	Terms traffic.Terms
	Pace  traffic.Pace
	// Safe is the share of a zone's capacity that is used while another zone has spare capacity.
	Safe float64
	// Capacity is in requests per second, with all workers of the zone warm.
	Capacity map[string]solver.Zone
	Far      [][]float64 // cost of distance, 0 to 1
	// Room is in requests per second between readers and writers; negative: no limit.
	Room [][]float64
}

// ZoneReport is what one router reports about the zones.
type ZoneReport struct {
	// Attempts counts recent own attempts by the worker's zone, decaying with zoneTimeConstant.
	// Failures counts those that did not connect, were reset or were answered with an error.
	Attempts map[string]float64 `cbor:"1,keyasint"`
	Failures map[string]float64 `cbor:"2,keyasint"`
	Load     float64            `cbor:"3,keyasint"` // requests per second that arrive at this router
	// Serving is the share of each zone's workers that serve, weighted by how warm they are.
	Serving map[string]float64 `cbor:"4,keyasint"`
	Ops     map[string]ZoneOp  `cbor:"5,keyasint"` // operators' commands
	Map     *traffic.Map       `cbor:"6,keyasint,omitempty"`
	Age     time.Duration      `cbor:"7,keyasint"` // since the map was renewed
}

// ZoneOp is an operator's command for a zone; the highest version wins.
type ZoneOp struct {
	Out     bool   `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
}

// Errors of operators' calls.
var (
	ErrNoZone   = errors.New("no such zone")
	ErrLastZone = errors.New("no other zone could take its traffic")
)

const (
	zoneJudgePeriod = 250 * time.Millisecond
	// zoneTimeConstant is that of the decay of attempts and arrivals. Each router stops using bad
	// workers by itself within a second or two; evidence has to outlast that.
	zoneTimeConstant = 4 * time.Second
	zoneReportMaxAge = 3 * time.Second // older reports of other routers are ignored
	minCount         = 1e-3            // decaying counts below it are removed
)

// zones is a node's state for traffic between zones.
type zones struct {
	cfg         ZoneConfig
	own         string
	monitor     *zone.Monitor
	stepper     *traffic.Stepper
	keeper      *traffic.Keeper
	ownReport   ZoneReport // its counts have decayed up to time at
	at          Time
	peerReports map[string]peerZoneReport
	judgedAt    Time
	states      []zone.Decision
	plan        *solver.Plan // the latest solution: what the map moves towards
	site        solver.Site  // the input of plan
}

type peerZoneReport struct {
	ZoneReport
	at Time
}

// Zones makes this node judge zones and follow a map of traffic between them. The router's own
// zone must be one of those of the config.
func (n *Node) Zones(cfg ZoneConfig, now Time) error {
	own := n.cfg.Zones[n.cfg.Self]
	if !slices.Contains(cfg.Judge.Zones, own) {
		return fmt.Errorf("%w: %q, the zone of router %s", ErrNoZone, own, n.cfg.Self)
	}
	z := &zones{cfg: cfg, own: own, at: now, peerReports: map[string]peerZoneReport{}}
	var err error
	if z.monitor, err = zone.New(cfg.Judge, zone.Time(now)); err != nil {
		return err
	}
	if z.stepper, err = traffic.NewStepper(cfg.Pace, traffic.Time(now)); err != nil {
		return err
	}
	if z.keeper, err = traffic.NewKeeper(cfg.Terms, own); err != nil {
		return err
	}
	site := solver.Site{Far: cfg.Far, Room: cfg.Room, Safe: cfg.Safe}
	for _, name := range cfg.Judge.Zones {
		site.Zones = append(site.Zones, cfg.Capacity[name])
	}
	if _, err := solver.Solve(site, nil); err != nil {
		return err
	}
	z.ownReport = ZoneReport{Attempts: map[string]float64{}, Failures: map[string]float64{}, Serving: map[string]float64{}, Ops: map[string]ZoneOp{}}
	n.zones = z
	return nil
}

func (z *zones) fade(now Time) {
	if now <= z.at {
		return
	}
	f := math.Exp(-float64(now-z.at) / float64(zoneTimeConstant))
	for _, m := range []map[string]float64{z.ownReport.Attempts, z.ownReport.Failures} {
		for name := range m {
			if m[name] *= f; m[name] < minCount {
				delete(m, name)
			}
		}
	}
	z.ownReport.Load *= f
	z.at = now
}

// ObserveArrival records a request that arrived at this router.
func (n *Node) ObserveArrival(now Time) {
	if z := n.zones; z != nil {
		z.fade(now)
		z.ownReport.Load += 1 / zoneTimeConstant.Seconds()
	}
}

// ObserveZoneAttempt records whether an attempt at a worker of a zone failed.
func (n *Node) ObserveZoneAttempt(of string, failed bool, now Time) {
	if z := n.zones; z != nil && slices.Contains(z.cfg.Judge.Zones, of) {
		z.fade(now)
		z.ownReport.Attempts[of]++
		if failed {
			z.ownReport.Failures[of]++
		}
	}
}

// SetZoneServing sets the share of each zone's workers that serve, weighted by how warm they are.
func (n *Node) SetZoneServing(serving map[string]float64) {
	if z := n.zones; z != nil {
		z.ownReport.Serving = serving
	}
}

// report returns the report that is sent to other routers.
func (z *zones) report(now Time) *ZoneReport {
	z.fade(now)
	out := z.ownReport
	out.Attempts, out.Failures, out.Serving, out.Ops = maps.Clone(out.Attempts), maps.Clone(out.Failures), maps.Clone(out.Serving), maps.Clone(out.Ops)
	out.Map, out.Age = z.keeper.Map(traffic.Time(now))
	return &out
}

// receive stores another router's report. The keeper ignores a map that is invalid, older than
// the present one, or different from it under the same epoch.
func (z *zones) receive(from string, report ZoneReport, now Time) {
	for _, m := range []map[string]float64{report.Attempts, report.Failures, report.Serving} {
		for name, v := range m {
			if !slices.Contains(z.cfg.Judge.Zones, name) || !(v >= 0) || math.IsInf(v, 0) {
				return
			}
		}
	}
	if !(report.Load >= 0) || math.IsInf(report.Load, 0) || report.Age < 0 {
		return
	}
	z.peerReports[from] = peerZoneReport{report, now}
	for name, op := range report.Ops {
		if op.Version > z.ownReport.Ops[name].Version && slices.Contains(z.cfg.Judge.Zones, name) {
			z.ownReport.Ops[name] = op
		}
	}
	if report.Map != nil && slices.Equal(report.Map.Zones, z.cfg.Judge.Zones) {
		_ = z.keeper.Take(report.Map, traffic.Time(now-report.Age))
	}
}

// isDecider reports whether this router makes the maps. The decider is the first by name of the
// routers that are alive, provided that it is neither fenced nor isolated.
func (n *Node) isDecider(now Time) bool {
	if n.fenced || n.members.Isolated(members.Time(now)) {
		return false
	}
	for _, name := range n.names {
		if name == n.cfg.Self {
			return true
		}
		if n.members.State(name, members.Time(now)) == members.Alive {
			return false
		}
	}
	return false
}

// localMap returns the initial map, under which all traffic stays in the zone where it enters.
func (z *zones) localMap() *traffic.Map {
	all := z.cfg.Judge.Zones
	m := &traffic.Map{Epoch: 1, Zones: all, Why: "before there was one"}
	for i := range all {
		row := make([]float64, len(all))
		row[i] = 1
		m.Read, m.Write = append(m.Read, row), append(m.Write, slices.Clone(row))
	}
	return m
}

// reaches reports whether own attempts reach a zone. With too few attempts to judge by, a zone
// counts as reached.
func (z *zones) reaches(name string) bool {
	attempts := z.ownReport.Attempts[name]
	return attempts < z.cfg.Judge.MinAttempts || z.ownReport.Failures[name] < z.cfg.Judge.Lost*attempts
}

// ZoneRouting says where this router's traffic goes, by zone.
type ZoneRouting struct {
	Names  []string
	Shares []float64 // shares of the requests that are read there
	Barred []bool    // its workers get nothing new
	Usable []bool    // it may be used: it is not barred, and own attempts reach it
	Own    int       // index of the router's zone
}

// ZoneRouting returns where this router's traffic goes; ok is false if no zones are set.
func (n *Node) ZoneRouting(now Time) (routing ZoneRouting, ok bool) {
	z := n.zones
	if z == nil {
		return routing, false
	}
	z.fade(now)
	routing.Names = z.cfg.Judge.Zones
	routing.Shares = z.keeper.Shares(routing.Names, z.reaches, traffic.Time(now))
	for _, name := range routing.Names {
		barred := z.keeper.Barred(name, traffic.Time(now))
		routing.Barred, routing.Usable = append(routing.Barred, barred), append(routing.Usable, !barred && z.reaches(name))
	}
	routing.Own = slices.Index(routing.Names, z.own)
	return routing, true
}

// ZoneView is the state of the zones for the console.
type ZoneView struct {
	States  []zone.Decision
	Map     *traffic.Map
	Age     time.Duration
	Best    *solver.Plan // the plan that the map moves towards
	Decides bool
	Shares  []float64 // of this router
}

// ZoneView returns the state of the zones, and false if none are set.
func (n *Node) ZoneView(now Time) (ZoneView, bool) {
	z := n.zones
	if z == nil {
		return ZoneView{}, false
	}
	v := ZoneView{States: z.states, Best: z.plan, Decides: n.isDecider(now)}
	v.Map, v.Age = z.keeper.Map(traffic.Time(now))
	routing, _ := n.ZoneRouting(now)
	v.Shares = routing.Shares
	return v, true
}

// PlanWithoutZone returns where traffic would go if a zone were out, from the present reports.
func (n *Node) PlanWithoutZone(name string) (*solver.Plan, error) {
	z := n.zones
	if z == nil || !slices.Contains(z.cfg.Judge.Zones, name) || len(z.site.Zones) == 0 {
		return nil, fmt.Errorf("%w: %.64q", ErrNoZone, name)
	}
	site := z.site
	site.Zones = slices.Clone(site.Zones)
	site.Zones[slices.Index(z.cfg.Judge.Zones, name)] = solver.Zone{}
	return solver.Solve(site, z.plan)
}

// SetZoneOut takes a zone out, or back in if out is false, on an operator's command. It returns
// ErrLastZone for the last zone that may be used, unless force is set.
func (n *Node) SetZoneOut(name string, out, force bool, now Time) error {
	z := n.zones
	if z == nil || !slices.Contains(z.cfg.Judge.Zones, name) {
		return fmt.Errorf("%w: %.64q", ErrNoZone, name)
	}
	left := 0
	for _, v := range z.states {
		if v.Zone != name && v.Level > 0 && !z.ownReport.Ops[v.Zone].Out {
			left++
		}
	}
	if out && left == 0 && !force {
		return fmt.Errorf("%w: all of it would be shed", ErrLastZone)
	}
	z.ownReport.Ops[name] = ZoneOp{out, max(z.ownReport.Ops[name].Version+1, uint64(now.Milliseconds()))}
	return nil
}
