package agent

import (
	"net"
	"os"
	"strconv"
	"time"

	"lichenshelf/conffile"
	"lichenshelf/fleet/node"
	"lichenshelf/fleet/solver"
	"lichenshelf/fleet/traffic"
	"lichenshelf/fleet/zone"
)

// Config is the content of the fleet's configuration file; deploy/fleet.toml describes the keys.
type Config struct {
	Fleet            string            `toml:"fleet"` // name of the fleet; empty: off
	Self             string            `toml:"self"`
	Listen           string            `toml:"listen"`   // empty: addr of the router named by self
	Operator         string            `toml:"operator"` // address of the console; empty: off
	Lease            conffile.Duration `toml:"lease"`
	Floor            float64           `toml:"floor"`
	Burst            conffile.Duration `toml:"burst"`
	Drift            float64           `toml:"drift"`
	Period           conffile.Duration `toml:"period"`
	CountsPeriod     conffile.Duration `toml:"counts_every"`
	Fanout           int               `toml:"fanout"`
	Digest           int               `toml:"digest"`
	Timeout          conffile.Duration `toml:"timeout"`
	Observers        int               `toml:"observers"`
	Quorum           int               `toml:"quorum"`
	MaxOut           float64           `toml:"most_out"`
	MinFailures      float64           `toml:"least"`
	Hold             conffile.Duration `toml:"hold"`
	Return           conffile.Duration `toml:"return"`
	RepeatsPerSecond float64           `toml:"repeats_per_s"`
	ColdPerSecond    float64           `toml:"cold_per_s"`
	Straggler        Straggler         `toml:"straggler"`
	Trail            string            `toml:"trail"` // directory of the event log; empty: off
	TrailBytes       int64             `toml:"trail_bytes"`
	Routers          []Router          `toml:"router"`
	Shift            Shift             `toml:"shift"`
	Zones            []Zone            `toml:"zone"`
	ZoneLink         []ZoneLink        `toml:"zone_link"`
}

// Shift holds the settings for moving traffic between zones. They have no effect without zones.
type Shift struct {
	// MinAttempts is the number of recent attempts, by one zone's routers at another zone, below
	// which the zone is not judged by them.
	MinAttempts float64 `toml:"least"`
	// Failing and Lost are the shares of failed attempts from which a zone is failing, and lost.
	Failing float64           `toml:"failing"`
	Lost    float64           `toml:"lost"`
	Confirm conffile.Duration `toml:"confirm"`
	Hold    conffile.Duration `toml:"hold"`
	Return  conffile.Duration `toml:"return"`
	Trial   float64           `toml:"trial"`
	Safe    float64           `toml:"safe"`
	Up      float64           `toml:"up"`
	Back    float64           `toml:"back"`
	Every   conffile.Duration `toml:"every"`
	PerMin  float64           `toml:"maps_per_min"`
	Spill   float64           `toml:"spill"`
	Fresh   conffile.Duration `toml:"fresh"`
	Fade    conffile.Duration `toml:"fade"`
}

// Zone holds the capacity of a zone with all of its workers warm, in requests per second.
type Zone struct {
	Name  string  `toml:"name"`
	Read  float64 `toml:"read"`
	Write float64 `toml:"write"`
}

// ZoneLink describes the link between two zones, for both directions.
type ZoneLink struct {
	From string  `toml:"from"`
	To   string  `toml:"to"`
	Far  float64 `toml:"far"` // cost of distance, 0 to 1
	// Room is the number of requests per second whose read states may pass over the link;
	// negative: no limit.
	Room float64 `toml:"room"`
}

const (
	defaultFar = 0.5 // cost of distance between zones whose link is not listed
	mapBurst   = 12
	mapReserve = 4 // maps of the burst that are reserved for lost zones
	mapBand    = 0.02
)

