// Package platform implements the front that speaks the platform's protocol: the server for
// clients, the client for workers, the discovery watch and the configuration.
package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"lichenshelf/conffile"
	"lichenshelf/logic"
	"lichenshelf/router"
	"lichenshelf/wire"
)

// Config is the configuration that the platform gives to a router.
type Config struct {
	Name      string
	Listen    string
	Discovery string
	Console   string // address of the operators' console; empty: no console
	Seed      uint64
	Cores     float64
	MemoryMB  int
	Sockets   int
	Known     List // workers known at the start, before discovery answers
	Settings  logic.Settings
	Reports   wire.Columns // fields of the load reports in answers; nil: answers have no load reports

	// ListsPulled says that a central discovery service answers requests of all routers, instead of
	// an agent on this machine that pushes lists. Then the platform assumes that a router knows the
	// current list even if it has not asked for MustAsk (0: not stated).
	ListsPulled bool
	MustAsk     time.Duration

	warnings        []string
	discoveryInFile string                    // discovery address in the file
	names           map[string]map[string]int // "class", "tenant", "zone", "kind": index by name
	ConnIdle        time.Duration             // workers close connections that are idle for this long
	OpenCap         int
	LongestDeadline time.Duration // the longest deadline of any class; 0: not stated
}

// List is a list of workers from discovery, or changes to it.
type List struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []Instance `json:"instances"`
}

// Instance is one worker of a List.
type Instance struct {
	ID          string  `json:"instanceId"`
	Addr        string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	Kind        string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
}

// maxCountedDeadline caps the deadline that the platform waits for before it kills a process.
const maxCountedDeadline = 3 * time.Second

// CancelAfter returns the time after SIGTERM at which a process cancels its open requests: the
// longest deadline, capped as the platform caps it. The platform kills the process 0.7 s later.
// In that time held state is released, and clients that ask for the rest of a stream are
// served by another router.
func (c *Config) CancelAfter() time.Duration {
	longest := c.LongestDeadline
	if longest <= 0 {
		longest = maxCountedDeadline
	}
	return min(longest, maxCountedDeadline)
}

// acceptUnresumable is the time after SIGTERM during which requests are accepted whose answers
// would be lost if the process is killed.
const acceptUnresumable = 500 * time.Millisecond

// AcceptFor returns how long after SIGTERM new requests are accepted: up to CancelAfter if
// interrupted streams can be resumed at another router, shorter otherwise.
func (c *Config) AcceptFor() time.Duration {
	if c.Settings.Resume {
		return c.CancelAfter()
	}
	return min(acceptUnresumable, c.CancelAfter())
}

// ReadConfig reads the configuration file, without the environment variables.
func ReadConfig(path string) (*Config, error) {
	text, err := conffile.ReadText(path)
	if err != nil {
		return nil, err
	}
	c, err := ParseConfig(text)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}

// LoadConfig reads the configuration file and the environment variables ROUTER_NAME,
// ROUTER_LISTEN, ROUTER_DISCOVERY and ROUTER_CONSOLE, which override the file.
func LoadConfig(path string, getenv func(string) string) (*Config, error) {
	c, err := ReadConfig(path)
	if err != nil {
		return nil, err
	}
	c.discoveryInFile = c.Discovery
	for name, to := range map[string]*string{
		"ROUTER_NAME": &c.Name, "ROUTER_LISTEN": &c.Listen, "ROUTER_DISCOVERY": &c.Discovery,
		"ROUTER_CONSOLE": &c.Console,
	} {
		if v := getenv(name); v != "" {
			*to = v
		}
	}
	if c.Listen == "" || c.Discovery == "" {
		return nil, errors.New("listen address or discovery address is not set")
	}
	return c, nil
}

// ParseConfig parses the JSON text of a configuration.
func ParseConfig(text []byte) (*Config, error) {
	var raw struct {
		Name      string `json:"name"`
		Listen    string `json:"listen"`
		Discovery string `json:"discovery"`
		Console   string `json:"console"`
		Seed      string `json:"seed"`
		Limits    struct {
			Cores    float64 `json:"cores"`
			MemoryMB int     `json:"memory_mb"`
			Sockets  int     `json:"sockets"`
		} `json:"limits"`
		Known    List            `json:"known"`
		Settings json.RawMessage `json:"settings"`
	}
	if len(bytes.TrimSpace(text)) == 0 {
		return nil, errors.New("file is empty")
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		return nil, fmt.Errorf("parse JSON: %w", err)
	}
	values, err := Flatten(raw.Settings)
	if err != nil {
		return nil, err
	}
	var lines strings.Builder
	for path, v := range values {
		fmt.Fprintf(&lines, "%s=%s\n", path, v)
	}
	c := &Config{Name: raw.Name, Listen: raw.Listen, Discovery: raw.Discovery, Console: raw.Console, Known: raw.Known,
		Cores: raw.Limits.Cores, MemoryMB: raw.Limits.MemoryMB, Sockets: raw.Limits.Sockets}
	if c.Settings, c.Reports, err = wire.ParseSettings(lines.String()); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if values["load-info.how"] != "answers" {
		c.Reports = nil
	}
	if err := checkPositive(values, len(c.Settings.Classes)); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if c.Seed, err = strconv.ParseUint(raw.Seed, 16, 64); err != nil {
		c.Seed = router.Hash(raw.Seed)
	}
	c.names = map[string]map[string]int{
		"class": indexByName(values, "categories"), "tenant": indexByName(values, "realms"),
		"zone": indexList(values["zones"]), "kind": indexList(values["skus"]),
	}
	for i := range c.Settings.Classes {
		if ns, err := strconv.ParseFloat(values[fmt.Sprintf("categories.%d.hard-limit-ns", i)], 64); err == nil {
			c.LongestDeadline = max(c.LongestDeadline, time.Duration(ns))
		}
	}
	if ns, err := strconv.ParseFloat(values["bounds.conn-idle-ns"], 64); err == nil {
		c.ConnIdle = time.Duration(ns)
	}
	if n, err := strconv.Atoi(values["bounds.open-cap"]); err == nil {
		c.OpenCap = n
	}
	c.ListsPulled = values[keyMembershipMode] == modePulled
	if ns, err := strconv.ParseFloat(values["safety.must-ask-in-ns"], 64); err == nil {
		c.MustAsk = time.Duration(ns)
	}
	c.warnings = findWarnings(values, c)
	return c, nil
}

