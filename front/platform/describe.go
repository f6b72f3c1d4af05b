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

// Describe returns lines of text that explain the settings and how the router interprets them,
// for an operator who prepares a deployment.
func (c *Config) Describe() []string {
	s := &c.Settings
	var out []string
	add := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	add("routers: %d, zones: %s, attempts at most: %d", max(s.Gateways, 1), c.joinedNames("zone"), s.MaxAttempts)
	for i, name := range c.orderedNames("kind") {
		if i < len(s.Kinds) {
			add("kind %s: %s, memory %s", name, roleNames[s.Kinds[i].Role], formatTokens(s.Kinds[i].MemoryTokens))
		}
	}
	for i, name := range c.orderedNames("class") {
		if i < len(s.Classes) {
			k := s.Classes[i]
			add("class %s: worth %g, first token within %v and %v for each 1,000 prompt tokens, %s", name, k.Points, k.Aim,
				k.AimPer1000, effectNames[k.Effect])
		}
	}
	if c.Reports.HasKnownField() {
		var parts []string
		for _, f := range c.Reports {
			parts = append(parts, f.Name+" ("+meaningNames[f.Meaning]+")")
		}
		add("load reports: read from answers: %s", strings.Join(parts, ", "))
	} else {
		add("load reports: none; load is told from own requests alone")
	}
	add("accounts with a quota: %s", c.quotas())
	add("drains: nothing new later than %v after the router was told", s.DrainGrace)
	add("cold workers: %.0f%% of capacity at least, warm within %v, over at %g times for %v from all routers", 100*s.ColdShare,
		s.WarmWithin, s.FallMultiple, s.FallAfter)
	add("held state: sent or let go of within %v", s.ReleaseWithin)
	add("streams that break: %s", map[bool]string{true: "clients ask for the rest, so a stop moves them", false: "lost"}[s.Resume])
	return out
}

// maxPlausibleRouters is more than any known fleet of routers has.
const maxPlausibleRouters = 100_000

var (
	roleNames   = map[logic.Role]string{logic.RoleRead: "reads", logic.RoleWrite: "writes", logic.RoleBoth: "reads and writes"}
	effectNames = map[logic.Effect]string{logic.EffectRepeatable: "may run twice", logic.EffectByKey: "may run twice within its group",
		logic.EffectOnce: "must never run twice"}
	meaningNames = map[wire.Meaning]string{wire.Other: "not understood", wire.Memory: "share of memory held",
		wire.Unread: "thousands of tokens to read"}
)

func formatTokens(n float64) string {
	if n <= 0 {
		return "not stated"
	}
	return strconv.FormatFloat(n, 'f', 0, 64) + " tokens"
}

// orderedNames returns the names in a table in the order of their numbers.
func (c *Config) orderedNames(table string) []string {
	names := slices.Collect(maps.Keys(c.names[table]))
	slices.SortFunc(names, func(a, b string) int { return c.names[table][a] - c.names[table][b] })
	return names
}

func (c *Config) joinedNames(table string) string {
	return strings.Join(c.orderedNames(table), ", ")
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

// Warnings returns warnings about settings that are valid but unlikely to be intended. Each names
// the key, the value and what the router does with it. The router starts despite warnings.
func (c *Config) Warnings() []string { return c.warnings }

// findWarnings returns the warnings about the flat settings.
func findWarnings(values map[string]string, c *Config) []string {
	s := &c.Settings
	var out []string
	warn := func(key, format string, args ...any) {
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
		warn("balancers", "counted as 1")
	case s.Gateways > maxPlausibleRouters:
		warn("balancers", "more than any fleet has, so next to nothing goes to cold workers")
	}
	if mode := values[keyMembershipMode]; mode != "" && mode != modePushed && mode != modePulled {
		warn(keyMembershipMode, "not understood, lists count as pushed")
	}
	roleCounts := map[logic.Role]int{}
	for _, k := range s.Kinds {
		roleCounts[k.Role]++
	}
	if roleCounts[logic.RoleRead]+roleCounts[logic.RoleBoth] == 0 && !s.WritersRead {
		warn("extra.role-by-kind", "no kind reads prompts, so every request is refused")
	}
	if roleCounts[logic.RoleWrite]+roleCounts[logic.RoleBoth] == 0 {
		warn("extra.role-by-kind", "no kind writes answers, so every request is refused once it is read")
	}
	totalPoints := 0.0
	for _, k := range s.Classes {
		totalPoints += k.Points
	}
	for i, k := range s.Classes {
		at := fmt.Sprintf("categories.%d.", i)
		if k.Points == 0 && totalPoints > 0 {
			warn(at+"points", "class %s is the first to be refused in a jam", values[at+"name"])
		}
		if hard, err := strconv.ParseFloat(values[at+"hard-limit-ns"], 64); err == nil && float64(k.Aim) > hard {
			warn(at+"target-ns", "past the hard limit of %s, so the client's own time counts", values[at+"hard-limit-ns"])
		}
	}
	if len(s.Classes) > 0 && totalPoints == 0 {
		warn("categories.0.points", "no class is worth anything, so all are treated alike")
	}
	if values["load-info.how"] == "probe" {
		warn("load-info.how", "the router probes nobody, so no load reports are read")
	}
	for _, f := range c.Reports {
		if f.Meaning == wire.Other {
			warn("extra.report-"+f.Name, "not understood, the field is passed over")
		}
	}
	if s.ColdShare <= 0 || s.ColdShare > 1 {
		warn("safety.cold-share", "not a share over 0, so cold workers get next to nothing, or as much as warm ones")
	}
	if s.ReleaseWithin <= 0 {
		warn("extra.release-ns", "held state is let go of as soon as a request has to wait")
	}
	return out
}
