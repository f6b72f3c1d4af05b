package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"lichenshelf/logic"
)

// parser looks settings up by path and remembers the first fault.
type parser struct {
	values map[string]string
	err    error
}

// text returns a needed value.
func (p *parser) text(path string) string {
	v, ok := p.values[path]
	if !ok && p.err == nil {
		p.err = fmt.Errorf("setting %s is missing", path)
	}
	return v
}

func (p *parser) bad(path, v string) {
	if p.err == nil {
		p.err = fmt.Errorf("setting %s is malformed: %q", path, v)
	}
}

func (p *parser) parse(path, v string) float64 {
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) || f < 0 {
		if p.err == nil {
			p.bad(path, v)
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

// count reads a whole number that sizes a list.
func (p *parser) count(path string, most int) int {
	f := p.number(path)
	if f != math.Trunc(f) || f > float64(most) {
		p.bad(path, p.values[path])
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
			p.bad(path, v)
		}
	}
	return false
}

// list reads a comma-joined list; an absent or empty one has no items.
func (p *parser) list(path string) []string {
	if v := p.values[path]; v != "" {
		return strings.Split(v, ",")
	}
	return nil
}

// item returns one number of a list that must hold n of them; an absent list gives zeros.
func (p *parser) items(path string, n int) []float64 {
	out := make([]float64, n)
	l := p.list(path)
	if l == nil {
		return out
	}
	if len(l) != n {
		p.bad(path, p.values[path])
		return out
	}
	for i, v := range l {
		out[i] = p.parse(path, v)
	}
	return out
}

const mostItems = 4096

// ParseSettings turns settings in the wire's form, path=value lines, into typed
// ones, and says what the fields of load reports mean. Unknown keys are skipped.
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
		for i := range p.count("realms.count", mostItems) {
			q := p.optional(fmt.Sprintf("realms.%d.quota-per-s", i))
			s.Tenants = append(s.Tenants, logic.Tenant{QuotaPerSecond: q})
		}
	}
	s.Kinds = p.kinds()
	return s, p.columns(), p.err
}

func (p *parser) classes() []logic.Class {
	n := p.count("categories.count", mostItems)
	per := p.items("extra.aim-us-per-1000-prompt-tokens", n)
	gap := p.items("extra.token-aim-ns", n)
	out := make([]logic.Class, n)
	for i := range out {
		at := fmt.Sprintf("categories.%d.", i)
		c := logic.Class{
			Aim: p.nanos(at + "target-ns"), AimPer1000: time.Duration(per[i] * 1000), TokenAim: time.Duration(gap[i]),
			Points: p.number(at + "points"), LateShare: p.optional(at + "late-share"),
			RepeatWindow: time.Duration(p.optional(at + "repeat-window-ns")),
		}
		switch v := p.text(at + "effect"); v {
		case "repeatable":
		case "by_key":
			c.Effect = logic.EffectByKey
		case "once":
			c.Effect = logic.EffectOnce
		default:
			p.bad(at+"effect", v)
		}
		switch v := p.values[at+"group"]; v {
		case "", "all":
		case "zone":
			c.Group = logic.GroupZone
		case "cell":
			c.Group = logic.GroupCell
		default:
			p.bad(at+"group", v)
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
			p.bad("extra.role-by-kind", r)
		}
	}
	return out
}
