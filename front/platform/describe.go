package platform

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"lichenshelf/logic"
	"lichenshelf/wire"
)

// Describe says in plain lines what the settings hold and what the router makes of
// them, for an operator who is about to run it on a deployment of their own.
func (c *Config) Describe() []string {
	s := &c.Settings
	var out []string
	say := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	say("routers: %d, zones: %s, attempts at most: %d", max(s.Gateways, 1), c.listing("zone"), s.MaxAttempts)
	for i, name := range c.ordered("kind") {
		if i < len(s.Kinds) {
			say("kind %s: %s, memory %s", name, roleNames[s.Kinds[i].Role], tokens(s.Kinds[i].MemoryTokens))
		}
	}
	for i, name := range c.ordered("class") {
		if i < len(s.Classes) {
			k := s.Classes[i]
			say("class %s: worth %g, first token within %v and %v for each 1,000 prompt tokens, %s", name, k.Points, k.Aim,
				k.AimPer1000, effectNames[k.Effect])
		}
	}
	if c.Reports.HasKnownField() {
		var parts []string
		for _, f := range c.Reports {
			parts = append(parts, f.Name+" ("+meaningNames[f.Meaning]+")")
		}
		say("load reports: read from answers: %s", strings.Join(parts, ", "))
	} else {
		say("load reports: none; load is told from own requests alone")
	}
	say("accounts with a quota: %s", c.quotas())
	say("drains: nothing new later than %v after the router was told", s.DrainGrace)
	say("cold workers: %.0f%% of capacity at least, warm within %v, over at %g times for %v from all routers", 100*s.ColdShare,
		s.WarmWithin, s.FallMultiple, s.FallAfter)
	say("held state: sent or let go of within %v", s.ReleaseWithin)
	say("streams that break: %s", map[bool]string{true: "clients ask for the rest, so a stop moves them", false: "lost"}[s.Resume])
	return out
}

// manyRouters is past any fleet of routers that is known.
const manyRouters = 100_000

var (
	roleNames   = map[logic.Role]string{logic.RoleRead: "reads", logic.RoleWrite: "writes", logic.RoleBoth: "reads and writes"}
	effectNames = map[logic.Effect]string{logic.EffectRepeatable: "may run twice", logic.EffectByKey: "may run twice within its group",
		logic.EffectOnce: "must never run twice"}
	meaningNames = map[wire.Meaning]string{wire.Other: "not understood", wire.Memory: "share of memory held",
		wire.Unread: "thousands of tokens to read"}
)

func tokens(n float64) string {
	if n <= 0 {
		return "not stated"
	}
	return strconv.FormatFloat(n, 'f', 0, 64) + " tokens"
}

// ordered gives the names of a list in its order.
func (c *Config) ordered(what string) []string {
	names := slices.Collect(maps.Keys(c.names[what]))
	slices.SortFunc(names, func(a, b string) int { return c.names[what][a] - c.names[what][b] })
	return names
}

func (c *Config) listing(what string) string {
	return strings.Join(c.ordered(what), ", ")
}

func (c *Config) quotas() string {
	n := 0
	for _, t := range c.Settings.Tenants {
		if t.QuotaPerSecond > 0 {
			n++
		}
	}
	if n == 0 {
		return "none"
	}
	return strconv.Itoa(n)
}

// Doubts names what is legal in the settings but can hardly be meant, with key and
// value and what the router does about it. It runs all the same.
func (c *Config) Doubts() []string { return c.doubts }

// findDoubts looks for them in the flat settings.
func findDoubts(values map[string]string, c *Config) []string {
	s := &c.Settings
	var out []string
	doubt := func(key, format string, args ...any) {
		v, ok := values[key]
		if !ok {
			v = "absent"
		} else {
			v = strconv.Quote(v)
		}
		out = append(out, fmt.Sprintf("settings.%s is %s: %s", key, v, fmt.Sprintf(format, args...)))
	}
	switch {
	case s.Gateways < 1:
		doubt("balancers", "counted as 1")
	case s.Gateways > manyRouters:
		doubt("balancers", "more than any fleet has, so next to nothing goes to cold workers")
	}
	if mode := values[keyMode]; mode != "" && mode != modePushed && mode != modeAsked {
		doubt(keyMode, "not understood, lists count as pushed")
	}
	can := map[logic.Role]int{}
	for _, k := range s.Kinds {
		can[k.Role]++
	}
	if can[logic.RoleRead]+can[logic.RoleBoth] == 0 && !s.WritersRead {
		doubt("extra.role-by-kind", "no kind reads prompts, so every request is refused")
	}
	if can[logic.RoleWrite]+can[logic.RoleBoth] == 0 {
		doubt("extra.role-by-kind", "no kind writes answers, so every request is refused once it is read")
	}
	worth := 0.0
	for _, k := range s.Classes {
		worth += k.Points
	}
	for i, k := range s.Classes {
		at := fmt.Sprintf("categories.%d.", i)
		if k.Points == 0 && worth > 0 {
			doubt(at+"points", "class %s is the first to be refused in a jam", values[at+"name"])
		}
		if hard, err := strconv.ParseFloat(values[at+"hard-limit-ns"], 64); err == nil && float64(k.Aim) > hard {
			doubt(at+"target-ns", "past the hard limit of %s, so the client's own time counts", values[at+"hard-limit-ns"])
		}
	}
	if len(s.Classes) > 0 && worth == 0 {
		doubt("categories.0.points", "no class is worth anything, so all are treated alike")
	}
	if values["load-info.how"] == "probe" {
		doubt("load-info.how", "the router probes nobody, so no load reports are read")
	}
	for _, f := range c.Reports {
		if f.Meaning == wire.Other {
			doubt("extra.report-"+f.Name, "not understood, the field is passed over")
		}
	}
	if s.ColdShare <= 0 || s.ColdShare > 1 {
		doubt("safety.cold-share", "not a share over 0, so cold workers get next to nothing, or as much as warm ones")
	}
	if s.ReleaseWithin <= 0 {
		doubt("extra.release-ns", "held state is let go of as soon as a request has to wait")
	}
	return out
}
