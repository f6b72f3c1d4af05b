package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"lichenshelf/logic"
)

// parser looks up settings by path and keeps the first error.
type parser struct {
	values map[string]string
	err    error
}

// text returns the value of a required setting.
func (p *parser) text(path string) string {
	v, ok := p.values[path]
	if !ok && p.err == nil {
		p.err = fmt.Errorf("setting %s is missing", path)
	}
	return v
}

func (p *parser) malformed(path, v string) {
	if p.err == nil {
		p.err = fmt.Errorf("setting %s is malformed: %q", path, v)
	}
}

func (p *parser) parse(path, v string) float64 {
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) || f < 0 {
		if p.err == nil {
			p.malformed(path, v)
		}
		return 0
	}
	return f
}

func (p *parser) number(path string) float64 {
	v := p.text(path)
	if p.err != nil {
		return 0
	}
	return p.parse(path, v)
}

func (p *parser) optional(path string) float64 {
	if v, ok := p.values[path]; ok {
		return p.parse(path, v)
	}
	return 0
}

// count parses a whole number of at most limit.
func (p *parser) count(path string, limit int) int {
	f := p.number(path)
	if f != math.Trunc(f) || f > float64(limit) {
		p.malformed(path, p.values[path])
		return 0
	}
	return int(f)
}

func (p *parser) nanos(path string) time.Duration {
	f := p.number(path)
	if f > math.MaxInt64/2 {
		f = math.MaxInt64 / 2
	}
	return time.Duration(f)
}

func (p *parser) flag(path string) bool {
	switch v := p.text(path); v {
	case "true":
		return true
	case "false":
	default:
		if p.err == nil {
			p.malformed(path, v)
		}
	}
	return false
}

// list splits a comma-separated list. A missing or empty one has no items.
func (p *parser) list(path string) []string {
	if v := p.values[path]; v != "" {
		return strings.Split(v, ",")
	}
	return nil
}

// items parses a list of exactly n numbers. A missing list gives zeros.
func (p *parser) items(path string, n int) []float64 {
	out := make([]float64, n)
	l := p.list(path)
	if l == nil {
		return out
	}
	if len(l) != n {
		p.malformed(path, p.values[path])
		return out
	}
	for i, v := range l {
		out[i] = p.parse(path, v)
	}
	return out
}

const maxItems = 4096

// ParseSettings parses settings in the form of the wire, path=value lines. It returns the settings
// and the fields of load reports. Unknown paths are ignored.
func ParseSettings(text string) (logic.Settings, Columns, error) {
	p := &parser{values: map[string]string{}}
	for _, line := range strings.Split(text, "\n") {
		if k, v, ok := strings.Cut(strings.TrimSuffix(line, "\r"), "="); ok {
			p.values[k] = v
		}
	}
	s := logic.Settings{
		Gateways:       p.count("balancers", math.MaxInt32),
		Zone:           p.count("my-zone", math.MaxInt32),
		WritersRead:    p.values["extra.read-in-place"] == "true",
		Resume:         p.values["extra.resume"] == "true",
		CancelAllowed:  p.flag("bounds.cancel"),
		RetryAfter:     p.flag("bounds.retry-after"),
		MaxRetryAfter:  time.Duration(p.optional("bounds.max-retry-after-ns")),
		MaxAttempts:    p.count("bounds.most-tries", math.MaxInt32),
		ConnectTimeout: p.nanos("bounds.connect-timeout-ns"),
		OverShareWorth: p.optional("over-share-worth"),
		DrainGrace:     p.nanos("safety.stop-sending-within-ns"),
		ColdShare:      p.number("safety.cold-share"),
		WarmWithin:     p.nanos("safety.warm-within-ns"),
		FallMultiple:   p.number("safety.fall-multiple"),
		FallAfter:      p.nanos("safety.fall-ns"),
		ReleaseWithin:  p.nanos("extra.release-ns"),
	}
	s.Classes = p.classes()
	if n := p.optional("realms.count"); n > 0 {
		for i := range p.count("realms.count", maxItems) {
			q := p.optional(fmt.Sprintf("realms.%d.quota-per-s", i))
			s.Tenants = append(s.Tenants, logic.Tenant{QuotaPerSecond: q})
		}
	}
	s.Kinds = p.kinds()
	return s, p.columns(), p.err
}

func (p *parser) classes() []logic.Class {
	n := p.count("categories.count", maxItems)
	aimsPer1000 := p.items("extra.aim-us-per-1000-prompt-tokens", n)
	tokenAims := p.items("extra.token-aim-ns", n)
	out := make([]logic.Class, n)
	for i := range out {
		prefix := fmt.Sprintf("categories.%d.", i)
		c := logic.Class{
			Aim: p.nanos(prefix + "target-ns"), AimPer1000: time.Duration(aimsPer1000[i] * 1000), TokenAim: time.Duration(tokenAims[i]),
			Points: p.number(prefix + "points"), LateShare: p.optional(prefix + "late-share"),
			RepeatWindow: time.Duration(p.optional(prefix + "repeat-window-ns")),
		}
		switch v := p.text(prefix + "effect"); v {
		case "repeatable":
		case "by_key":
			c.Effect = logic.EffectByKey
		case "once":
			c.Effect = logic.EffectOnce
		default:
			p.malformed(prefix+"effect", v)
		}
		switch v := p.values[prefix+"group"]; v {
		case "", "all":
		case "zone":
			c.Group = logic.GroupZone
		case "cell":
			c.Group = logic.GroupCell
		default:
			p.malformed(prefix+"group", v)
		}
		out[i] = c
	}
	return out
}

func (p *parser) kinds() []logic.Kind {
	roles := strings.Split(p.text("extra.role-by-kind"), ",")
	memory := p.items("extra.kind-memory-tokens", len(roles))
	out := make([]logic.Kind, len(roles))
	for i, r := range roles {
		out[i].MemoryTokens = memory[i]
		switch r {
		case "read":
		case "write":
			out[i].Role = logic.RoleWrite
		case "both":
			out[i].Role = logic.RoleBoth
		default:
			p.malformed("extra.role-by-kind", r)
		}
	}
	return out
}
