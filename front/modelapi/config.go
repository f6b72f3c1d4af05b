// Package modelapi is the second front: chat, embeddings and rerank over the
// public OpenAI and Cohere-style interfaces, routed by the same core.
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

// Config is the second front's file.
type Config struct {
	Listen    string   `toml:"listen"` // empty: the front is off
	MaxOpen   int      `toml:"max_open"`
	MaxBody   int      `toml:"max_body_bytes"`
	MaxBytes  int64    `toml:"max_bytes_in_hand"` // all bodies together
	MaxAnswer int      `toml:"max_answer_bytes"`
	Routers   int      `toml:"routers"` // how many share the backends
	Attempts  int      `toml:"attempts"`
	Connect   duration `toml:"connect_timeout"`
	ConnIdle  duration `toml:"backend_conn_idle"`
	Stall     duration `toml:"stream_stall"`
	RetryMost duration `toml:"retry_after_most"`
	OverShare float64  `toml:"over_share_worth"`

	Chat       Class `toml:"chat"`
	Embeddings Class `toml:"embeddings"`
	Rerank     Class `toml:"rerank"`

	Accounts []Account `toml:"account"`
	Backends []Backend `toml:"backend"`
}

// Class holds the times of one kind of request.
type Class struct {
	Aim        duration `toml:"aim"` // an answer, or its first event, is wanted within this
	AimPer1000 duration `toml:"aim_per_1000_tokens"`
	Deadline   duration `toml:"deadline"` // and is given up after this
	Points     float64  `toml:"points"`
}

// Account is a tenant, known by its key.
type Account struct {
	Name           string  `toml:"name"`
	Key            string  `toml:"key"`
	QuotaPerSecond float64 `toml:"quota_per_s"`
}

// Backend is a model server that the file names.
type Backend struct {
	Name     string `toml:"name"`
	Addr     string `toml:"addr"`
	Cell     int    `toml:"cell"`
	Draining bool   `toml:"draining"` // finishes what it has, gets nothing new
	// StartedAtMs is when it last started, in Unix milliseconds: a fresh one is
	// cold and gets little at first. 0 means long ago.
	StartedAtMs int64 `toml:"started_at_ms"`
}

// ConfigPath is the node of the store that may hold the text of a file like the
// front's, which goes before it.
const ConfigPath = "/config/modelapi"

type duration = conffile.Duration

// The classes, as the decisions number them.
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
		Connect: s(0.25), ConnIdle: s(30), Stall: s(30), RetryMost: s(2), OverShare: 0.1,
		Chat:       Class{Aim: s(3), AimPer1000: s(0.1), Deadline: s(60), Points: 1},
		Embeddings: Class{Aim: s(2), AimPer1000: s(0.1), Deadline: s(15), Points: 1},
		Rerank:     Class{Aim: s(3), AimPer1000: s(0.1), Deadline: s(30), Points: 1},
	}
}

// LoadConfig reads the file. What it leaves out has a default.
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

// drainGrace is the window in which sends to a leaving backend must have ceased.
const drainGrace = 250 * time.Millisecond

// Settings states the front's classes and backends to the decisions. A backend
// reads and answers whole, and every request may be repeated.
func (c *Config) Settings() logic.Settings {
	s := logic.Settings{
		Gateways: c.Routers, Kinds: []logic.Kind{{Role: logic.RoleBoth}},
		CancelAllowed: true, RetryAfter: true, Weights: true, MaxRetryAfter: c.RetryMost.Duration,
		MaxAttempts: c.Attempts, ConnectTimeout: c.Connect.Duration, OverShareWorth: c.OverShare,
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

// Entries turns the file's backends into what a source reports.
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
			e.Word = membership.Draining
		}
		if err := e.Check(); err != nil {
			return nil, err
		}
		out = append(out, e)
	}
	return out, nil
}

// ConfigName is what the configuration is called where it is published.
const ConfigName = "modelapi"

// CheckText looks at a text that is to be published, as strictly as at the file.
func CheckText(text []byte) error {
	c := defaults()
	if _, err := conffile.Parse(ConfigName, string(text), &c); err != nil {
		return err
	}
	if c.Listen != "" || len(c.Backends) > 0 {
		return fmt.Errorf("%s: listen and backend are each router's own, not published", ConfigName)
	}
	c.Listen = "127.0.0.1:1" // without one nothing else is looked at
	if err := c.check(); err != nil {
		return fmt.Errorf("%s: %w", ConfigName, err)
	}
	return nil
}

// Applied returns what a front that runs by c goes by once next is taken, and names the keys
// in which next differs that count from the next start on only. Quotas are shared by a fleet
// or not: without one, the decisions know the accounts by their number, which is fixed.
func (c *Config) Applied(next *Config, fleet bool) (now *Config, restart []string) {
	out := *c
	out.Chat, out.Embeddings, out.Rerank, out.Attempts = next.Chat, next.Embeddings, next.Rerank, next.Attempts
	if fleet {
		out.Accounts = next.Accounts
	}
	for key, differs := range map[string]bool{
		"max_open": out.MaxOpen != next.MaxOpen, "max_body_bytes": out.MaxBody != next.MaxBody, "max_bytes_in_hand": out.MaxBytes != next.MaxBytes,
		"max_answer_bytes": out.MaxAnswer != next.MaxAnswer, "routers": !fleet && out.Routers != next.Routers,
		"connect_timeout": out.Connect != next.Connect, "backend_conn_idle": out.ConnIdle != next.ConnIdle, "stream_stall": out.Stall != next.Stall,
		"retry_after_most": out.RetryMost != next.RetryMost, "over_share_worth": out.OverShare != next.OverShare,
		"account": !slices.Equal(out.Accounts, next.Accounts),
	} {
		if differs {
			restart = append(restart, key)
		}
	}
	slices.Sort(restart)
	return &out, restart
}

// Override takes over what the text of another file says, but for the address to
// listen on and the backends.
func (c *Config) Override(text string) error {
	next := *c
	if _, err := toml.Decode(text, &next); err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	next.Listen, next.Backends = c.Listen, c.Backends
	if err := next.check(); err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	*c = next
	return nil
}
