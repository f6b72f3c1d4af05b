package node

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"lichenshelf/fleet/solver"
	"lichenshelf/fleet/traffic"
	"lichenshelf/fleet/zone"
)

// lookAtZones judges anew, and makes the next map where this router does that.
func (n *Node) lookAtZones(now Time) {
	z := n.zones
	if z == nil || now-z.looked < zoneLook {
		return
	}
	z.looked = now
	z.fade(now)
	current, _ := z.keep.Map(traffic.Time(now))
	if current == nil {
		current = z.nearest()
	}
	reports := z.gather(n.cfg.Zones, now)
	view := z.view(reports, current)
	z.states = z.monitor.Judge(view, zone.Time(now))
	site := z.siteOf(reports)
	plan, err := solver.Solve(site, &solver.Plan{Read: current.Read})
	if err != nil {
		return // checked at the start; capacities are parts of what was checked
	}
	aim := z.aimOf(reports, view, site)
	keepUnused(plan, current, aim)
	z.plan, z.site = plan, site
	if !n.decides(now) {
		return
	}
	aim.By, aim.Read, aim.Write = n.cfg.Self, plan.Read, plan.Write
	next := z.step.Step(*current, aim, traffic.Time(now))
	if next == nil {
		next = current // renewed
	}
	_ = z.keep.Take(next, traffic.Time(now))
}

// zoneReports is what this router and those that it has heard lately tell of the zones, by index.
type zoneReports struct {
	load    []float64 // requests a second that come to each zone
	serving []float64 // part of each zone's workers that serve; 1 where nobody has told
	sights  []zone.Sight
}

// gather sums what was told. A router hears some of the others at a time: these stand for the rest of their zone.
func (z *zones) gather(zoneOf map[string]string, now Time) zoneReports {
	all := z.cfg.Judge.Zones
	reports := zoneReports{load: make([]float64, len(all)), serving: make([]float64, len(all))}
	tellers, heard := make([]float64, len(all)), make([]float64, len(all)) // of load, and of workers
	add := func(from string, news ZoneNews) {
		entry := slices.Index(all, from)
		if entry < 0 {
			return
		}
		reports.load[entry] += news.Load
		tellers[entry]++
		for i, of := range all {
			if tried := news.Tried[of]; tried > 0 {
				reports.sights = append(reports.sights, zone.Sight{From: from, Of: of, Tried: tried, Bad: math.Min(news.Bad[of], tried)})
			}
			if up, ok := news.Up[of]; ok {
				reports.serving[i] += math.Min(up, 1)
				heard[i]++
			}
		}
	}
	add(z.own, z.news)
	for _, name := range slices.Sorted(maps.Keys(z.others)) {
		if o := z.others[name]; now-o.at <= zoneStale {
			add(zoneOf[name], o.ZoneNews)
		} else {
			delete(z.others, name)
		}
	}
	routers := map[string]float64{}
	for _, of := range zoneOf {
		routers[of]++
	}
	for i, name := range all {
		if tellers[i] > 0 {
			reports.load[i] *= routers[name] / tellers[i]
		}
		if heard[i] > 0 {
			reports.serving[i] /= heard[i]
		} else {
			reports.serving[i] = 1
		}
	}
	return reports
}

// view is what the zones are judged by, while a map holds.
func (z *zones) view(reports zoneReports, current *traffic.Map) zone.View {
	view := zone.View{Capacities: map[string]zone.Capacity{}, Out: map[string]bool{}, Sights: reports.sights}
	for i, name := range z.cfg.Judge.Zones {
		load := 0.0
		for entry := range reports.load {
			load += reports.load[entry] * current.Read[entry][i]
		}
		serving, capacity := reports.serving[i], z.cfg.Capacity[name]
		view.Capacities[name] = zone.Capacity{Load: load, Now: serving * math.Min(capacity.Read, capacity.Write), Listed: serving > 0}
		view.Out[name] = z.news.Ops[name].Out
	}
	return view
}

// siteOf is what the solver finds a plan for, by the zones' states.
func (z *zones) siteOf(reports zoneReports) solver.Site {
	all := z.cfg.Judge.Zones
	site := solver.Site{Far: z.cfg.Far, Room: z.cfg.Room, Safe: z.cfg.Safe, Seen: make([][]bool, len(all))}
	for i := range all {
		site.Seen[i] = slices.Repeat([]bool{true}, len(all))
	}
	for i, v := range z.states {
		capacity := z.cfg.Capacity[v.Zone]
		serving := reports.serving[i]
		site.Zones = append(site.Zones, solver.Zone{Read: capacity.Read * serving * v.Level, Write: capacity.Write * serving * v.Level})
		site.Demand = append(site.Demand, solver.Demand{Entry: i, Load: reports.load[i], Worth: 1})
		for _, from := range v.Cut {
			site.Seen[slices.Index(all, from)][i] = false
		}
	}
	return site
}

// aimOf is what the map moves towards, but for the plan.
func (z *zones) aimOf(reports zoneReports, view zone.View, site solver.Site) traffic.Aim {
	aim := traffic.Aim{Load: reports.load}
	for i, v := range z.states {
		aim.Level = append(aim.Level, v.Level)
		aim.Bears = append(aim.Bears, math.Max(0, site.Zones[i].Read-view.Capacities[v.Zone].Load))
		if v.State != zone.Healthy && v.State != zone.Strained {
			aim.Why += fmt.Sprintf("%s %s: %s; ", v.Zone, v.State, v.Why)
		}
	}
	return aim
}

// keepUnused leaves what no traffic goes by as it is: an entry without load of its own stays near, or with what holds, and so do
// readers' zones from which nothing is written.
func keepUnused(plan *solver.Plan, current *traffic.Map, aim traffic.Aim) {
	for entry, load := range aim.Load {
		if load != 0 {
			continue
		}
		plan.Read[entry] = slices.Clone(current.Read[entry])
		for i, level := range aim.Level {
			if level == 0 {
				plan.Read[entry][i] = 0
			}
		}
	}
	for reader := range plan.Write {
		if total(plan.Write[reader]) == 0 {
			plan.Write[reader] = slices.Clone(current.Write[reader])
		}
	}
}

func total(v []float64) (sum float64) {
	for _, x := range v {
		sum += x
	}
	return sum
}
