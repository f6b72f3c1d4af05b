package agent

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const good = `fleet = "f"
self = "a"
lease = "2s"
[[router]]
name = "a"
addr = "127.0.0.1:1"
[[router]]
name = "b"
addr = "127.0.0.1:2"
`

func load(t *testing.T, text string) (*Config, error) {
	path := filepath.Join(t.TempDir(), "fleet.toml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return LoadConfig(path)
}

func TestLoadConfig(t *testing.T) {
	c, err := load(t, good)
	require.NoError(t, err)
	require.Equal(t, "127.0.0.1:1", c.Listen)
	require.Equal(t, 2*time.Second, c.Lease.Duration)
	t.Setenv(SelfEnv, "b")
	c, err = load(t, good)
	require.NoError(t, err)
	require.Equal(t, "b", c.Self)
	require.Equal(t, "127.0.0.1:2", c.Listen)
}

func TestShippedFileIsOff(t *testing.T) {
	c, err := LoadConfig("../../deploy/fleet.toml")
	require.NoError(t, err)
	require.Empty(t, c.Fleet)
}

// Errors name the file, line, key and value.
func TestFaultyConfigs(t *testing.T) {
	for _, tc := range []struct{ old, new, want string }{
		{`self = "a"`, `self = "c"`, `fleet.toml:2: self = "c": none of the routers`},
		{`self = "a"`, ``, `self = "": none of the routers`},
		{`lease = "2s"`, `lease = "1ms"`, `fleet.toml:3: lease = 1ms: not from 100ms`},
		{`lease = "2s"`, `lease = "-2s"`, `lease`},
		{`lease = "2s"`, `floor = 0.0`, `fleet.toml:3: floor = 0: not over 0`},
		{`lease = "2s"`, `floor = nan`, `floor = NaN`},
		{`lease = "2s"`, `drift = 0.5`, `drift = 0.5`},
		{`lease = "2s"`, `fanout = 0`, `fleet.toml:3: fanout = 0`},
		{`lease = "2s"`, `digest = 100000`, `digest = 100000`},
		{`lease = "2s"`, `observers = -1`, `observers = -1`},
		{`lease = "2s"`, `repeats_per_s = -1.0`, `fleet.toml:3: repeats_per_s = -1: not from 0`},
		{`lease = "2s"`, `cold_per_s = nan`, `fleet.toml:3: cold_per_s = NaN: not from 0`},
		{`lease = "2s"`, `counts_every = "1ms"`, `fleet.toml:3: counts_every = 1ms: not 0`},
		{`lease = "2s"`, `straggler = {grace = "1ms"}`, `straggler.grace = 1ms: not 0`},
		{`lease = "2s"`, `straggler = {most_shut = 0.9}`, `straggler.most_shut = 0.9: not from 0`},
		{`lease = "2s"`, `trail_bytes = 7`, `fleet.toml:3: trail_bytes = 7: not from 1048576`},
		{`lease = "2s"`, `operator = "here"`, `fleet.toml:3: operator = "here"`},
		{`lease = "2s"`, `leese = "2s"`, `fleet.toml:3: unknown key leese`},
		{`name = "b"`, `name = "a"`, `fleet.toml:8: router[1].name = "a"`},
		{`name = "b"`, `name = ""`, `router[1].name = ""`},
		{`:2"`, `:1"`, `fleet.toml:9: router[1].addr = "127.0.0.1:1"`},
		{`"127.0.0.1:2"`, `"nowhere"`, `router[1].addr = "nowhere"`},
	} {
		text := strings.Replace(good, tc.old, tc.new, 1)
		require.NotEqual(t, good, text)
		_, err := load(t, text)
		require.ErrorContains(t, err, tc.want)
	}
}
