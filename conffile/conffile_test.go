package conffile

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

type sample struct {
	Name   string   `toml:"name"`
	Wait   Duration `toml:"wait"`
	Source []struct {
		Kind   string `toml:"kind"`
		Worker []struct {
			Addr string `toml:"addr"`
		} `toml:"worker"`
	} `toml:"source"`
}

func TestErrorsNameTheirPosition(t *testing.T) {
	path := filepath.Join(t.TempDir(), "x.toml")
	read := func(text string) (*File, error) {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return Read(path, &sample{})
	}
	for text, want := range map[string]string{
		"name = \"x\"\nwait = \"-3s\"\n": ":2: key wait: ",
		"name = \n":                      ":1: ",
		"\nname = 7\n":                   ": toml: line 2 (last key \"name\")",
		"[[source]]\nkind=\"a\"\n\n[[source]]\nkin = 1\n": ":5: unknown key source.kin",
		"[[source]]\n[[source.worker]]\nadr = 1\n":        ":3: unknown key source.worker.adr",
		"[else]\nx = 1\n": ": unknown key else",
	} {
		_, err := read(text)
		require.ErrorContains(t, err, path, text)
		require.ErrorContains(t, err, want, text)
	}
	f, err := read("[[source]]\nkind = \"a\"\n[[source]]\n[[source.worker]]\naddr = \"x\"\n[[source.worker]]\naddr = \"y\"\n")
	require.NoError(t, err)
	require.EqualError(t, f.ValueError("source[1].worker[1].addr", "y", "no port"), path+`:7: source[1].worker[1].addr = "y": no port`)
	require.EqualError(t, f.ValueError("source[1].kind", "", "is missing"), path+`:3: source[1].kind = "": is missing`)
	require.ErrorContains(t, f.ValueError("name", "x", "taken"), "name")
	_, err = Read(path+"-else", &sample{})
	require.ErrorContains(t, err, path+"-else")
}
