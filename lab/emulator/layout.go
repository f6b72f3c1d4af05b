package emulator

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"lichenshelf/internal/standin/link"
	"lichenshelf/logic"
)

// Rules are the settings of a layout's routers.
type Rules struct {
	Patience time.Duration // for which a client waits
	Aim      time.Duration // target time of the first token
	Attempts int           // maximum for a request
	Zoned    bool          // routers are spread over the servers' zones, also in the fleet's file
}

// Router has the addresses of one router of a layout and the arguments to start it with.
type Router struct {
	Name     string
	Listen   string // for clients
	Operator string // for `lichenshelf fleet`
	Link     string // for the other routers, which connect through a relay
	Args     []string
	Env      []string
}

// Layout is a set of routers in front of an emulator, with a relay for each ordered pair of them.
type Layout struct {
	Routers []Router
	Relays  map[[2]int]*link.Relay
}

// Close stops the relays.
func (l *Layout) Close() {
	for _, r := range l.Relays {
		r.Close()
	}
}

// SetFaults sets a fault on the relay of each ordered pair that pick selects, and clears it on the
// others.
func (l *Layout) SetFaults(pick func(from, to int) bool, f link.Fault) {
	for pair, r := range l.Relays {
		if pick(pair[0], pair[1]) {
			r.Set(f)
			r.Cut()
		} else {
			r.Set(link.Fault{})
		}
	}
}

// NewLayout writes the configuration files of n routers under dir. Addr returns free addresses.
// Fleet has further lines of the fleet's file; if it is empty, the routers share nothing.
func (e *Emulator) NewLayout(dir string, n int, rules Rules, fleet string, addr func() (string, error)) (*Layout, error) {
	l := &Layout{Relays: map[[2]int]*link.Relay{}}
	for i := range n {
		r := Router{Name: fmt.Sprintf("r-%d", i)}
		for _, to := range []*string{&r.Listen, &r.Operator, &r.Link} {
			var err error
			if *to, err = addr(); err != nil {
				return nil, fmt.Errorf("router %s: %w", r.Name, err)
			}
		}
		config := filepath.Join(dir, r.Name+".json")
		text, err := e.Config(n, i, rules)
		if err == nil {
			err = os.WriteFile(config, text, 0o600)
		}
		if err != nil {
			return nil, fmt.Errorf("router %s: %w", r.Name, err)
		}
		r.Args = []string{"serve", "--config", config, "--modelapi", "", "--store", "", "--sources", "", "--fleet", ""}
		r.Env = []string{"ROUTER_LISTEN=" + r.Listen, "ROUTER_NAME=" + r.Name, "ROUTER_DISCOVERY=" + e.Discovery()}
		l.Routers = append(l.Routers, r)
	}
	if fleet == "" {
		return l, nil
	}
	for i := range n {
		for j := range n {
			if i != j {
				r, err := link.New(l.Routers[j].Link)
				if err != nil {
					l.Close()
					return nil, fmt.Errorf("relay: %w", err)
				}
				l.Relays[[2]int{i, j}] = r
			}
		}
	}
	for i := range l.Routers {
		r := &l.Routers[i]
		var text strings.Builder
		fmt.Fprintf(&text, "fleet = \"lab\"\nself = %q\nlisten = %q\noperator = %q\n%s\n", r.Name, r.Link, r.Operator, fleet)
		for j, o := range l.Routers {
			to := o.Link
			if i != j {
				to = l.Relays[[2]int{i, j}].Addr()
			}
			fmt.Fprintf(&text, "[[router]]\nname = %q\naddr = %q\n", o.Name, to)
			if rules.Zoned {
				fmt.Fprintf(&text, "zone = %q\n", zoneName(j%e.cfg.Zones()))
			}
		}
		path := filepath.Join(dir, r.Name+".toml")
		if err := os.WriteFile(path, []byte(text.String()), 0o600); err != nil {
			return nil, fmt.Errorf("router %s: %w", r.Name, err)
		}
		r.Args[len(r.Args)-1] = path
	}
	return l, nil
}

// Config returns the platform's configuration file for router i of n.
func (e *Emulator) Config(n, i int, rules Rules) ([]byte, error) {
	roles, kinds, memory := []string{}, []string{}, []float64{}
	for k, kind := range e.cfg.Kinds {
		roles = append(roles, map[logic.Role]string{logic.RoleRead: "read", logic.RoleWrite: "write", logic.RoleBoth: "both"}[kind.Role])
		kinds, memory = append(kinds, kindName(k)), append(memory, kind.Memory)
	}
	var zones []string
	for z := range e.cfg.Zones() {
		zones = append(zones, zoneName(z))
	}
	ownZone := 0
	if rules.Zoned {
		ownZone = i % len(zones)
	}
	class := func(name, effect string, points float64) map[string]any {
		return map[string]any{"name": name, "effect": effect, "group": "all", "points": points,
			"target-ns": rules.Aim.Nanoseconds(), "hard-limit-ns": rules.Patience.Nanoseconds(), "late-share": 0.2}
	}
	cold := e.cfg.Cold
	return json.Marshal(map[string]any{
		"name": fmt.Sprintf("r-%d", i), "seed": fmt.Sprintf("%x", 77+i), "limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known": map[string]any{"generation": 0, "reset": true, "instances": []any{}},
		"settings": map[string]any{
			"balancers": n, "my-zone": ownZone, "zones": zones, "skus": kinds,
			"bounds": map[string]any{"cancel": true, "retry-after": true, "max-retry-after-ns": 2000000000, "most-tries": rules.Attempts,
				"connect-timeout-ns": 250000000, "conn-idle-ns": 30000000000, "open-cap": 1000},
			"categories": []any{class("query", "repeatable", 1), class("file", "once", 3)},
			"extra": map[string]any{"aim-us-per-1000-prompt-tokens": []float64{40000, 40000}, "token-aim-ns": []int{60000000, 60000000},
				"kind-memory-tokens": memory, "role-by-kind": roles, "release-ns": 300000000, "read-in-place": false},
			"realms": []any{map[string]any{"name": "acme", "quota-per-s": 1e6, "share": 1.0}},
			"safety": map[string]any{"cold-share": cold.Share, "fall-multiple": cold.FallMultiple, "fall-ns": cold.FallAfter.Nanoseconds(),
				"stop-sending-within-ns": 250000000, "warm-within-ns": cold.WarmWithin.Nanoseconds()},
			"load-info": map[string]any{"columns": []any{}, "how": "none"}, "over-share-worth": 0.1,
		},
	})
}

// Loopback listens on addr, or on a free port of 127.0.0.1 if addr is empty.
func Loopback(addr string) (net.Listener, error) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	return net.Listen("tcp4", addr)
}
