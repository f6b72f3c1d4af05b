package sources

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func load(t *testing.T, text string) (*Config, error) {
	path := filepath.Join(t.TempDir(), "sources.toml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return LoadConfig(path)
}

const dnsText = "[[source]]\nname = \"d\"\nkind = \"dns\"\nservice = \"_c._tcp.test\"\nservers = [\"127.0.0.1:53\"]\n"

const zkText = "[[source]]\nname = \"z\"\nkind = \"zookeeper\"\npath = \"/w\"\nservers = [\"h:1\"]\n"

func TestFaultsNameFileKeyAndValue(t *testing.T) {
	for text, want := range map[string]string{
		"[[source]]\nkind = \"list\"\n":                                                   `sources.toml:1: source[0].name = "": must be set and unique`,
		dnsText + dnsText:                                                                 `sources.toml:7: source[1].name = "d": must be set and unique among the sources`,
		"[[source]]\nname = \"x\"\nkind = \"consul\"\n":                                   `sources.toml:3: source[0].kind = "consul": must be dns, list, store, zookeeper or own`,
		"[[source]]\nname = \"own\"\nkind = \"list\"\n":                                   `name = "own"`,
		dnsText + "fronts = [\"else\"]\n":                                                 `sources.toml:6: source[0].fronts = "else": must be platform or modelapi`,
		dnsText + "fronts = [\"platform\"]\n":                                             `source[0].machine_type = "": must be set for the platform front`,
		dnsText + "loss_share = 2.0\n":                                                    `sources.toml:6: source[0].loss_share = 2: must be between 0 and 1`,
		dnsText + "agree = 2\n":                                                           `sources.toml:6: source[0].agree = 2: must be between 0 and the number of servers, 1`,
		dnsText + "family = \"ipx\"\n":                                                    `source[0].family = "ipx"`,
		dnsText + "spread = 1.5\n":                                                        `source[0].spread = 1.5`,
		dnsText + "parallel = 100\n":                                                      `source[0].parallel = 100`,
		dnsText + "lifetime_min = \"10m\"\n":                                              `source[0].lifetime_max = 5m0s: is less than 10m0s`,
		dnsText + "damp_half_life = \"1m\"\ndamp_reuse = 9.0\n":                           `sources.toml:7: source[0].damp_reuse = 9: must be above 0 and below`,
		dnsText + "keep = \"-1s\"\n":                                                      `keep`,
		dnsText + "kep = \"1s\"\n":                                                        `sources.toml:6: unknown key source.kep`,
		"[[source]]\nname=\"d\"\nkind=\"dns\"\nservice=\"a\"\n":                           `source[0].servers = "": names no server`,
		"[[source]]\nname=\"d\"\nkind=\"dns\"\nservice=\".\"\n":                           `source[0].service = "."`,
		"[[source]]\nname=\"d\"\nkind=\"dns\"\nservice=\"a\"\nservers=[\"ns.test:53\"]\n": `sources.toml:5: source[0].servers = "ns.test:53"`,
		"[[source]]\nname=\"l\"\nkind=\"list\"\n[[source.worker]]\naddr=\"h\"\n":          `sources.toml:5: source[0].worker[0].addr = "h"`,
		"[[source]]\nname=\"s\"\nkind=\"store\"\npath=\"a/b\"\n":                          `sources.toml:4: source[0].path = "a/b"`,
		"[[source]]\nname=\"s\"\nkind=\"store\"\napi=[\"h\"]\n":                           `source[0].api = "h"`,
		zkText + "format = \"xml\"\n":                                                     `sources.toml:6: source[0].format = "xml": must be json, serverset or curator`,
		zkText + "session = \"10ms\"\n":                                                   `source[0].session = 10ms: must be between`,
		zkText + "resync = \"1ms\"\n":                                                     `source[0].resync = 1ms`,
		zkText + "parallel = 65\n":                                                        `source[0].parallel = 65`,
		zkText + "path = \"/a\"\n":                                                        `path`,
		"[[source]]\nname=\"z\"\nkind=\"zookeeper\"\nservers=[\"h:1\"]\n":                 `source[0].path = ""`,
		"[[source]]\nname=\"z\"\nkind=\"zookeeper\"\npath=\"/a\"\nservers=[\"h\"]\n":      `source[0].servers = "h"`,
		"[[source]]\nname=\"z\"\nkind=\"zookeeper\"\npath=\"/a\"\n":                       `source[0].servers = ""`,
		"[[source]]\nname=\"a\"\nkind=\"own\"\n[[source]]\nname=\"b\"\nkind=\"own\"\n":    `sources.toml:6: source[1].kind = "own": the front modelapi has only one`,
	} {
		_, err := load(t, text)
		require.ErrorContains(t, err, want, text)
	}
}

func TestSourcesOfAFront(t *testing.T) {
	var none *Config
	names := func(list []Source) (out []string) {
		for _, s := range list {
			out = append(out, s.Name)
		}
		return out
	}
	require.Equal(t, []string{"own"}, names(none.SourcesOf(ModelAPI, false)))
	require.Equal(t, []string{"own", "store"}, names(none.SourcesOf(ModelAPI, true)))
	require.False(t, none.HasSourcesFor(Platform))
	c, err := load(t, dnsText+"[[source]]\nname = \"mine\"\nkind = \"own\"\n[[source]]\nname = \"reg\"\nkind = \"store\"\nfronts = [\"modelapi\", \"platform\"]\nmachine_type = \"m\"\n")
	require.NoError(t, err)
	require.Equal(t, []string{"d", "mine", "reg"}, names(c.SourcesOf(ModelAPI, true)))
	require.Equal(t, []string{"own", "reg"}, names(c.SourcesOf(Platform, false)))
	require.True(t, c.HasSourcesFor(Platform))
	require.Equal(t, 30*time.Second, c.Sources[0].EmptyOver.Duration, "losses in DNS answers are held")
	require.Zero(t, c.Sources[2].EmptyTimes)
	shipped, err := LoadConfig("../../deploy/sources.toml")
	require.NoError(t, err)
	require.Empty(t, shipped.Sources)
}
