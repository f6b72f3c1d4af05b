// Package modelapi implements the front that serves chat, embeddings and rerank requests over the
// public OpenAI and Cohere-style interfaces, routed by the same core as the platform's.
package modelapi

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"time"

	"github.com/BurntSushi/toml"

	"lichenshelf/conffile"
	"lichenshelf/discovery/membership"
	"lichenshelf/logic"
)

// Config is the configuration file of the model API front.
type Config struct {
	Listen         string   `toml:"listen"` // empty: the front is off
	MaxOpen        int      `toml:"max_open"`
	MaxBody        int      `toml:"max_body_bytes"`
	MaxBytes       int64    `toml:"max_bytes_in_hand"` // of all open requests together
	MaxAnswer      int      `toml:"max_answer_bytes"`
	Routers        int      `toml:"routers"` // number of routers that share the backends
	Attempts       int      `toml:"attempts"`
	ConnectTimeout duration `toml:"connect_timeout"`
	ConnIdle       duration `toml:"backend_conn_idle"`
	StreamStall    duration `toml:"stream_stall"`
	MaxRetryAfter  duration `toml:"retry_after_most"`
	OverShare      float64  `toml:"over_share_worth"`

	Chat       Class `toml:"chat"`
	Embeddings Class `toml:"embeddings"`
	Rerank     Class `toml:"rerank"`

	Accounts []Account `toml:"account"`
	Backends []Backend `toml:"backend"`
}

// Class holds the time limits and points of one kind of request.
type Class struct {
	Aim        duration `toml:"aim"` // target time to the answer, or to its first event
	AimPer1000 duration `toml:"aim_per_1000_tokens"`
	Deadline   duration `toml:"deadline"` // a request is cancelled after this
	Points     float64  `toml:"points"`
}

// Account is a tenant, identified by its API key.
type Account struct {
	Name           string  `toml:"name"`
	Key            string  `toml:"key"`
	QuotaPerSecond float64 `toml:"quota_per_s"`
}

// Backend is a model server listed in the file.
type Backend struct {
	Name     string `toml:"name"`
	Addr     string `toml:"addr"`
	Cell     int    `toml:"cell"`
	Draining bool   `toml:"draining"` // completes open requests and gets no new ones
	// StartedAtMs is the time of its last start, in Unix milliseconds. A backend that started
	// recently is cold and gets few requests at first. 0 means long ago.
	StartedAtMs int64 `toml:"started_at_ms"`
}

// ConfigPath is the store node that may contain a configuration text in the format of the file; its
// values override the file's.
const ConfigPath = "/config/modelapi"

type duration = conffile.Duration

// The class numbers, as used by the routing logic.
const (
	classChat = iota
	classEmbeddings
	classRerank
)

func defaults() Config {
	s := func(seconds float64) duration {
		return duration{Duration: time.Duration(seconds * float64(time.Second))}
	}
	return Config{
		MaxOpen: 128, MaxBody: 1 << 20, MaxBytes: 64 << 20, MaxAnswer: 8 << 20, Routers: 1, Attempts: 4,
		ConnectTimeout: s(0.25), ConnIdle: s(30), StreamStall: s(30), MaxRetryAfter: s(2), OverShare: 0.1,
		Chat:       Class{Aim: s(3), AimPer1000: s(0.1), Deadline: s(60), Points: 1},
		Embeddings: Class{Aim: s(2), AimPer1000: s(0.1), Deadline: s(15), Points: 1},
		Rerank:     Class{Aim: s(3), AimPer1000: s(0.1), Deadline: s(30), Points: 1},
	}
}

// LoadConfig reads the configuration file. Keys that it does not set have defaults.
func LoadConfig(path string) (*Config, error) {
	c := defaults()
	if _, err := conffile.Read(path, &c); err != nil {
		return nil, err
	}
	if err := c.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &c, nil
}

func (c *Config) check() error {
	if c.Listen == "" {
		return nil
	}
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	for name, n := range map[string]int{"max_open": c.MaxOpen, "max_body_bytes": c.MaxBody,
		"max_answer_bytes": c.MaxAnswer, "max_bytes_in_hand": int(c.MaxBytes), "routers": c.Routers, "attempts": c.Attempts} {
		if n < 1 {
			return fmt.Errorf("%s must be 1 or more", name)
		}
	}
	for _, cl := range []Class{c.Chat, c.Embeddings, c.Rerank} {
		if cl.Aim.Duration == 0 || cl.Deadline.Duration < cl.Aim.Duration {
			return errors.New("a class needs an aim, and a deadline that is no shorter")
		}
	}
	keys := map[string]bool{}
	for _, a := range c.Accounts {
		if a.Name == "" || a.Key == "" || keys[a.Key] {
			return fmt.Errorf("account %q needs a name and a key of its own", a.Name)
		}
		keys[a.Key] = true
	}
	_, err := Entries(c.Backends)
	return err
}

// drainGrace is the time after which no more requests may be sent to a leaving backend.
const drainGrace = 250 * time.Millisecond