// zones returns the zone settings for the node, and false if no zones are listed.
func (c *Config) zones() (node.ZoneConfig, bool) {
	n, s := len(c.Zones), &c.Shift
	z := node.ZoneConfig{Safe: s.Safe, Capacity: map[string]solver.Zone{}, Terms: traffic.Terms{Fresh: s.Fresh.Duration, Fade: s.Fade.Duration, Spill: s.Spill},
		Pace: traffic.Pace{Every: s.Every.Duration, Up: s.Up, Back: s.Back, Band: mapBand, Burst: mapBurst, PerMin: s.PerMin, Reserve: mapReserve},
		Judge: zone.Config{MinAttempts: s.MinAttempts, Failing: s.Failing, Lost: s.Lost, Strain: s.Safe, Confirm: s.Confirm.Duration, Hold: s.Hold.Duration,
			Return: s.Return.Duration, Trial: s.Trial}}
	at := map[string]int{}
	for i, l := range c.Zones {
		z.Judge.Zones, at[l.Name] = append(z.Judge.Zones, l.Name), i
		z.Capacity[l.Name] = solver.Zone{Read: l.Read, Write: l.Write}
		far, room := make([]float64, n), make([]float64, n)
		for j := range n {
			if j != i {
				far[j] = defaultFar
			}
			room[j] = -1
		}
		z.Far, z.Room = append(z.Far, far), append(z.Room, room)
	}
	for _, l := range c.ZoneLink {
		i, j := at[l.From], at[l.To]
		z.Far[i][j], z.Far[j][i], z.Room[i][j], z.Room[j][i] = l.Far, l.Far, l.Room, l.Room
	}
	return z, n > 0
}

// checkZones returns an error for the first invalid value of the zones' settings.
func (c *Config) checkZones(f *conffile.File) error {
	names := map[string]bool{}
	for i, z := range c.Zones {
		at := func(key string) string { return "zone[" + strconv.Itoa(i) + "]." + key }
		switch {
		case z.Name == "" || names[z.Name]:
			return f.ValueError(at("name"), z.Name, "empty, or named twice")
		case !(z.Read >= 0 && z.Read <= maxRate):
			return f.ValueError(at("read"), z.Read, "not from 0 to 1000000")
		case !(z.Write >= 0 && z.Write <= maxRate):
			return f.ValueError(at("write"), z.Write, "not from 0 to 1000000")
		}
		names[z.Name] = true
	}
	for i, l := range c.ZoneLink {
		at := func(key string) string { return "zone_link[" + strconv.Itoa(i) + "]." + key }
		switch {
		case !names[l.From]:
			return f.ValueError(at("from"), l.From, "none of the zones listed")
		case !names[l.To] || l.To == l.From:
			return f.ValueError(at("to"), l.To, "none of the zones listed, or the same")
		case !(l.Far >= 0 && l.Far <= 1):
			return f.ValueError(at("far"), l.Far, "not from 0 to 1")
		case !(l.Room <= maxRate):
			return f.ValueError(at("room"), l.Room, "over 1000000")
		}
	}
	for i, r := range c.Routers {
		if len(c.Zones) > 0 && !names[r.Zone] {
			return f.ValueError("router["+strconv.Itoa(i)+"].zone", r.Zone, "none of the zones listed")
		}
	}
	s := &c.Shift
	for _, k := range []struct {
		key   string
		value any
		bad   bool
		why   string
	}{
		{"shift.least", s.MinAttempts, !(s.MinAttempts > 0 && s.MinAttempts <= 1e6), "not over 0 and up to 1000000"},
		{"shift.failing", s.Failing, !(s.Failing > 0 && s.Failing < s.Lost), "not over 0 and under shift.lost"},
		{"shift.lost", s.Lost, !(s.Lost <= 1), "over 1"},
		{"shift.confirm", s.Confirm, s.Confirm.Duration > time.Minute, "over 1m"},
		{"shift.hold", s.Hold, s.Hold.Duration <= 0 || s.Hold.Duration > time.Hour, "not over 0 and up to 1h"},
		{"shift.return", s.Return, s.Return.Duration <= 0 || s.Return.Duration > time.Hour, "not over 0 and up to 1h"},
		{"shift.trial", s.Trial, !(s.Trial > 0 && s.Trial <= 1), "not over 0 and up to 1"},
		{"shift.safe", s.Safe, !(s.Safe > 0 && s.Safe <= 1), "not over 0 and up to 1"},
		{"shift.up", s.Up, !(s.Up > 0 && s.Up <= 1), "not over 0 and up to 1"},
		{"shift.back", s.Back, !(s.Back > 0 && s.Back <= s.Up), "not over 0 and up to shift.up"},
		{"shift.every", s.Every, s.Every.Duration <= 0 || s.Every.Duration > time.Hour, "not over 0 and up to 1h"},
		{"shift.maps_per_min", s.PerMin, !(s.PerMin > 0 && s.PerMin <= 600), "not over 0 and up to 600"},
		{"shift.spill", s.Spill, !(s.Spill >= 0 && s.Spill <= 1), "not from 0 to 1"},
		{"shift.fresh", s.Fresh, s.Fresh.Duration <= 0 || s.Fresh.Duration > time.Hour, "not over 0 and up to 1h"},
		{"shift.fade", s.Fade, s.Fade.Duration <= 0 || s.Fade.Duration > time.Hour, "not over 0 and up to 1h"},
	} {
		if k.bad {
			return f.ValueError(k.key, k.value, k.why)
		}
	}
	return nil
}

