package virtual

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"lichenshelf/fleet/link"
	"lichenshelf/fleet/node"
	"lichenshelf/fleet/traffic"
	"lichenshelf/logic"
)

// gateway is one router: its decisions, its part in the fleet, and what it has in hand.
type gateway struct {
	w       *World
	i       int
	name    string
	decide  *logic.Gateway
	pending []logic.Event
	open    map[logic.RequestID]*exchange
	last    logic.RequestID
	members []logic.Member
	lines   []node.ListedWorker
	node    *node.Node
	front   *node.Front
	parts   map[string]float64
	running bool
	zone    int
	balance traffic.Balance
}

// RouterSeed is the seed of a router's decisions in a run.
func RouterSeed(seed uint64, router int) uint64 { return seed*1000 + uint64(router) }

func (w *World) newGateway(i int) (*gateway, error) {
	r := &gateway{w: w, i: i, name: fmt.Sprintf("r-%d", i), open: map[logic.RequestID]*exchange{}}
	set := w.cfg.Settings
	set.Gateways = w.cfg.Routers
	zones := w.cfg.Site.Zones()
	if w.cfg.Zoned {
		r.zone = i % zones
		set.Zone = r.zone
	}
	r.decide = logic.New(set, RouterSeed(w.cfg.Seed, i))
	if w.cfg.Near > 0 {
		figures := slices.Repeat([]float64{w.cfg.Near}, zones)
		figures[r.zone] = 1
		r.decide.SetZones(figures)
	}
	if w.cfg.Fleet == nil {
		return r, nil
	}
	cfg := *w.cfg.Fleet
	cfg.Self, cfg.Incarnation, cfg.Zones = r.name, 1, map[string]string{}
	for j := range w.cfg.Routers {
		cfg.Zones[fmt.Sprintf("r-%d", j)] = ""
		if w.cfg.Zones != nil {
			cfg.Zones[fmt.Sprintf("r-%d", j)] = w.cfg.Zones.Judge.Zones[j%zones]
		}
	}
	var err error
	if r.node, err = node.New(cfg, rand.New(rand.NewPCG(w.cfg.Seed, uint64(i))), 0); err != nil {
		return nil, err
	}
	if w.cfg.Zones != nil {
		if err := r.node.Zones(*w.cfg.Zones, 0); err != nil {
			return nil, err
		}
	}
	r.front = r.node.Front(node.FrontConfig{Name: "lab", Settings: set}, 0)
	w.after(time.Duration(w.rng.IntN(int(r.every()))), r.tick)
	return r, nil
}

func (r *gateway) every() time.Duration {
	d := r.w.cfg.Fleet.Lease / perTTL
	if c := r.w.cfg.Fleet.CountsPeriod; c > 0 {
		d = min(d, c)
	}
	return d
}

// tick is what the fleet's agent does on its ticker.
func (r *gateway) tick() {
	w := r.w
	r.post(r.node.Tick(w.now))
	parts, told := r.node.EvaluateWorkers([][]node.ListedWorker{r.lines}, w.now)
	r.gate(r.spread(parts))
	if told != nil {
		for _, t := range told[0] {
			r.push(logic.Event{Kind: logic.LoadReported, Server: t.Server, Load: t.Load})
		}
	}
	r.run()
	r.node.Notices()
	if w.now < w.cfg.For+w.cfg.Patience {
		w.after(r.every(), r.tick)
	}
}

// spread is what the fleet's agent does with the map: it tells the node of the zones' workers, takes those of barred zones out,
// and hands a figure for each zone to the decisions.
func (r *gateway) spread(parts map[string]float64) map[string]float64 {
	way, ok := r.node.ZoneRouting(r.w.now)
	if !ok {
		return parts
	}
	parts = maps.Clone(parts)
	if parts == nil {
		parts = map[string]float64{}
	}
	up, all := map[string]float64{}, map[string]float64{}
	cold := r.w.cfg.Site.Cold
	for _, m := range r.members {
		zone := way.Names[m.Zone]
		all[zone]++
		if m.Health == logic.Ready {
			warm := 1.0
			if age := epoch + logic.Time(r.w.now) - m.Since; m.Since > 0 && age < logic.Time(cold.WarmWithin) {
				warm = cold.Share + (1-cold.Share)*float64(age)/float64(cold.WarmWithin)
			}
			up[zone] += warm
		}
		if way.Barred[m.Zone] {
			parts[r.lines[m.Server].Name] = 0
		}
	}
	for zone, n := range all {
		up[zone] /= n
	}
	r.node.SetZoneServing(up)
	r.decide.SetZones(r.balance.Factors(way.Shares, way.Usable, way.Own, traffic.Time(r.w.now)))
	return parts
}

func (r *gateway) post(out []node.Envelope) {
	w := r.w
	for _, e := range out {
		if frame, err := link.Encode(e); err == nil && w.now >= w.cfg.Warm {
			w.Result.Messages++
			w.Result.Bytes += len(frame)
		}
		to := 0
		_, _ = fmt.Sscanf(e.To, "r-%d", &to)
		if w.rng.Float64() < w.cfg.Loss || w.Cut != nil && w.Cut(r.i, to) {
			continue
		}
		w.after(w.cfg.Hop, func() {
			peer := w.routers[to]
			peer.post(peer.node.Receive(e, w.now))
		})
	}
}

func (r *gateway) listed(members []logic.Member, lines []node.ListedWorker, whole bool) {
	r.members, r.lines = members, lines
	if r.front != nil {
		r.front.UpdateWorkers(lines, whole, int64(epoch)+int64(r.w.now), r.w.now)
	}
	r.hand()
}

// gate takes workers out, or gives them a part, as cordon.Gate does.
func (r *gateway) gate(parts map[string]float64) {
	same := len(parts) == len(r.parts)
	for name, p := range parts {
		old, ok := r.parts[name]
		same = same && ok && old == p
	}
	if r.parts = parts; !same {
		r.hand()
	}
}

func (r *gateway) hand() {
	members := append([]logic.Member(nil), r.members...)
	for i := range members {
		if p, ok := r.parts[r.lines[i].Name]; ok && members[i].Health == logic.Ready {
			if members[i].Weight *= p; p == 0 {
				members[i].Health = logic.Draining
			}
		}
	}
	r.push(logic.Event{Kind: logic.ServersChanged, Members: members})
	r.run()
}

func (r *gateway) push(e logic.Event) { r.pending = append(r.pending, e) }

// run lets the router decide until nothing new comes of it.
func (r *gateway) run() {
	if r.running { // who is deciding takes what came of it next
		return
	}
	r.running = true
	defer func() { r.running = false }()
	for len(r.pending) > 0 {
		events := r.pending
		r.pending = nil
		now := epoch + logic.Time(r.w.now)
		actions := r.decide.Handle(now, events, nil)
		if r.w.cfg.Record != nil {
			r.w.cfg.Record(r.i, now, events, actions)
		}
		for _, a := range actions {
			r.do(a)
		}
	}
}