// Settings returns the settings of the routing logic for this front. Each backend both reads
// prompts and writes answers, and every request may be repeated.
func (c *Config) Settings() logic.Settings {
	s := logic.Settings{
		Gateways: c.Routers, Kinds: []logic.Kind{{Role: logic.RoleBoth}},
		CancelAllowed: true, RetryAfter: true, Weights: true, MaxRetryAfter: c.MaxRetryAfter.Duration,
		MaxAttempts: c.Attempts, ConnectTimeout: c.ConnectTimeout.Duration, OverShareWorth: c.OverShare,
		DrainGrace: drainGrace, ColdShare: 0.27, WarmWithin: 14 * time.Second,
		FallMultiple: 2.5, FallAfter: 1500 * time.Millisecond, ReleaseWithin: 300 * time.Millisecond,
	}
	for _, cl := range []Class{c.Chat, c.Embeddings, c.Rerank} {
		s.Classes = append(s.Classes, logic.Class{Aim: cl.Aim.Duration, AimPer1000: cl.AimPer1000.Duration,
			Points: cl.Points, Effect: logic.EffectRepeatable})
	}
	for _, a := range c.Accounts {
		s.Tenants = append(s.Tenants, logic.Tenant{QuotaPerSecond: a.QuotaPerSecond})
	}
	return s
}

// Entries converts the backends of the file to the entries that a source reports.
func Entries(backends []Backend) ([]membership.Entry, error) {
	names := map[string]bool{}
	out := make([]membership.Entry, 0, len(backends))
	for _, b := range backends {
		if b.Name == "" || names[b.Name] {
			return nil, fmt.Errorf("backend %q needs a name of its own", b.Name)
		}
		names[b.Name] = true
		e := membership.Entry{Name: b.Name, Addr: b.Addr, Weight: 1, Cell: b.Cell,
			Since: membership.LongAgo}
		if b.StartedAtMs != 0 {
			e.Since = b.StartedAtMs * int64(time.Millisecond)
		}
		if b.Draining {
			e.Status = membership.Draining
		}
		if err := e.Check(); err != nil {
			return nil, err
		}
		out = append(out, e)
	}
	return out, nil
}

// ConfigName is the name under which the configuration is published.
const ConfigName = "modelapi"

// CheckText validates a configuration text before it is published, as strictly as the file.
func CheckText(text []byte) error {
	c := defaults()
	if _, err := conffile.Parse(ConfigName, string(text), &c); err != nil {
		return err
	}
	if c.Listen != "" || len(c.Backends) > 0 {
		return fmt.Errorf("%s: listen and backend are each router's own, not published", ConfigName)
	}
	c.Listen = "127.0.0.1:1" // without an address, check skips everything else
	if err := c.check(); err != nil {
		return fmt.Errorf("%s: %w", ConfigName, err)
	}
	return nil
}

// Applied returns the configuration in effect after a front that runs with c takes over next, and
// the keys whose changes need a restart. Changes to accounts apply at once only in a fleet, which
// shares the quotas; otherwise the routing logic identifies accounts by number, which is fixed.
func (c *Config) Applied(next *Config, fleet bool) (now *Config, restart []string) {
	out := *c
	out.Chat, out.Embeddings, out.Rerank, out.Attempts = next.Chat, next.Embeddings, next.Rerank, next.Attempts
	if fleet {
		out.Accounts = next.Accounts
	}
	for key, differs := range map[string]bool{
		"max_open": out.MaxOpen != next.MaxOpen, "max_body_bytes": out.MaxBody != next.MaxBody, "max_bytes_in_hand": out.MaxBytes != next.MaxBytes,
		"max_answer_bytes": out.MaxAnswer != next.MaxAnswer, "routers": !fleet && out.Routers != next.Routers,
		"connect_timeout": out.ConnectTimeout != next.ConnectTimeout, "backend_conn_idle": out.ConnIdle != next.ConnIdle, "stream_stall": out.StreamStall != next.StreamStall,
		"retry_after_most": out.MaxRetryAfter != next.MaxRetryAfter, "over_share_worth": out.OverShare != next.OverShare,
		"account": !slices.Equal(out.Accounts, next.Accounts),
	} {
		if differs {
			restart = append(restart, key)
		}
	}
	slices.Sort(restart)
	return &out, restart
}

// Override applies the text of another configuration file over c, except for the listen address and
// the backends. Accounts in the text replace all of c's; without any, c's remain. Copies of c that
// were made before don't change.
func (c *Config) Override(text string) error {
	next := *c
	// The decoder would write into the slices' arrays, which copies of c share, and would keep the
	// fields that the text does not set.
	next.Accounts, next.Backends = nil, nil
	meta, err := toml.Decode(text, &next)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	if !meta.IsDefined("account") {
		next.Accounts = c.Accounts
	}
	next.Listen, next.Backends = c.Listen, c.Backends
	if err := next.check(); err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	*c = next
	return nil
}
