// Package sources runs the sources of workers that an operator's file names, and feeds a front's
// core with the set of workers that package membership derives from their reports.
package sources

import (
	"fmt"
	"net"
	"path"
	"slices"
	"strings"
	"time"

	"github.com/miekg/dns"

	"lichenshelf/conffile"
	"lichenshelf/discovery/dnsrule"
	"lichenshelf/discovery/dnssrv"
	"lichenshelf/discovery/membership"
	"lichenshelf/discovery/storesource"
	"lichenshelf/discovery/zkrule"
	"lichenshelf/discovery/zksource"
)

// The kinds of source.
const (
	KindDNS   = "dns"
	KindList  = "list"
	KindStore = "store"
	KindZK    = "zookeeper"
	KindOwn   = "own" // the front's own list: from discovery or from its file
)

// The fronts that can use sources.
const (
	Platform = "platform"
	ModelAPI = "modelapi"
)

// Own is the name of a front's own list unless the file gives another.
const Own = "own"

// Config is the operator's file. A file without sources changes nothing.
type Config struct {
	Sources []Source `toml:"source"`
	file    *conffile.File
}

// Source is one source in the file. Which keys apply depends on its kind.
type Source struct {
	Name   string   `toml:"name"`
	Kind   string   `toml:"kind"`
	Fronts []string `toml:"fronts"` // that use it; the model API if empty

	// How its reports are applied; see membership.Policy.
	EmptyTimes   int               `toml:"empty_times"`
	EmptyOver    conffile.Duration `toml:"empty_over"`
	LossShare    float64           `toml:"loss_share"`
	LossTimes    int               `toml:"loss_times"`
	LossOver     conffile.Duration `toml:"loss_over"`
	Silent       conffile.Duration `toml:"silent"`
	Keep         conffile.Duration `toml:"keep"`
	GoneFor      conffile.Duration `toml:"gone_for"`
	DampHalfLife conffile.Duration `toml:"damp_half_life"`
	DampSuppress float64           `toml:"damp_suppress"`
	DampReuse    float64           `toml:"damp_reuse"`
	DampShare    float64           `toml:"damp_share"`

	// Values for its workers where the source states none.
	Cell        int    `toml:"cell"`
	Zone        string `toml:"zone"`         // the platform's name of the zone
	MachineType string `toml:"machine_type"` // the platform's name of the machine type

	// DNS.
	Service     string            `toml:"service"`
	Servers     []string          `toml:"servers"`
	Family      string            `toml:"family"`
	Agree       int               `toml:"agree"`
	Timeout     conffile.Duration `toml:"timeout"`
	Deadline    conffile.Duration `toml:"deadline"`
	Parallel    int               `toml:"parallel"`
	LifetimeMin conffile.Duration `toml:"lifetime_min"`
	LifetimeMax conffile.Duration `toml:"lifetime_max"`
	MissingMin  conffile.Duration `toml:"missing_min"`
	MissingMax  conffile.Duration `toml:"missing_max"`
	RetryMin    conffile.Duration `toml:"retry_min"`
	RetryMax    conffile.Duration `toml:"retry_max"`
	Spread      float64           `toml:"spread"`

	// Static list.
	Workers []Worker `toml:"worker"`

	// The store, and ZooKeeper.
	Path string   `toml:"path"`
	API  []string `toml:"api"` // replicas to ask if this router holds none

	// ZooKeeper, in addition to servers, path and parallel.
	Format     string            `toml:"format"`
	Session    conffile.Duration `toml:"session"`
	Resync     conffile.Duration `toml:"resync"`
	FlapWithin conffile.Duration `toml:"flap_within"`
}

// Worker is one worker of a static list.
type Worker struct {
	Name        string  `toml:"name"`
	Addr        string  `toml:"addr"`
	Weight      float64 `toml:"weight"`
	Priority    int     `toml:"priority"`
	Cell        *int    `toml:"cell"` // nil: the source's cell
	Draining    bool    `toml:"draining"`
	StartedAtMs int64   `toml:"started_at_ms"`
}

