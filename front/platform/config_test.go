package platform

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"lichenshelf/logic"
	"lichenshelf/router"
)

func TestFlattenReturnsWireFormat(t *testing.T) {
	got, err := Flatten(json.RawMessage(`{"a":1,"b":{"c-ns":30000000000,"d":true},"list":["x y","z,1"],
		"empty":[],"objects":[{"n":"p"},{"n":null}],"nothing":null}`))
	require.NoError(t, err)
	require.Equal(t, map[string]string{"a": "1", "b.c-ns": "30000000000", "b.d": "true", "list": "x_y,z_1",
		"empty": "", "objects.count": "2", "objects.0.n": "p"}, got)
	_, err = Flatten(json.RawMessage(`[1]`))
	require.Error(t, err)
}

func testConfig() *Config {
	return &Config{names: map[string]map[string]int{"zone": {"a": 0, "b": 1}, "kind": {"m1": 0}, "class": {"chat": 0},
		"tenant": {"acme": 0}}}
}

func TestMembersRejectsListWithMalformedInstance(t *testing.T) {
	var ids router.ServerIDs
	good := Instance{ID: "s-5be2a07c", Addr: "127.0.0.1:3000", Zone: "b", Kind: "m1", Cell: 3, Lifecycle: "terminating", StartedAtMs: 5}
	members, err := testConfig().members(&ids, List{Instances: []Instance{good}}, false)
	require.NoError(t, err)
	require.Equal(t, logic.ServerID(0x5be2a07c), members[0].Server)
	require.Equal(t, logic.Draining, members[0].Health)
	require.Equal(t, logic.Time(5e6), members[0].Since)
	require.Equal(t, 1, members[0].Zone)
	for _, corrupt := range []func(*Instance){
		func(i *Instance) { i.ID = "" }, func(i *Instance) { i.Addr = "nowhere" },
		func(i *Instance) { i.Lifecycle = "odd" }, func(i *Instance) { i.StartedAtMs = -1 },
	} {
		bad := good
		corrupt(&bad)
		ready := good
		ready.ID, ready.Lifecycle = "s-01", "in_service"
		left, err := testConfig().members(&ids, List{Instances: []Instance{good, bad, ready}}, false)
		require.Error(t, err)
		require.NotEmpty(t, left)
		for _, m := range left {
			require.Equal(t, logic.Draining, m.Health, "leaving members are still returned")
		}
	}
	twice, err := testConfig().members(&ids, List{Instances: []Instance{good, good}}, false)
	require.NoError(t, err)
	require.Len(t, twice, 1)
	other := good
	other.Lifecycle = "in_service"
	left, err := testConfig().members(&ids, List{Instances: []Instance{other, good}}, false)
	require.ErrorContains(t, err, "s-5be2a07c is listed twice")
	require.Len(t, left, 1)
}

func TestFacts(t *testing.T) {
	var r logic.Request
	require.NoError(t, parseFacts(&r, "prefix=5c0f6e1a2b3d4c59,prompt_len=5120,prefix_len=2048,max_out=800,new=1"))
	require.Equal(t, logic.Request{Prefix: 0x5c0f6e1a2b3d4c59, PromptTokens: 5120, PrefixTokens: 2048, MaxTokens: 800}, r)
	for _, bad := range []string{"", "prompt_len=-1", "max_out=NaN", "prefix_len=1e99"} {
		require.Error(t, parseFacts(&r, bad), bad)
	}
}
