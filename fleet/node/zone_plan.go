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

// updateZones judges the zones and, if this router is the decider, makes the next map.
func (n *Node) updateZones(now Time) {
	z := n.zones
	if z == nil || now-z.judgedAt < zoneJudgePeriod {
		return
	}
	z.judgedAt = now
	z.fade(now)
	current, _ := z.keeper.Map(traffic.Time(now))
	if current == nil {
		current = z.localMap()
	}
	reports := z.aggregate(n.cfg.Zones, now)
	view := z.view(reports, current)
	z.states = z.monitor.Judge(view, zone.Time(now))
	site := z.siteOf(reports)
	plan, err := solver.Solve(site, &solver.Plan{Read: current.Read})
	if err != nil {
		return // cannot happen: Zones checked the site, and these capacities are fractions of its own
	}
	aim := z.aimOf(reports, view, site)
	keepUnused(plan, current, aim)
	z.plan, z.site = plan, site
	if !n.isDecider(now) {
		return
	}
	aim.By, aim.Read, aim.Write = n.cfg.Self, plan.Read, plan.Write
	next := z.stepper.Step(*current, aim, traffic.Time(now))
	if next == nil {
		next = current // renews the map
	}
	_ = z.keeper.Take(next, traffic.Time(now))
}

// zoneReports aggregates the reports of this router and of the others, by index of the zone.
type zoneReports struct {
	load         []float64 // requests per second that enter at each zone
	serving      []float64 // share of each zone's workers that serve; 1 without reports
	observations []zone.Observation
}

// aggregate sums the reports. Only some of the other routers have reported recently, so the
// load of a zone is extrapolated from those to all routers of the zone.
func (z *zones) aggregate(zoneOf map[string]string, now Time) zoneReports {
	all := z.cfg.Judge.Zones
	reports := zoneReports{load: make([]float64, len(all)), serving: make([]float64, len(all))}
	// Numbers of reports by zone.
	loadReports, servingReports := make([]float64, len(all)), make([]float64, len(all))
	add := func(from string, report ZoneReport) {
		entry := slices.Index(all, from)
		if entry < 0 {
			return
		}
		reports.load[entry] += report.Load
		loadReports[entry]++
		for i, of := range all {
			if attempts := report.Attempts[of]; attempts > 0 {
				reports.observations = append(reports.observations, zone.Observation{From: from, Of: of, Attempts: attempts, Failures: math.Min(report.Failures[of], attempts)})
			}
			if serving, ok := report.Serving[of]; ok {
				reports.serving[i] += math.Min(serving, 1)
				servingReports[i]++
			}
		}
	}
	add(z.own, z.ownReport)
	for _, name := range slices.Sorted(maps.Keys(z.peerReports)) {
		if o := z.peerReports[name]; now-o.at <= zoneReportMaxAge {
			add(zoneOf[name], o.ZoneReport)
		} else {
			delete(z.peerReports, name)
		}
	}
	routers := map[string]float64{}
	for _, of := range zoneOf {
		routers[of]++
	}
	for i, name := range all {
		if loadReports[i] > 0 {
			reports.load[i] *= routers[name] / loadReports[i]
		}
		if servingReports[i] > 0 {
			reports.serving[i] /= servingReports[i]
		} else {
			reports.serving[i] = 1
		}
	}
	return reports
}

// view returns the input for judging the zones while current is the map in force.
func (z *zones) view(reports zoneReports, current *traffic.Map) zone.View {
	view := zone.View{Capacities: map[string]zone.Capacity{}, Out: map[string]bool{}, Observations: reports.observations}
	for i, name := range z.cfg.Judge.Zones {
		load := 0.0
		for entry := range reports.load {
			load += reports.load[entry] * current.Read[entry][i]
		}
		serving, capacity := reports.serving[i], z.cfg.Capacity[name]
		view.Capacities[name] = zone.Capacity{Load: load, Now: serving * math.Min(capacity.Read, capacity.Write), Listed: serving > 0}
		view.Out[name] = z.ownReport.Ops[name].Out
	}
	return view
}

// siteOf returns the solver's input for the zones' states.
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
		site.Demand = append(site.Demand, solver.Demand{Entry: i, Load: reports.load[i], Value: 1})
		for _, from := range v.Cut {
			site.Seen[slices.Index(all, from)][i] = false
		}
	}
	return site
}

// aimOf returns what the map moves towards, without the plan.
func (z *zones) aimOf(reports zoneReports, view zone.View, site solver.Site) traffic.Aim {
	aim := traffic.Aim{Load: reports.load}
	for i, v := range z.states {
		aim.Level = append(aim.Level, v.Level)
		aim.Headroom = append(aim.Headroom, math.Max(0, site.Zones[i].Read-view.Capacities[v.Zone].Load))
		if v.State != zone.Healthy && v.State != zone.Strained {
			aim.Why += fmt.Sprintf("%s %s: %s; ", v.Zone, v.State, v.Why)
		}
	}
	return aim
}

// keepUnused copies from the current map the rows that no traffic uses: those of entry zones
// without load, except for zones at level 0, and those of readers' zones that pass nothing to
// writers.
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