// defaults sets the values that the file leaves out (zero). DNS cannot tell an outage from an empty
// fleet, so its losses are held by default; those of the other kinds are applied at once.
func (s *Source) defaults() {
	set := func(d *conffile.Duration, v time.Duration) {
		if d.Duration == 0 {
			d.Duration = v
		}
	}
	if len(s.Fronts) == 0 {
		s.Fronts = []string{ModelAPI}
	}
	if s.DampHalfLife.Duration > 0 {
		s.DampSuppress, s.DampReuse, s.DampShare = orDefault(s.DampSuppress, 4), orDefault(s.DampReuse, 2), orDefault(s.DampShare, 0.25)
	}
	if s.Kind == KindStore {
		s.Path = orDefault(s.Path, storesource.BackendsPath)
	}
	if s.Kind == KindZK {
		s.Format, s.Parallel = orDefault(s.Format, string(zkrule.JSON)), orDefault(s.Parallel, 8)
		set(&s.Session, 10*time.Second)
		set(&s.Resync, time.Minute)
		set(&s.FlapWithin, 10*time.Second)
	}
	if s.Kind != KindDNS {
		return
	}
	s.EmptyTimes, s.LossShare, s.LossTimes = orDefault(s.EmptyTimes, 3), orDefault(s.LossShare, 0.5), orDefault(s.LossTimes, 2)
	set(&s.EmptyOver, 30*time.Second)
	set(&s.LossOver, 10*time.Second)
	s.Family, s.Parallel, s.Spread = orDefault(s.Family, "ipv4"), orDefault(s.Parallel, 8), orDefault(s.Spread, 0.25)
	set(&s.Timeout, time.Second)
	set(&s.Deadline, 8*time.Second)
	set(&s.LifetimeMin, 5*time.Second)
	set(&s.LifetimeMax, 5*time.Minute)
	set(&s.MissingMin, 5*time.Second)
	set(&s.MissingMax, 30*time.Second)
	set(&s.RetryMin, time.Second)
	set(&s.RetryMax, 30*time.Second)
}

func orDefault[T comparable](v, otherwise T) T {
	var zero T
	if v == zero {
		return otherwise
	}
	return v
}

// LoadConfig reads the file and checks it completely.
func LoadConfig(path string) (*Config, error) {
	c := &Config{}
	file, err := conffile.Read(path, c)
	if err != nil {
		return nil, err
	}
	c.file = file
	return c, c.check()
}

func (c *Config) check() error {
	names := map[string]bool{}
	for i := range c.Sources {
		s := &c.Sources[i]
		at := fmt.Sprintf("source[%d].", i)
		bad := func(key string, value any, why string) error { return c.file.ValueError(at+key, value, why) }
		if s.Name == "" || names[s.Name] || s.Name == Own && s.Kind != KindOwn {
			return bad("name", s.Name, "must be set and unique among the sources")
		}
		names[s.Name] = true
		s.defaults()
		for _, f := range s.Fronts {
			if f != Platform && f != ModelAPI {
				return bad("fronts", f, "must be platform or modelapi")
			}
		}
		p := s.Policy()
		if key, err := p.Check(); err != nil {
			return bad(key, s.settingValue(key), err.Error())
		}
		if s.MachineType == "" && slices.Contains(s.Fronts, Platform) && s.Kind != KindOwn {
			return bad("machine_type", "", "must be set for the platform front")
		}
		if err := s.checkKind(bad); err != nil {
			return err
		}
	}
	for _, front := range []string{Platform, ModelAPI} {
		own := 0
		for i := range c.Sources {
			if s := &c.Sources[i]; s.Kind == KindOwn && slices.Contains(s.Fronts, front) {
				if own++; own > 1 {
					return c.file.ValueError(fmt.Sprintf("source[%d].kind", i), s.Kind, "the front "+front+" has only one list of its own")
				}
			}
		}
	}
	return nil
}

