package platform

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// secondSettings is a settings text that differs from the first deployment's: load reports in
// answers, two kinds of workers, no accounts, no Retry-After, and streams that can't be resumed.
const secondSettings = `{"balancers":2,"my-zone":0,"zones":["east","west"],"skus":["prefill","decode"],
 "bounds":{"cancel":true,"retry-after":false,"most-tries":6,"connect-timeout-ns":250000000,"conn-idle-ns":15000000000},
 "categories":[
  {"name":"check","effect":"repeatable","points":2.0,"target-ns":1000000000,"hard-limit-ns":5000000000,"late-share":0.2},
  {"name":"label","effect":"once","points":3.0,"target-ns":1500000000,"hard-limit-ns":6000000000,"late-share":0.3}],
 "extra":{"aim-us-per-1000-prompt-tokens":[40000.0,40000.0],"token-aim-ns":[60000000,70000000],
  "kind-memory-tokens":[240000,150000],"role-by-kind":["read","write"],"release-ns":500000000,"read-in-place":false,
  "report-x0":"share of memory that is held","report-x1":"thousands of prompt tokens waiting to be read or fetched"},
 "safety":{"cold-share":0.26,"fall-multiple":2.5,"fall-ns":1500000000,"stop-sending-within-ns":1000000000,
  "warm-within-ns":14000000000},"load-info":{"columns":["x0","x1"],"how":"answers"}}`

// parseSettings parses the settings of secondSettings after replacing each pair of texts.
func parseSettings(t *testing.T, replace ...string) (*Config, error) {
	text := strings.NewReplacer(replace...).Replace(secondSettings)
	if len(replace) > 0 {
		require.NotEqual(t, secondSettings, text, "nothing was replaced")
	}
	return ParseConfig([]byte(`{"name":"n","seed":"1","known":{},"settings":` + text + `}`))
}

func TestDescribeExplainsSettings(t *testing.T) {
	c, err := parseSettings(t)
	require.NoError(t, err)
	text := strings.Join(c.Describe(), "\n")
	for _, want := range []string{"routers: 2, zones: east, west, attempts at most: 6", "kind prefill: reads, memory 240000 tokens",
		"kind decode: writes, memory 150000 tokens", "class check: worth 2, first token within 1s and 40ms",
		"class label: worth 3, first token within 1.5s and 40ms for each 1,000 prompt tokens, must never run twice",
		"x0 (share of memory held), x1 (thousands of tokens to read)", "accounts with a quota: none",
		"nothing new later than 1s", "26% of capacity at least, warm within 14s, over at 2.5 times for 1.5s",
		"let go of within 500ms", "streams that break: lost"} {
		require.Contains(t, text, want)
	}
	require.Empty(t, c.Warnings())
}

// Unlikely settings are accepted with a warning that names key and value; malformed settings are an
// error that names both.
func TestUnlikelySettings(t *testing.T) {
	for _, tc := range []struct {
		name    string
		replace []string
		warning string // part of the only warning; empty: none
		fault   string // part of the error; empty: accepted
	}{
		{"no readers", []string{`["read","write"]`, `["write","write"]`}, `settings.extra.role-by-kind is "write,write": no kind reads`, ""},
		{"no readers, but writers read", []string{`["read","write"]`, `["write","write"]`, `"read-in-place":false`, `"read-in-place":true`}, "", ""},
		{"no writers", []string{`["read","write"]`, `["read","read"]`}, `settings.extra.role-by-kind is "read,read": no kind writes`, ""},
		{"mixed servers alone", []string{`["read","write"]`, `["both","both"]`}, "", ""},
		{"an unknown role", []string{`["read","write"]`, `["read","think"]`}, "", `extra.role-by-kind is malformed: "think"`},
		{"empty list of accounts", []string{`"balancers":2`, `"balancers":2,"realms":[]`}, "", ""},
		{"one zone", []string{`["east","west"]`, `["east"]`}, "", ""},
		{"no routers", []string{`"balancers":2`, `"balancers":0`}, `settings.balancers is "0": counted as 1`, ""},
		{"a class with 0 points", []string{`"points":2.0`, `"points":0`}, `settings.categories.0.points is "0": class check`, ""},
		{"all classes with 0 points", []string{`"points":2.0`, `"points":0`, `"points":3.0`, `"points":0.0`}, `settings.categories.0.points is "0": no class`, ""},
		{"negative points", []string{`"points":2.0`, `"points":-2`}, "", `categories.0.points is malformed: "-2"`},
		{"an aim beyond the limit", []string{`"target-ns":1000000000`, `"target-ns":9000000000`}, `settings.categories.0.target-ns is "9000000000": past`, ""},
		{"reports by probing", []string{`"how":"answers"`, `"how":"probe"`}, `settings.load-info.how is "probe"`, ""},
		{"a field with an unknown meaning", []string{`"share of memory that is held"`, `"depth of the moat"`}, `settings.extra.report-x0 is "depth_of_the_moat"`, ""},
		{"a field without a meaning", []string{`"report-x0":"share of memory that is held",`, ``}, `settings.extra.report-x0 is absent`, ""},
		{"no reports", []string{`["x0","x1"]`, `[]`, `"answers"`, `"none"`}, "", ""},
		{"no cold share", []string{`"cold-share":0.26`, `"cold-share":0`}, `settings.safety.cold-share is "0"`, ""},
		{"no bound on attempts", []string{`"most-tries":6,`, ``}, "", "bounds.most-tries"},
		{"no attempts", []string{`"most-tries":6`, `"most-tries":0`}, "", `bounds.most-tries is "0"`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, err := parseSettings(t, tc.replace...)
			if tc.fault != "" {
				require.ErrorContains(t, err, tc.fault)
				return
			}
			require.NoError(t, err)
			require.NotEmpty(t, c.Describe())
			if tc.warning == "" {
				require.Empty(t, c.Warnings())
				return
			}
			require.Len(t, c.Warnings(), 1)
			require.Contains(t, c.Warnings()[0], tc.warning)
		})
	}
}

// Load reports are read only if the settings say that answers contain them, by the columns that the
// settings name.
func TestReportsFollowTheSettings(t *testing.T) {
	c, err := parseSettings(t)
	require.NoError(t, err)
	l, err := c.Reports.Parse("x1=3.2,x0=0.41")
	require.NoError(t, err)
	require.True(t, l.HasMemory && l.HasUnread && l.MemoryShare == 0.41 && l.UnreadToken == 3200)
	for _, how := range []string{`"none"`, `"probe"`} {
		c, err = parseSettings(t, `"answers"`, how)
		require.NoError(t, err)
		require.False(t, c.Reports.HasKnownField(), how)
	}
}

// Request names are forwarded to workers unchanged; names that are unsafe in a path are rejected.
func TestRequestNameFormats(t *testing.T) {
	c, err := parseSettings(t)
	require.NoError(t, err)
	front := NewFront(c, nil)
	for name, accepted := range map[string]bool{
		"9b1f03aa5c7e2d41": true, "9B1F-03AA_5c.7e": true, "x": true, strings.Repeat("a", 128): true,
		"": false, "a/b": false, "a b": false, "a%2fb": false, "ä": false, "..\r\nX: y": false, strings.Repeat("a", 129): false,
	} {
		var h fasthttp.RequestHeader
		h.Set(headerClass, "check")
		h.Set(headerWait, "1000")
		h.Set(headerFacts, "prompt_len=5")
		h.Set(headerName, name)
		_, err := front.request(&h)
		require.Equal(t, accepted, err == nil, fmt.Sprintf("%.40q: %v", name, err))
	}
}
