package node

import (
	"maps"
	"slices"
	"strconv"

	"lichenshelf/fleet/counts"
	"lichenshelf/fleet/outlier"
	"lichenshelf/logic"
)

// Charge adds own work at a worker: positive when sent, negative when done.
func (n *Node) Charge(worker string, w counts.Work) {
	if w != (counts.Work{}) {
		n.work.Add(worker, w)
	}
}

// Observe records the result of an own attempt at a worker that started at since;
// outlier.None means success.
func (n *Node) Observe(worker string, since int64, f outlier.Fault, now Time) {
	n.outliers.Observe(worker, since, f, outlier.Time(now))
}

// FaultOf returns the fault that an attempt's status shows of its worker. relevant is false for
// attempts that were rejected or cancelled, which show nothing.
func FaultOf(s logic.Status) (f outlier.Fault, relevant bool) {
	switch s {
	case logic.Served, logic.PromptRead:
		return outlier.None, true
	case logic.ServerError:
		return outlier.Errors, true
	case logic.ConnectionReset:
		return outlier.Resets, true
	case logic.ConnectFailed:
		return outlier.Connect, true
	}
	return outlier.None, false
}

// PeerLoad is the load of other routers at a worker, in the form that the router's core takes.
type PeerLoad struct {
	Server logic.ServerID
	Load   logic.Load
}

// EvaluateWorkers judges the workers. It returns the share of its traffic that each restricted
// worker gets and, when they are due, the loads of other routers, by front. lists holds the
// workers of each front, in the order of the fronts.
func (n *Node) EvaluateWorkers(lists [][]ListedWorker, now Time) (parts map[string]float64, loads [][]PeerLoad) {
	var workers []outlier.Worker
	known := map[string]bool{}
	for i, lines := range lists {
		for _, l := range lines {
			workers = append(workers, outlier.Worker{Name: l.Name, Since: l.Since, Kind: n.fronts[i].cfg.Name + strconv.Itoa(l.Kind), Zone: strconv.Itoa(l.Cell)})
			known[l.Name] = true
		}
	}
	n.outliers.Judge(outlier.Time(now))
	parts = n.outliers.TrafficShares(workers, outlier.Time(now))
	n.outliers.RetainListed(func(name string) bool { return known[name] })
	for _, name := range slices.Sorted(maps.Keys(parts)) {
		if was, ok := n.parts[name]; parts[name] == 0 && (!ok || was > 0) {
			n.notices = append(n.notices, Notice{Kind: WorkerOut, Name: name})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(n.parts)) {
		if part, ok := parts[name]; n.parts[name] == 0 && (!ok || part > 0) {
			n.notices = append(n.notices, Notice{Kind: WorkerBack, Name: name})
		}
	}
	n.parts = parts
	if n.cfg.CountsPeriod > 0 && now-n.loadsReportedAt >= n.cfg.CountsPeriod && len(n.names) > 1 && (n.loadsReportedAt > 0 || n.work.PeerWeight(counts.Time(now)) > 0) {
		n.loadsReportedAt = now
		loads = n.peerLoads(lists, now)
	}
	return parts, loads
}

func (n *Node) peerLoads(lists [][]ListedWorker, now Time) [][]PeerLoad {
	peers := map[string]counts.Work{}
	n.work.Peers(counts.Time(now), func(w string, v counts.Work) { peers[w] = v })
	all := float64(len(n.names))
	out := make([][]PeerLoad, len(lists))
	for i, lines := range lists {
		f := n.fronts[i]
		if f.cfg.Reports {
			continue
		}
		for _, l := range lines {
			// The core counts only the peers' share, (all-1)/all, of a reported read load, so the
			// peers' load is divided by that share. It counts reported memory in full.
			load := logic.Load{HasUnread: true, UnreadToken: peers[l.Name].Unread * all / (all - 1)}
			if memory := f.kind(l.Kind).MemoryTokens; memory > 0 {
				load.HasMemory, load.MemoryShare = true, (n.work.Own(l.Name).Held+peers[l.Name].Held)/memory
			}
			out[i] = append(out[i], PeerLoad{l.Server, load})
		}
	}
	return out
}

// Worker returns what is known of one worker: the share of its traffic that it gets, the
// judgements on it, and the work of other routers there.
func (n *Node) Worker(name string, now Time) (part float64, k outlier.Case, peers counts.Work) {
	part = 1
	if p, ok := n.parts[name]; ok {
		part = p
	}
	n.work.Peers(counts.Time(now), func(w string, v counts.Work) {
		if w == name {
			peers = v
		}
	})
	return part, n.outliers.Case(name, outlier.Time(now)), peers
}