// settingValue returns the value, from the file or the default, of a setting that a policy's check
// rejects.
func (s *Source) settingValue(key string) any {
	switch key {
	case "loss_share":
		return s.LossShare
	case "damp_reuse":
		return s.DampReuse
	case "damp_share":
		return s.DampShare
	case "empty_times":
		return s.EmptyTimes
	}
	return s.LossTimes
}

func (s *Source) checkKind(bad func(string, any, string) error) error {
	switch s.Kind {
	case KindDNS:
		return s.checkDNS(bad)
	case KindList:
		for i, w := range s.Workers {
			e := s.entry(w)
			if err := e.Check(); err != nil {
				return bad(fmt.Sprintf("worker[%d].addr", i), w.Addr, err.Error())
			}
		}
	case KindZK:
		return s.checkZK(bad)
	case KindStore:
		if !isNodePath(s.Path) {
			return bad("path", s.Path, "is not the path of a node")
		}
		for _, addr := range s.API {
			if _, _, err := net.SplitHostPort(addr); err != nil {
				return bad("api", addr, err.Error())
			}
		}
	case KindOwn:
	default:
		return bad("kind", s.Kind, "must be dns, list, store, zookeeper or own")
	}
	return nil
}

var families = map[string]dnsrule.Family{"ipv4": dnsrule.IPv4, "ipv6": dnsrule.IPv6, "both": dnsrule.Both}

func isNodePath(p string) bool { return strings.HasPrefix(p, "/") && path.Clean(p) == p && p != "/" }

// Bounds of a session with a ZooKeeper-style service. The service has bounds of its own and answers
// with the time-out that it has granted.
const (
	sessionMin = time.Second
	sessionMax = 5 * time.Minute
)

func (s *Source) checkZK(bad func(string, any, string) error) error {
	if len(s.Servers) == 0 {
		return bad("servers", "", "names no server")
	}
	for _, addr := range s.Servers {
		if host, port, err := net.SplitHostPort(addr); err != nil || host == "" || port == "" {
			return bad("servers", addr, "is not an address with a port")
		}
	}
	switch {
	case !isNodePath(s.Path):
		return bad("path", s.Path, "is not the path of a node")
	case !zkrule.Format(s.Format).Known():
		return bad("format", s.Format, "must be json, serverset or curator")
	case s.Session.Duration < sessionMin || s.Session.Duration > sessionMax:
		return bad("session", s.Session, fmt.Sprintf("must be between %v and %v", sessionMin, sessionMax))
	case s.Resync.Duration < time.Second:
		return bad("resync", s.Resync, "must be 1s or more")
	case s.Parallel < 1 || s.Parallel > 64:
		return bad("parallel", s.Parallel, "must be between 1 and 64")
	}
	return nil
}

func (s *Source) zookeeper() zksource.Config {
	return zksource.Config{Servers: s.Servers, Path: s.Path, Session: s.Session.Duration, Resync: s.Resync.Duration,
		FlapWindow: s.FlapWithin.Duration, Format: zkrule.Format(s.Format), Parallel: s.Parallel}
}

func (s *Source) checkDNS(bad func(string, any, string) error) error {
	if _, ok := dns.IsDomainName(s.Service); !ok || strings.Trim(s.Service, ".") == "" {
		return bad("service", s.Service, "is not a domain name")
	}
	if len(s.Servers) == 0 {
		return bad("servers", "", "names no server")
	}
	for _, addr := range s.Servers {
		host, port, err := net.SplitHostPort(addr)
		if err != nil || net.ParseIP(host) == nil || port == "" {
			return bad("servers", addr, "is not the IP address and port of a name server")
		}
	}
	for _, r := range []struct {
		key       string
		low, high conffile.Duration
	}{{"lifetime_max", s.LifetimeMin, s.LifetimeMax}, {"missing_max", s.MissingMin, s.MissingMax}, {"retry_max", s.RetryMin, s.RetryMax}, {"deadline", s.Timeout, s.Deadline}} {
		if r.high.Duration < r.low.Duration {
			return bad(r.key, r.high, fmt.Sprintf("is less than %v, its lower bound", r.low))
		}
	}
	switch {
	case families[s.Family] == 0:
		return bad("family", s.Family, "must be ipv4, ipv6 or both")
	case s.Agree < 0 || s.Agree > len(s.Servers):
		return bad("agree", s.Agree, fmt.Sprintf("must be between 0 and the number of servers, %d", len(s.Servers)))
	case s.Parallel < 1 || s.Parallel > 64:
		return bad("parallel", s.Parallel, "must be between 1 and 64")
	case !(s.Spread >= 0 && s.Spread <= 1):
		return bad("spread", s.Spread, "must be between 0 and 1")
	}
	return nil
}