// The setting that says whether worker lists are pushed or pulled, and its values.
const (
	keyMembershipMode = "membership-mode"
	modePushed        = "automatic"
	modePulled        = "subscribe"
)

// checkPositive checks the settings that must be greater than 0 if they are given: the maximum
// number of attempts and the deadlines of each class.
func checkPositive(values map[string]string, classes int) error {
	keys := []string{"bounds.most-tries"}
	for i := range classes {
		keys = append(keys, fmt.Sprintf("categories.%d.target-ns", i), fmt.Sprintf("categories.%d.hard-limit-ns", i))
	}
	for _, k := range keys {
		v, ok := values[k]
		if !ok {
			continue // required keys are checked where they are parsed
		}
		if f, err := strconv.ParseFloat(v, 64); err != nil || !(f > 0) {
			return fmt.Errorf("%s is %q: must be greater than 0", k, v)
		}
	}
	return nil
}

// Flatten converts nested JSON to the flat form of settings on the simulator's wire: one path per
// value, lists of scalars joined by commas, lists of objects with a count and numbered paths.
func Flatten(text json.RawMessage) (map[string]string, error) {
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	var v map[string]any
	if err := d.Decode(&v); err != nil {
		return nil, fmt.Errorf("settings are not a JSON object: %w", err)
	}
	out := map[string]string{}
	flatten(out, "", v)
	return out, nil
}

func flatten(out map[string]string, path string, v any) {
	at := func(key string) string {
		if path == "" {
			return key
		}
		return path + "." + key
	}
	switch v := v.(type) {
	case nil:
	case map[string]any:
		for k, item := range v {
			flatten(out, at(k), item)
		}
	case []any:
		plain := make([]string, len(v))
		for i, item := range v {
			if _, ok := item.(map[string]any); ok {
				out[at("count")] = strconv.Itoa(len(v))
				flatten(out, at(strconv.Itoa(i)), item)
				continue
			}
			plain[i] = plainText(item)
		}
		if _, objects := out[at("count")]; !objects {
			out[path] = strings.Join(plain, ",")
		}
	default:
		out[path] = plainText(v)
	}
}

var flatReplacer = strings.NewReplacer(" ", "_", ",", "_", "\n", "_", "\r", "_")

func plainText(v any) string { return flatReplacer.Replace(fmt.Sprint(v)) }

func indexByName(values map[string]string, list string) map[string]int {
	out := map[string]int{}
	n, _ := strconv.Atoi(values[list+".count"])
	for i := range n {
		out[values[fmt.Sprintf("%s.%d.name", list, i)]] = i
	}
	return out
}

func indexList(joined string) map[string]int {
	out := map[string]int{}
	for i, name := range strings.Split(joined, ",") {
		out[name] = i
	}
	return out
}

// index returns the number of a name. Names that the settings don't have all get the number after
// the last known one.
func (c *Config) index(table, name string) int {
	names := c.names[table]
	if i, ok := names[flatReplacer.Replace(name)]; ok {
		return i
	}
	return len(names)
}

// Number returns the number of a zone (table "zone") or machine type (table "kind"), and false if
// the settings don't have the name.
func (c *Config) Number(table, name string) (int, bool) {
	i, ok := c.names[table][flatReplacer.Replace(name)]
	return i, ok
}

// Names returns the names in a table ("class", "tenant", "zone" or "kind") by number.
func (c *Config) Names(table string) []string {
	out := make([]string, len(c.names[table]))
	for name, i := range c.names[table] {
		if i < len(out) {
			out[i] = name
		}
	}
	return out
}

// numericKey converts a name from the wire to a number: its hexadecimal value, or else a hash that
// is the same at every router.
func numericKey(s string) uint64 {
	if s == "" {
		return 0
	}
	if v, err := strconv.ParseUint(s, 16, 64); err == nil {
		return v
	}
	return router.Hash(s)
}
