package node

import (
	"lichenshelf/fleet/attempts"
	"lichenshelf/fleet/counts"
	"lichenshelf/logic"
)

// FrontConfig describes a front whose workers the routers share.
type FrontConfig struct {
	Name     string
	Settings logic.Settings
	// Reports is set where workers report their load themselves. Their reports include the load
	// of other routers, so the node does not report it a second time.
	Reports bool
	Zones   []string // zone names, indexed by a worker's Zone; nil: not known
}

// Front is one front's state in the fleet protocol.
type Front struct {
	cfg        FrontConfig
	node       *Node
	rules      *attempts.Rules
	kinds      map[string]int // by worker
	freshShare float64        // moving average of the share of a prompt that no worker has in memory
}

// ListedWorker is a worker in a front's list.
type ListedWorker struct {
	Name       string
	Server     logic.ServerID
	Since      int64 // wall clock of its latest start, in nanoseconds; 0: long ago
	Kind, Cell int
	Zone       int
	Removed    bool
}

// Front adds a front. Its workers are judged together with the other routers, and its attempts
// are taken out of the budgets that all routers share.
func (n *Node) Front(cfg FrontConfig, now Time) *Front {
	f := &Front{cfg: cfg, node: n, kinds: map[string]int{}, freshShare: 1, rules: attempts.New(attempts.Config{Front: cfg.Name,
		RepeatsPerSecond: n.cfg.RepeatsPerSecond, ColdPerSecond: n.cfg.ColdPerSecond, WarmWithin: cfg.Settings.WarmWithin})}
	if n.cfg.RepeatsPerSecond > 0 {
		n.SetLimits(f.rules.RepeatsKey(), map[string]float64{f.rules.RepeatsKey(): n.cfg.RepeatsPerSecond}, now)
	}
	n.fronts = append(n.fronts, f)
	return f
}

// UpdateWorkers processes a list of workers, or changes to the list if whole is false. It must be
// called before the router's core gets the list, so that a cold worker's budget exists first.
func (f *Front) UpdateWorkers(lines []ListedWorker, whole bool, wall int64, now Time) {
	if whole {
		clear(f.kinds)
	}
	list := make([]attempts.Worker, len(lines))
	for i, l := range lines {
		list[i] = attempts.Worker{Name: l.Name, Since: l.Since, Removed: l.Removed}
		f.kinds[l.Name] = l.Kind
		if l.Removed {
			delete(f.kinds, l.Name)
		}
	}
	if f.rules.UpdateWorkers(list, whole, wall, attempts.Time(now)) {
		limits, _ := f.rules.ColdLimits(attempts.Time(now))
		f.node.SetLimits(f.rules.ColdPrefix(), limits, now)
	}
}

// Allow takes an attempt out of the budgets that apply to it. repeat is set if the previous
// attempt of the request failed.
func (f *Front) Allow(worker string, repeat bool, now Time) attempts.Refusal {
	return f.rules.Spend(worker, repeat, attempts.Time(now), func(key string) bool { return f.node.Spend(key, 1, now) })
}

// Work returns the work that an attempt puts on its worker.
func (f *Front) Work(worker string, r *logic.Request) counts.Work {
	w := counts.Work{Held: r.PromptTokens + answerFraction*r.MaxTokens}
	switch k := f.kind(f.kinds[worker]); k.Role {
	case logic.RoleRead:
		return counts.Work{Unread: f.freshShare * r.PromptTokens}
	case logic.RoleBoth:
		w.Unread = f.freshShare * r.PromptTokens
	}
	return w
}

// Kept records how many tokens of a prompt its worker already had in memory; only the rest
// counts as load.
func (f *Front) Kept(prompt, kept float64) {
	if prompt > 0 {
		f.freshShare += keptSampleWeight * (min(max(1-kept/prompt, 0), 1) - f.freshShare)
	}
}

func (f *Front) kind(i int) logic.Kind {
	if i < len(f.cfg.Settings.Kinds) {
		return f.cfg.Settings.Kinds[i]
	}
	return logic.Kind{Role: logic.RoleBoth}
}
