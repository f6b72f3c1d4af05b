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

// ZoneConfig says how zones are judged and traffic is moved between them. All of it must be the same at every router.
type ZoneConfig struct {
	Judge    zone.Config // its Zones are those of the map
	Terms    traffic.Terms
	Pace     traffic.Pace
	Safe     float64                // part of a zone's capacity up to which it is loaded while another one has room
	Capacity map[string]solver.Zone // requests a second that a zone takes, with all of its workers warm
	Far      [][]float64            // cost of distance, 0 to 1
	Room     [][]float64            // requests a second between readers and writers; negative: not bounded
}

// ZoneNews is what one router tells of the zones.
type ZoneNews struct {
	Tried map[string]float64 `cbor:"1,keyasint"` // own attempts lately, by the worker's zone
	Bad   map[string]float64 `cbor:"2,keyasint"` // those that could not reach it, were reset or answered by an error
	Load  float64            `cbor:"3,keyasint"` // requests a second that come to it
	Up    map[string]float64 `cbor:"4,keyasint"` // part of each zone's workers that serve, as warm as they are
	Ops   map[string]ZoneOp  `cbor:"5,keyasint"` // operators' words
	Map   *traffic.Map       `cbor:"6,keyasint,omitempty"`
	Age   time.Duration      `cbor:"7,keyasint"` // since the map was renewed
}

