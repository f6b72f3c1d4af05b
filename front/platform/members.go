package platform

import (
	"errors"
	"fmt"
	"math"
	"net"
	"slices"

	"lichenshelf/logic"
	"lichenshelf/router"
)

// members converts a list to the router's members. A malformed instance invalidates the whole list,
// since applying a part of it would remove workers that exist. The members that are leaving are
// returned even then, because no new requests may be sent to them. The parameter hadList says that
// an earlier list was already applied.
func (c *Config) members(ids *router.ServerIDs, l List, hadList bool) ([]router.Member, error) {
	out := make([]router.Member, 0, len(l.Instances))
	seen := make(map[string]Instance, len(l.Instances))
	var firstErr error
	for _, in := range l.Instances {
		m, err := c.member(in)
		if before, twice := seen[in.ID]; err == nil && twice {
			if before == in {
				continue
			}
			err = fmt.Errorf("instance %s is listed twice: as %s at %q, and as %s at %q", in.ID, before.Lifecycle, before.Addr,
				in.Lifecycle, in.Addr)
		}
		seen[in.ID] = in
		if err != nil {
			if firstErr == nil {
				firstErr = err
			}
			if m.Health == logic.Ready || in.ID == "" {
				continue
			}
		}
		m.Server, m.PreviousListCurrent = ids.ID(in.ID), hadList
		out = append(out, m)
	}
	if firstErr != nil {
		out = slices.DeleteFunc(out, func(m router.Member) bool { return m.Health == logic.Ready })
	}
	return out, firstErr
}

// member converts one instance; with an error, it returns what could be converted.
func (c *Config) member(in Instance) (router.Member, error) {
	m := router.Member{Name: in.ID, Addr: in.Addr, Member: logic.Member{
		Weight: in.Weight, Cell: in.Cell, Zone: c.index("zone", in.Zone),
		Kind: c.index("kind", in.Kind), Since: logic.Time(min(max(in.StartedAtMs, 0), math.MaxInt64/1_000_000) * 1e6),
	}}
	switch in.Lifecycle {
	case "in_service":
	case "terminating":
		m.Health = logic.Draining
	case "terminated":
		m.Health = logic.Gone
	default:
		return m, fmt.Errorf("instance %q has the unknown lifecycle %q", in.ID, in.Lifecycle)
	}
	if in.ID == "" {
		return m, errors.New("an instance without an id")
	}
	if _, _, err := net.SplitHostPort(in.Addr); err != nil && m.Health != logic.Gone {
		return m, fmt.Errorf("instance %s has the hostPort %q: %w", in.ID, in.Addr, err)
	}
	if in.StartedAtMs < 0 {
		return m, fmt.Errorf("instance %s has startedAtMs %d", in.ID, in.StartedAtMs)
	}
	return m, nil
}
