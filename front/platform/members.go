package platform

import (
	"errors"
	"fmt"
	"math"
	"net"

	"lichenshelf/logic"
	"lichenshelf/router"
)

// members translates a list. A line that makes no sense spoils the whole list:
// half a list would drop workers that are there.
func (c *Config) members(ids *router.ServerIDs, l List) ([]router.Member, error) {
	out := make([]router.Member, 0, len(l.Instances))
	for _, in := range l.Instances {
		m := router.Member{Name: in.ID, Addr: in.Addr, Member: logic.Member{
			Weight: in.Weight, Cell: in.Cell, Zone: c.index("zone", in.Zone),
			Kind: c.index("kind", in.Kind), Since: logic.Time(min(in.StartedAtMs, math.MaxInt64/1_000_000) * 1e6),
		}}
		switch in.Lifecycle {
		case "in_service":
		case "terminating":
			m.Health = logic.Draining
		case "terminated":
			m.Health = logic.Gone
		default:
			return nil, fmt.Errorf("instance %q has the unknown lifecycle %q", in.ID, in.Lifecycle)
		}
		if in.ID == "" {
			return nil, errors.New("an instance without an id")
		}
		if _, _, err := net.SplitHostPort(in.Addr); err != nil && m.Health != logic.Gone {
			return nil, fmt.Errorf("instance %s: %w", in.ID, err)
		}
		if in.StartedAtMs < 0 {
			return nil, fmt.Errorf("instance %s started at %d", in.ID, in.StartedAtMs)
		}
		m.Server = ids.ID(in.ID)
		out = append(out, m)
	}
	return out, nil
}
