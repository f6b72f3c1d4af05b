package test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/prometheus/common/expfmt"
	names "github.com/prometheus/common/model"
	"github.com/stretchr/testify/require"
)

// The console answers a scrape within 1 s although 32 callers hold connections with unfinished
// requests, and its counters agree with the clients' answers.
func TestConsoleIsScraped(t *testing.T) {
	r, w := pair(t, nil)
	d := newDiscovery(t)
	d.addList(true, "in_service", r, w)
	addr, console := ownAddr(t), ownAddr(t)
	p := start(t, addr, []string{"ROUTER_LISTEN=" + addr, "ROUTER_NAME=n1", "ROUTER_CONSOLE=" + console, "ROUTER_DISCOVERY=" + d.Listener.Addr().String(),
		"ROUTER_CONFIG=" + config(t, `{"generation":0,"reset":true,"instances":[]}`, connIdle)}, "serve").waitReady()
	require.Equal(t, http.StatusBadRequest, p.ask("nothing", newID(), patience).status)
	const asked = 5
	for range asked {
		require.Equal(t, http.StatusOK, p.ask("query", newID(), patience).status)
	}
	for range 32 {
		c, err := net.Dial("tcp", console)
		require.NoError(t, err)
		defer c.Close()
		_, err = c.Write([]byte("GET /v1/met"))
		require.NoError(t, err)
	}
	from := time.Now()
	resp, err := http.Get("http://" + console + "/v1/metrics")
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusOK, resp.StatusCode)
	parser := expfmt.NewTextParser(names.UTF8Validation)
	all, err := parser.TextToMetricFamilies(resp.Body)
	require.NoError(t, err)
	require.Less(t, time.Since(from), time.Second)
	by := func(name, value string) float64 {
		for _, m := range all[name].GetMetric() {
			if len(m.GetLabel()) == 0 && value == "" || len(m.GetLabel()) == 1 && m.GetLabel()[0].GetValue() == value {
				return m.GetCounter().GetValue() + m.GetGauge().GetValue()
			}
		}
		return 0
	}
	require.EqualValues(t, asked, by("lichenshelf_answers_total", "served"))
	require.EqualValues(t, 2*asked, by("lichenshelf_attempts_sent_total", ""))
	require.EqualValues(t, asked, by("lichenshelf_attempts_total", "prompt_read"))
	require.EqualValues(t, 1, by("lichenshelf_calls_answered_total", "400"))
	require.Zero(t, by("lichenshelf_rule_violations_total", ""))
	require.Positive(t, by("process_open_fds", ""))
	require.Positive(t, by("lichenshelf_client_connections", ""))
}