// Straggler holds the settings for a router that lags behind the published configuration.
type Straggler struct {
	Grace   conffile.Duration `toml:"grace"` // 0: off
	MaxAge  conffile.Duration `toml:"most_age"`
	MaxShut float64           `toml:"most_shut"`
	Rate    float64           `toml:"rate"`
	Steady  conffile.Duration `toml:"steady"`
}

// Rank returns this router's index among all routers ordered by name.
func (c *Config) Rank() (rank int) {
	for _, r := range c.Routers {
		if r.Name < c.Self {
			rank++
		}
	}
	return rank
}

// Router is one router of the fleet as the file lists it.
type Router struct {
	Name string `toml:"name"`
	Addr string `toml:"addr"`
	Zone string `toml:"zone"`
}

// SelfEnv is the environment variable that overrides the file's self, so that all routers can use
// the same file.
const SelfEnv = "LICHENSHELF_FLEET_SELF"

const (
	maxRouters    = 4096
	maxRate       = 1e6
	minTrailBytes = 1 << 20
	maxTrailBytes = 1 << 40
)

// LoadConfig reads and checks the file. If it does not name the fleet, the fleet is off and the
// other keys are not checked.
func LoadConfig(path string) (*Config, error) {
	d := func(v time.Duration) conffile.Duration { return conffile.Duration{Duration: v} }
	c := &Config{Lease: d(2 * time.Second), Floor: 0.1, Burst: d(time.Second), Drift: 0.01, Period: d(500 * time.Millisecond), CountsPeriod: d(100 * time.Millisecond),
		Fanout: 2, Digest: 32, Timeout: d(time.Second), Observers: 2,
		Quorum: 2, MaxOut: 0.3, MinFailures: 3, Hold: d(3 * time.Second), Return: d(10 * time.Second), TrailBytes: 64 << 20,
		Straggler: Straggler{MaxShut: 0.25, Rate: 20, Steady: d(2 * time.Second)},
		Shift: Shift{MinAttempts: 5, Failing: 0.2, Lost: 0.8, Confirm: d(time.Second), Hold: d(5 * time.Second), Return: d(20 * time.Second), Trial: 0.05,
			Safe: 0.8, Up: 0.2, Back: 0.05, Every: d(time.Second), PerMin: 20, Spill: 0.1, Fresh: d(5 * time.Second), Fade: d(30 * time.Second)}}
	f, err := conffile.Read(path, c)
	if err != nil || c.Fleet == "" {
		return c, err
	}
	if v := os.Getenv(SelfEnv); v != "" {
		c.Self = v
	}
	names, addrs := map[string]bool{}, map[string]bool{}
	for i, r := range c.Routers {
		at := func(key string) string { return "router[" + strconv.Itoa(i) + "]." + key }
		switch {
		case r.Name == "" || names[r.Name]:
			return nil, f.ValueError(at("name"), r.Name, "empty, or another router's")
		case badAddr(r.Addr) || addrs[r.Addr]:
			return nil, f.ValueError(at("addr"), r.Addr, "not host:port, or another router's")
		}
		names[r.Name], addrs[r.Addr] = true, true
		if r.Name == c.Self && c.Listen == "" {
			c.Listen = r.Addr
		}
	}
	for _, k := range []struct {
		key   string
		value any
		bad   bool
		why   string
	}{
		{"router", len(c.Routers), len(c.Routers) == 0 || len(c.Routers) > maxRouters, "1 to 4096 routers are needed, this one among them"},
		{"self", c.Self, !names[c.Self], "none of the routers listed"},
		{"listen", c.Listen, badAddr(c.Listen), "not host:port"},
		{"operator", c.Operator, c.Operator != "" && badAddr(c.Operator), "not host:port"},
		{"lease", c.Lease, c.Lease.Duration < 100*time.Millisecond || c.Lease.Duration > time.Minute, "not from 100ms to 1m"},
		{"floor", c.Floor, !(c.Floor > 0 && c.Floor <= 1), "not over 0 and up to 1"},
		{"burst", c.Burst, c.Burst.Duration > time.Minute, "over 1m"},
		{"drift", c.Drift, !(c.Drift >= 0 && c.Drift <= 0.2), "not from 0 to 0.2"},
		{"period", c.Period, c.Period.Duration < 10*time.Millisecond || c.Period.Duration > time.Minute, "not from 10ms to 1m"},
		{"counts_every", c.CountsPeriod, c.CountsPeriod.Duration != 0 && c.CountsPeriod.Duration < 10*time.Millisecond || c.CountsPeriod.Duration > time.Minute, "not 0, nor from 10ms to 1m"},
		{"fanout", c.Fanout, c.Fanout < 1 || c.Fanout > 16, "not from 1 to 16"},
		{"digest", c.Digest, c.Digest < 1 || c.Digest > 512, "not from 1 to 512"},
		{"timeout", c.Timeout, c.Timeout.Duration < 10*time.Millisecond || c.Timeout.Duration > time.Minute, "not from 10ms to 1m"},
		{"quorum", c.Quorum, c.Quorum < 1, "not 1 or more"},
		{"most_out", c.MaxOut, !(c.MaxOut >= 0 && c.MaxOut <= 0.5), "not from 0 to 0.5"},
		{"least", c.MinFailures, !(c.MinFailures > 0 && c.MinFailures <= 1e6), "not over 0 and up to 1000000"},
		{"hold", c.Hold, c.Hold.Duration < 100*time.Millisecond || c.Hold.Duration > time.Minute, "not from 100ms to 1m"},
		{"return", c.Return, c.Return.Duration > time.Hour, "over 1h"},
		{"observers", c.Observers, c.Observers < 0, "negative"},
		{"straggler.grace", c.Straggler.Grace, c.Straggler.Grace.Duration != 0 && c.Straggler.Grace.Duration < 100*time.Millisecond || c.Straggler.Grace.Duration > time.Hour, "not 0, nor from 100ms to 1h"},
		{"straggler.most_age", c.Straggler.MaxAge, c.Straggler.MaxAge.Duration > 24*time.Hour, "over 24h"},
		{"straggler.most_shut", c.Straggler.MaxShut, !(c.Straggler.MaxShut >= 0 && c.Straggler.MaxShut <= 0.5), "not from 0 to 0.5"},
		{"straggler.rate", c.Straggler.Rate, !(c.Straggler.Rate > 0 && c.Straggler.Rate <= maxRate), "not over 0 and up to 1000000"},
		{"straggler.steady", c.Straggler.Steady, c.Straggler.Steady.Duration > time.Hour, "over 1h"},
		{"trail_bytes", c.TrailBytes, c.TrailBytes < minTrailBytes || c.TrailBytes > maxTrailBytes, "not from 1048576 to 1099511627776"},
		{"repeats_per_s", c.RepeatsPerSecond, !(c.RepeatsPerSecond >= 0 && c.RepeatsPerSecond <= maxRate), "not from 0 to 1000000"},
		{"cold_per_s", c.ColdPerSecond, !(c.ColdPerSecond >= 0 && c.ColdPerSecond <= maxRate), "not from 0 to 1000000"},
	} {
		if k.bad {
			return nil, f.ValueError(k.key, k.value, k.why)
		}
	}
	return c, c.checkZones(f)
}

func badAddr(addr string) bool {
	_, port, err := net.SplitHostPort(addr)
	return err != nil || port == ""
}
