package node

import (
	"lichenshelf/fleet/attempts"
	"lichenshelf/fleet/counts"
	"lichenshelf/logic"
)

// FrontConfig says whose workers are shared.
type FrontConfig struct {
	Name     string
	Settings logic.Settings
	Reports  bool     // workers report their load themselves, others' part in it: it is not told twice
	Zones    []string // names of the zones that workers' lines number; nil: none are known
}

// Front is one front's part.
type Front struct {
	cfg   FrontConfig
	node  *Node
	rules *attempts.Rules
	kinds map[string]int // by worker
	fresh float64        // part of a prompt that is not found kept, lately
}

// Line is a worker as a front's list names it.
type Line struct {
	Name       string
	Server     logic.ServerID
	Since      int64 // wall clock of its latest start in nanoseconds; 0: long ago
	Kind, Cell int
	Zone       int
	Gone       bool
}

// Front lets a front's workers be judged together with the other routers, and its
// attempts be spent from what all share.
func (n *Node) Front(cfg FrontConfig, now Time) *Front {
	f := &Front{cfg: cfg, node: n, kinds: map[string]int{}, fresh: 1, rules: attempts.New(attempts.Config{Front: cfg.Name,
		RepeatsPerSecond: n.cfg.Repeats, ColdPerSecond: n.cfg.Cold, WarmWithin: cfg.Settings.WarmWithin})}
	if n.cfg.Repeats > 0 {
		n.SetLimits(f.rules.Repeats(), map[string]float64{f.rules.Repeats(): n.cfg.Repeats}, now)
	}
	n.fronts = append(n.fronts, f)
	return f
}

// Listed takes a list of workers, whole or changes to it. It is to be called before the
// decisions hear of it: a cold worker's budget is there then.
func (f *Front) Listed(lines []Line, whole bool, wall int64, now Time) {
	if whole {
		clear(f.kinds)
	}
	list := make([]attempts.Worker, len(lines))
	for i, l := range lines {
		list[i] = attempts.Worker{Name: l.Name, Since: l.Since, Gone: l.Gone}
		f.kinds[l.Name] = l.Kind
		if l.Gone {
			delete(f.kinds, l.Name)
		}
	}
	if f.rules.Listed(list, whole, wall, attempts.Time(now)) {
		limits, _ := f.rules.Cold(attempts.Time(now))
		f.node.SetLimits(f.rules.Prefix(), limits, now)
	}
}

// Allow spends an attempt from the budgets that it concerns; repeat tells that the one
// before it failed.
func (f *Front) Allow(worker string, repeat bool, now Time) attempts.Refusal {
	return f.rules.Spend(worker, repeat, attempts.Time(now), func(key string) bool { return f.node.Spend(key, 1, now) })
}

// Work is what an attempt puts on its worker.
func (f *Front) Work(worker string, r *logic.Request) counts.Work {
	w := counts.Work{Held: r.PromptTokens + answerPart*r.MaxTokens}
	switch k := f.kind(f.kinds[worker]); k.Role {
	case logic.RoleRead:
		return counts.Work{Unread: f.fresh * r.PromptTokens}
	case logic.RoleBoth:
		w.Unread = f.fresh * r.PromptTokens
	}
	return w
}

// Kept notes how much of a prompt was found kept where it was read: no more than the rest
// of it is a load.
func (f *Front) Kept(prompt, kept float64) {
	if prompt > 0 {
		f.fresh += keptWeight * (min(max(1-kept/prompt, 0), 1) - f.fresh)
	}
}

func (f *Front) kind(i int) logic.Kind {
	if i < len(f.cfg.Settings.Kinds) {
		return f.cfg.Settings.Kinds[i]
	}
	return logic.Kind{Role: logic.RoleBoth}
}
