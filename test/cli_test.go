package test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// command runs the program with these arguments and returns its output.
func command(t *testing.T, args ...string) (string, error) {
	cmd := exec.Command(binary, args...)
	cmd.Dir = ".." // where the shipped files are
	cmd.Env = append(os.Environ(), "ROUTER_LISTEN=127.0.0.1:1", "ROUTER_DISCOVERY=127.0.0.1:2")
	out, err := cmd.CombinedOutput()
	return string(out), err
}

func TestCommandLine(t *testing.T) {
	out, err := command(t, "version")
	require.NoError(t, err)
	require.Contains(t, out, "lichenshelf")

	good := config(t, `{"generation":1,"reset":true,"instances":[]}`, connIdle)
	out, err = command(t, "check-config", "--config", good)
	require.NoError(t, err, out)
	require.Contains(t, out, "2 classes")
	require.Contains(t, out, "kind mixed: reads and writes")
	require.Contains(t, out, "load reports: none")
	require.NotContains(t, out, "warning:")
	fewSockets := filepath.Join(t.TempDir(), "odd.json")
	text, err := os.ReadFile(good)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(fewSockets, []byte(strings.Replace(string(text), `"sockets":1024`, `"sockets":10`, 1)), 0o600))
	out, err = command(t, "check-config", "--config", fewSockets)
	require.NoError(t, err, out)
	require.Contains(t, out, "warning: limits.sockets is 10")
	require.Contains(t, out, "model API: off")
	require.Contains(t, out, "store: off")

	bad := filepath.Join(t.TempDir(), "bad.json")
	require.NoError(t, os.WriteFile(bad, []byte(`{"settings":{"balancers":"many"}}`), 0o600))
	for _, args := range [][]string{{"check-config", "--config", bad}, {"check-config", "--modelapi", "nowhere.toml"},
		{"serve"}, {"serve", "--log-level", "loud"}, {"register", "--store", "127.0.0.1:1", "--name", "x", "--addr", "nowhere"}} {
		out, err = command(t, args...)
		require.Error(t, err, args)
		require.Contains(t, out, "lichenshelf ends", args)
	}
}
