// Package platform is the thin front to the platform's protocol: the client
// server, the worker client, the discovery watch and the configuration.
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

// Config is what the platform tells a router.
type Config struct {
	Name      string
	Listen    string
	Discovery string
	Console   string // the operators' address; empty: no console
	Seed      uint64
	Cores     float64
	MemoryMB  int
	Sockets   int
	Known     List
	Settings  logic.Settings
	Reports   wire.Columns // the fields of the load reports that come with answers; nil: none do

	// ListsAsked tells that one discovery answers all routers that ask it, not an agent
	// of this machine; who has not asked for MustAsk then counts as told (0: not stated).
	ListsAsked bool
	MustAsk    time.Duration

	doubts   []string
	inFile   string                    // discovery as the file names it
	names    map[string]map[string]int // "class", "tenant", "zone", "kind": index by name
	ConnIdle time.Duration             // workers close idle connections at the latest then
	OpenCap  int
	Longest  time.Duration // the longest deadline of a class; 0 if none is stated
}

// List is discovery's list, or changes to it.
type List struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []Instance `json:"instances"`
}

// Instance is one line of a List.
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

// mostLongest is what the platform counts a longer deadline as when it kills a process.
const mostLongest = 3 * time.Second

// LeaveAfter is how long after SIGTERM a process has to give up what is in hand: the
// longest deadline, as the platform counts it. The kill comes 0.7 s later, a time in
// which what is held is let go of, and clients that come again for the rest of a stream
// find another router.
func (c *Config) LeaveAfter() time.Duration {
	longest := c.Longest
	if longest <= 0 {
		longest = mostLongest
	}
	return min(longest, mostLongest)
}

// takeOnly is how long after SIGTERM requests may be taken whose answers the kill
// would lose.
const takeOnly = 500 * time.Millisecond

// TakeFor is how long after SIGTERM clients may be taken that still come: to the end
// where what is cut off goes on elsewhere.
func (c *Config) TakeFor() time.Duration {
	if c.Settings.Resume {
		return c.LeaveAfter()
	}
	return min(takeOnly, c.LeaveAfter())
}

// ReadConfig reads the file alone.
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

// LoadConfig reads the file and variables that DEPLOY names; a variable that is
// set goes before the file.
func LoadConfig(path string, getenv func(string) string) (*Config, error) {
	c, err := ReadConfig(path)
	if err != nil {
		return nil, err
	}
	c.inFile = c.Discovery
	for name, to := range map[string]*string{
		"ROUTER_NAME": &c.Name, "ROUTER_LISTEN": &c.Listen, "ROUTER_DISCOVERY": &c.Discovery,
		"ROUTER_CONSOLE": &c.Console,
	} {
		if v := getenv(name); v != "" {
			*to = v
		}
	}
	if c.Listen == "" || c.Discovery == "" {
		return nil, errors.New("no address to listen on, or none of discovery")
	}
	return c, nil
}

// ParseConfig reads the configuration's JSON.
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
		return nil, errors.New("the file is empty")
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		return nil, fmt.Errorf("not the JSON expected: %w", err)
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
	if err := overZero(values, len(c.Settings.Classes)); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if c.Seed, err = strconv.ParseUint(raw.Seed, 16, 64); err != nil {
		c.Seed = router.Hash(raw.Seed)
	}
	c.names = map[string]map[string]int{
		"class": named(values, "categories"), "tenant": named(values, "realms"),
		"zone": listed(values["zones"]), "kind": listed(values["skus"]),
	}
	for i := range c.Settings.Classes {
		if ns, err := strconv.ParseFloat(values[fmt.Sprintf("categories.%d.hard-limit-ns", i)], 64); err == nil {
			c.Longest = max(c.Longest, time.Duration(ns))
		}
	}
	if ns, err := strconv.ParseFloat(values["bounds.conn-idle-ns"], 64); err == nil {
		c.ConnIdle = time.Duration(ns)
	}
	if n, err := strconv.Atoi(values["bounds.open-cap"]); err == nil {
		c.OpenCap = n
	}
	c.ListsAsked = values[keyMode] == modeAsked
	if ns, err := strconv.ParseFloat(values["safety.must-ask-in-ns"], 64); err == nil {
		c.MustAsk = time.Duration(ns)
	}
	c.doubts = findDoubts(values, c)
	return c, nil
}

// How the settings say whether lists are pushed.
const (
	keyMode    = "membership-mode"
	modePushed = "automatic"
	modeAsked  = "subscribe"
)

// overZero checks the bounds that must be over 0: attempts and each class's
// deadlines, where they are given.
func overZero(values map[string]string, classes int) error {
	keys := []string{"bounds.most-tries"}
	for i := range classes {
		keys = append(keys, fmt.Sprintf("categories.%d.target-ns", i), fmt.Sprintf("categories.%d.hard-limit-ns", i))
	}
	for _, k := range keys {
		v, ok := values[k]
		if !ok {
			continue // a key that must be there is checked as it is read
		}
		if f, err := strconv.ParseFloat(v, 64); err != nil || !(f > 0) {
			return fmt.Errorf("%s is %q, not over 0", k, v)
		}
	}
	return nil
}

// Flatten turns nested JSON into the wire's form of settings: a path for each
// value, plain lists joined with commas, lists of objects counted and numbered.
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

var unplain = strings.NewReplacer(" ", "_", ",", "_", "\n", "_", "\r", "_")

func plainText(v any) string { return unplain.Replace(fmt.Sprint(v)) }

func named(values map[string]string, list string) map[string]int {
	out := map[string]int{}
	n, _ := strconv.Atoi(values[list+".count"])
	for i := range n {
		out[values[fmt.Sprintf("%s.%d.name", list, i)]] = i
	}
	return out
}

func listed(joined string) map[string]int {
	out := map[string]int{}
	for i, name := range strings.Split(joined, ",") {
		out[name] = i
	}
	return out
}

// index finds a name; one that the settings lack stands behind all that they have.
func (c *Config) index(what, name string) int {
	names := c.names[what]
	if i, ok := names[unplain.Replace(name)]; ok {
		return i
	}
	return len(names)
}

// Number is the number of a zone ("zone") or a machine type ("kind") by its name;
// false if the settings have no such name.
func (c *Config) Number(what, name string) (int, bool) {
	i, ok := c.names[what][unplain.Replace(name)]
	return i, ok
}

// Names are those of "class", "tenant", "zone" or "kind", by their numbers.
func (c *Config) Names(what string) []string {
	out := make([]string, len(c.names[what]))
	for name, i := range c.names[what] {
		if i < len(out) {
			out[i] = name
		}
	}
	return out
}

// key turns a name from the wire into a number: its hexadecimal value, or a hash
// that is the same at every router.
func key(s string) uint64 {
	if s == "" {
		return 0
	}
	if v, err := strconv.ParseUint(s, 16, 64); err == nil {
		return v
	}
	return router.Hash(s)
}
