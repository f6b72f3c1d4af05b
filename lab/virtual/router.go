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

// gateway is one router: its decisions, its fleet node and its open requests.
type gateway struct {
	w       *World
	i       int
	name    string
	decide  *logic.Gateway
	pending []logic.Event
	open    map[logic.RequestID]*exchange
	lastID  logic.RequestID
	members []logic.Member
	listed  []node.ListedWorker
	node    *node.Node
	front   *node.Front
	shares  map[string]float64
	running bool
	zone    int
	balance traffic.Balance
}

// RouterSeed returns the seed of a router's decisions in a run.
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
	if w.cfg.FarCost > 0 {
		costs := slices.Repeat([]float64{w.cfg.FarCost}, zones)
		costs[r.zone] = 1
		r.decide.SetZones(costs)
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
	w.after(time.Duration(w.rng.IntN(int(r.tickInterval()))), r.tick)
	return r, nil
}

func (r *gateway) tickInterval() time.Duration {
	d := r.w.cfg.Fleet.Lease / ticksPerLease
	if c := r.w.cfg.Fleet.CountsPeriod; c > 0 {
		d = min(d, c)
	}
	return d
}

// tick does what the fleet's agent does on each tick.
func (r *gateway) tick() {
	w := r.w
	r.sendMessages(r.node.Tick(w.now))
	shares, reports := r.node.EvaluateWorkers([][]node.ListedWorker{r.listed}, w.now)
	r.applyShares(r.applyZones(shares))
	if reports != nil {
		for _, t := range reports[0] {
			r.push(logic.Event{Kind: logic.LoadReported, Server: t.Server, Load: t.Load})
		}
	}
	r.run()
	r.node.Notices()
	if w.now < w.cfg.For+w.cfg.Patience {
		w.after(r.tickInterval(), r.tick)
	}
}

// applyZones does what the fleet's agent does with the zone map: it reports the capacity of the
// zones' workers to the node, sets the share of workers in barred zones to 0, and passes a cost
// factor for each zone to the decisions.
func (r *gateway) applyZones(shares map[string]float64) map[string]float64 {
	routing, ok := r.node.ZoneRouting(r.w.now)
	if !ok {
		return shares
	}
	shares = maps.Clone(shares)
	if shares == nil {
		shares = map[string]float64{}
	}
	up, all := map[string]float64{}, map[string]float64{}
	cold := r.w.cfg.Site.Cold
	for _, m := range r.members {
		zone := routing.Names[m.Zone]
		all[zone]++
		if m.Health == logic.Ready {
			warm := 1.0
			if age := epoch + logic.Time(r.w.now) - m.Since; m.Since > 0 && age < logic.Time(cold.WarmWithin) {
				warm = cold.Share + (1-cold.Share)*float64(age)/float64(cold.WarmWithin)
			}
			up[zone] += warm
		}
		if routing.Barred[m.Zone] {
			shares[r.listed[m.Server].Name] = 0
		}
	}
	for zone, n := range all {
		up[zone] /= n
	}
	r.node.SetZoneServing(up)
	r.decide.SetZones(r.balance.Factors(routing.Shares, routing.Usable, routing.Own, traffic.Time(r.w.now)))
	return shares
}

func (r *gateway) sendMessages(messages []node.Envelope) {
	w := r.w
	for _, message := range messages {
		if frame, err := link.Encode(message); err == nil && w.now >= w.cfg.MeasureFrom {
			w.Result.Messages++
			w.Result.Bytes += len(frame)
		}
		to := 0
		_, _ = fmt.Sscanf(message.To, "r-%d", &to)
		if w.rng.Float64() < w.cfg.Loss || w.Cut != nil && w.Cut(r.i, to) {
			continue
		}
		w.after(w.cfg.Hop, func() {
			peer := w.routers[to]
			peer.sendMessages(peer.node.Receive(message, w.now))
		})
	}
}

func (r *gateway) updateServers(members []logic.Member, listed []node.ListedWorker, whole bool) {
	r.members, r.listed = members, listed
	if r.front != nil {
		r.front.UpdateWorkers(listed, whole, int64(epoch)+int64(r.w.now), r.w.now)
	}
	r.pushMembers()
}

// applyShares removes workers from routing or reduces their weight, as cordon.Gate does.
func (r *gateway) applyShares(shares map[string]float64) {
	same := len(shares) == len(r.shares)
	for name, p := range shares {
		old, ok := r.shares[name]
		same = same && ok && old == p
	}
	if r.shares = shares; !same {
		r.pushMembers()
	}
}

func (r *gateway) pushMembers() {
	members := append([]logic.Member(nil), r.members...)
	for i := range members {
		if p, ok := r.shares[r.listed[i].Name]; ok && members[i].Health == logic.Ready {
			if members[i].Weight *= p; p == 0 {
				members[i].Health = logic.Draining
			}
		}
	}
	r.push(logic.Event{Kind: logic.ServersChanged, Members: members})
	r.run()
}

func (r *gateway) push(e logic.Event) { r.pending = append(r.pending, e) }

// run makes decisions until no events are pending.
func (r *gateway) run() {
	if r.running { // the outer call handles the pending events
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