// ZoneOp is an operator's word on a zone; the later version counts.
type ZoneOp struct {
	Out     bool   `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
}

// The faults of operators' calls.
var (
	ErrNoZone   = errors.New("no such zone")
	ErrLastZone = errors.New("no other zone could take its traffic")
)

const (
	zoneLook   = 250 * time.Millisecond
	zoneMemory = 4 * time.Second // over which attempts and arrivals fade: routers leave bad workers by themselves within a second or two
	zoneStale  = 3 * time.Second // after which another router's word counts no more
	leastPart  = 1e-3            // of a fading count, under which it is none
)

// zones is a node's part in the traffic between zones.
type zones struct {
	cfg     ZoneConfig
	own     string
	monitor *zone.Monitor
	step    *traffic.Stepper
	keep    *traffic.Keeper
	news    ZoneNews // of this router; counts as of at
	at      Time
	others  map[string]heardZones
	looked  Time
	states  []zone.Verdict
	plan    *solver.Plan // what the best would be, as it was found last
	site    solver.Site  // from which
}

type heardZones struct {
	ZoneNews
	at Time
}

// Zones makes this node judge zones and follow a map of traffic between them, as a router of its own zone, which must be one of
// those of the config.
func (n *Node) Zones(cfg ZoneConfig, now Time) error {
	own := n.cfg.Zones[n.cfg.Self]
	if !slices.Contains(cfg.Judge.Zones, own) {
		return fmt.Errorf("%w: %q, of router %s", ErrNoZone, own, n.cfg.Self)
	}
	z := &zones{cfg: cfg, own: own, at: now, others: map[string]heardZones{}}
	var err error
	if z.monitor, err = zone.New(cfg.Judge, zone.Time(now)); err != nil {
		return err
	}
	if z.step, err = traffic.NewStepper(cfg.Pace, traffic.Time(now)); err != nil {
		return err
	}
	if z.keep, err = traffic.NewKeeper(cfg.Terms, own); err != nil {
		return err
	}
	site := solver.Site{Far: cfg.Far, Room: cfg.Room, Safe: cfg.Safe}
	for _, name := range cfg.Judge.Zones {
		site.Zones = append(site.Zones, cfg.Capacity[name])
	}
	if _, err := solver.Solve(site, nil); err != nil {
		return err
	}
	z.news = ZoneNews{Tried: map[string]float64{}, Bad: map[string]float64{}, Up: map[string]float64{}, Ops: map[string]ZoneOp{}}
	n.zones = z
	return nil
}

func (z *zones) fade(now Time) {
	if now <= z.at {
		return
	}
	f := math.Exp(-float64(now-z.at) / float64(zoneMemory))
	for _, m := range []map[string]float64{z.news.Tried, z.news.Bad} {
		for name := range m {
			if m[name] *= f; m[name] < leastPart {
				delete(m, name)
			}
		}
	}
	z.news.Load *= f
	z.at = now
}

// ZoneArrived notes a request that came to this router.
func (n *Node) ZoneArrived(now Time) {
	if z := n.zones; z != nil {
		z.fade(now)
		z.news.Load += 1 / zoneMemory.Seconds()
	}
}

// ZoneTried notes how an attempt at a worker of a zone ended.
func (n *Node) ZoneTried(of string, bad bool, now Time) {
	if z := n.zones; z != nil && slices.Contains(z.cfg.Judge.Zones, of) {
		z.fade(now)
		z.news.Tried[of]++
		if bad {
			z.news.Bad[of]++
		}
	}
}

// ZoneUp notes which part of a zone's workers serve, as warm as they are.
func (n *Node) ZoneUp(up map[string]float64) {
	if z := n.zones; z != nil {
		z.news.Up = up
	}
}

// tell is what goes to the others.
func (z *zones) tell(now Time) *ZoneNews {
	z.fade(now)
	out := z.news
	out.Tried, out.Bad, out.Up, out.Ops = maps.Clone(out.Tried), maps.Clone(out.Bad), maps.Clone(out.Up), maps.Clone(out.Ops)
	out.Map, out.Age = z.keep.Map(traffic.Time(now))
	return &out
}

// hear takes another router's word. A map that makes no sense, is older or another one of the same epoch is passed over.
func (z *zones) hear(from string, news ZoneNews, now Time) {
	for _, m := range []map[string]float64{news.Tried, news.Bad, news.Up} {
		for name, v := range m {
			if !slices.Contains(z.cfg.Judge.Zones, name) || !(v >= 0) || math.IsInf(v, 0) {
				return
			}
		}
	}
	if !(news.Load >= 0) || math.IsInf(news.Load, 0) || news.Age < 0 {
		return
	}
	z.others[from] = heardZones{news, now}
	for name, op := range news.Ops {
		if op.Version > z.news.Ops[name].Version && slices.Contains(z.cfg.Judge.Zones, name) {
			z.news.Ops[name] = op
		}
	}
	if news.Map != nil && slices.Equal(news.Map.Zones, z.cfg.Judge.Zones) {
		_ = z.keep.Take(news.Map, traffic.Time(now-news.Age))
	}
}

// decides tells whether this router makes the maps: the first by name of those that are alive, if it hears enough of them.
func (n *Node) decides(now Time) bool {
	if n.fenced || n.members.Deaf(members.Time(now)) {
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

// nearest is the map that holds before there is one: all stays where it comes in.
func (z *zones) nearest() *traffic.Map {
	all := z.cfg.Judge.Zones
	m := &traffic.Map{Epoch: 1, Zones: all, Why: "before there was one"}
	for i := range all {
		row := make([]float64, len(all))
		row[i] = 1
		m.Read, m.Write = append(m.Read, row), append(m.Write, slices.Clone(row))
	}
	return m
}

// sees tells whether own attempts reach a zone; without any it counts as seen.
func (z *zones) sees(name string) bool {
	tried := z.news.Tried[name]
	return tried < z.cfg.Judge.Least || z.news.Bad[name] < z.cfg.Judge.Lost*tried
}

// ZoneWay is where this router's traffic is to go, by zone.
type ZoneWay struct {
	Names  []string
	Shares []float64 // parts that are to be read there
	Barred []bool    // nothing new may go to its workers
	May    []bool    // it may be used: it is not barred, and own attempts reach it
	Own    int       // index of the router's zone
}

// ZoneWay returns it; false where no zones were set.
func (n *Node) ZoneWay(now Time) (way ZoneWay, ok bool) {
	z := n.zones
	if z == nil {
		return way, false
	}
	z.fade(now)
	way.Names = z.cfg.Judge.Zones
	way.Shares = z.keep.Shares(way.Names, z.sees, traffic.Time(now))
	for _, name := range way.Names {
		barred := z.keep.Barred(name, traffic.Time(now))
		way.Barred, way.May = append(way.Barred, barred), append(way.May, !barred && z.sees(name))
	}
	way.Own = slices.Index(way.Names, z.own)
	return way, true
}

// ZoneView is what there is to see of the zones.
type ZoneView struct {
	States  []zone.Verdict
	Map     *traffic.Map
	Age     time.Duration
	Best    *solver.Plan // what the map moves towards
	Decides bool
	Shares  []float64 // of this router
}

// ZonePage tells of the zones; false where none were set.
func (n *Node) ZonePage(now Time) (ZoneView, bool) {
	z := n.zones
	if z == nil {
		return ZoneView{}, false
	}
	v := ZoneView{States: z.states, Best: z.plan, Decides: n.decides(now)}
	v.Map, v.Age = z.keep.Map(traffic.Time(now))
	way, _ := n.ZoneWay(now)
	v.Shares = way.Shares
	return v, true
}

// ZoneDry tells where traffic would go if a zone were out, by what is known now.
func (n *Node) ZoneDry(name string) (*solver.Plan, error) {
	z := n.zones
	if z == nil || !slices.Contains(z.cfg.Judge.Zones, name) || len(z.site.Zones) == 0 {
		return nil, fmt.Errorf("%w: %.64q", ErrNoZone, name)
	}
	site := z.site
	site.Zones = slices.Clone(site.Zones)
	site.Zones[slices.Index(z.cfg.Judge.Zones, name)] = solver.Zone{}
	return solver.Solve(site, z.plan)
}

// ZoneOut takes an operator's word that a zone is out, or back with false. A zone that is the last one that may be used is
// ErrLastZone unless it is forced.
func (n *Node) ZoneOut(name string, out, force bool, now Time) error {
	z := n.zones
	if z == nil || !slices.Contains(z.cfg.Judge.Zones, name) {
		return fmt.Errorf("%w: %.64q", ErrNoZone, name)
	}
	left := 0
	for _, v := range z.states {
		if v.Zone != name && v.Level > 0 && !z.news.Ops[v.Zone].Out {
			left++
		}
	}
	if out && left == 0 && !force {
		return fmt.Errorf("%w: all of it would be shed", ErrLastZone)
	}
	z.news.Ops[name] = ZoneOp{out, max(z.news.Ops[name].Version+1, uint64(now.Milliseconds()))}
	return nil
}