// Policy returns how the source's reports are applied.
func (s *Source) Policy() membership.Policy {
	return membership.Policy{Name: s.Name, EmptyTimes: s.EmptyTimes, EmptyOver: s.EmptyOver.Duration,
		LossShare: s.LossShare, LossTimes: s.LossTimes, LossOver: s.LossOver.Duration, Silent: s.Silent.Duration,
		Keep: s.Keep.Duration, GoneFor: s.GoneFor.Duration, Damping: membership.Damping{HalfLife: s.DampHalfLife.Duration,
			Suppress: s.DampSuppress, Reuse: s.DampReuse, Share: s.DampShare}}
}

func (s *Source) entry(w Worker) membership.Entry {
	e := membership.Entry{Name: w.Name, Addr: w.Addr, Weight: orDefault(w.Weight, 1), Priority: w.Priority, Cell: s.Cell,
		Since: w.StartedAtMs * int64(time.Millisecond)}
	if w.Cell != nil {
		e.Cell = *w.Cell
	}
	if w.Draining {
		e.Status = membership.Draining
	}
	return e
}

func (s *Source) resolver() dnssrv.Config {
	return dnssrv.Config{Service: s.Service, Servers: s.Servers, Family: families[s.Family], Agree: s.Agree,
		Timeout: s.Timeout.Duration, Deadline: s.Deadline.Duration, Parallel: s.Parallel, Lifetimes: s.lifetimes()}
}

func (s *Source) lifetimes() dnsrule.Lifetimes {
	return dnsrule.Lifetimes{Min: s.LifetimeMin.Duration, Max: s.LifetimeMax.Duration, NegMin: s.MissingMin.Duration,
		NegMax: s.MissingMax.Duration, RetryMin: s.RetryMin.Duration, RetryMax: s.RetryMax.Duration, Spread: s.Spread}
}

// SourcesOf returns the sources that a front uses, in order. Unless the file lists them, the
// front's own list comes first and, if registered is set, the workers registered in this router's
// replica come last. c may be nil.
func (c *Config) SourcesOf(front string, registered bool) []Source {
	var out []Source
	hasOwn, hasStore := false, !registered
	if c != nil {
		for _, s := range c.Sources {
			if slices.Contains(s.Fronts, front) {
				out = append(out, s)
				hasOwn, hasStore = hasOwn || s.Kind == KindOwn, hasStore || s.Kind == KindStore
			}
		}
	}
	if !hasOwn {
		out = append([]Source{{Name: Own, Kind: KindOwn, Fronts: []string{front}}}, out...)
	}
	if !hasStore {
		out = append(out, Source{Name: KindStore, Kind: KindStore, Fronts: []string{front}, Path: storesource.BackendsPath})
	}
	return out
}

// HasSourcesFor reports whether a front uses any source of the file.
func (c *Config) HasSourcesFor(front string) bool {
	return c != nil && slices.ContainsFunc(c.Sources, func(s Source) bool { return slices.Contains(s.Fronts, front) })
}

// SourceError returns an error for a key of the named source, for faults that only a front can
// find.
func (c *Config) SourceError(name, key string, value any, why string) error {
	for i := 0; c != nil && i < len(c.Sources); i++ {
		if c.Sources[i].Name == name {
			return c.file.ValueError(fmt.Sprintf("source[%d].%s", i, key), value, why)
		}
	}
	return fmt.Errorf("source %s: %s = %v: %s", name, key, value, why)
}
