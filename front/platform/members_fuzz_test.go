package platform

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"lichenshelf/logic"
	"lichenshelf/router"
)

// For any list, a worker that any instance of it marks as leaving is not returned as ready, and a
// malformed list returns only leaving workers.
func FuzzList(f *testing.F) {
	const line = `{"instanceId":"s-1","hostPort":"127.0.0.1:3000","zone":"z1","machineType":"reader","cell":1,"lifecycle":"in_service","weight":1.0,"startedAtMs":0}`
	for _, text := range []string{
		`{"generation":1,"reset":true,"instances":[` + line + `]}`, `{"generation":1,"reset":false,"instances":[` + line + `,` + line + `]}`,
		`{"instances":[{"instanceId":"s-1","lifecycle":"terminating"},` + line + `]}`, `{}`, `[]`, `null`, `{"generation":-1,"instances":null}`,
		`{"instances":[{"instanceId":"","lifecycle":"terminated"},{"instanceId":"s-2","lifecycle":"?"}]}`,
		`{"instances":[{"instanceId":"s-3","lifecycle":"in_service","hostPort":"x","startedAtMs":-9223372036854775808,"weight":-1e308,"cell":-5}]}`,
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var l List
		if json.Unmarshal(text, &l) != nil {
			return
		}
		var ids router.ServerIDs
		members, err := (&Config{names: map[string]map[string]int{}}).members(&ids, l, false)
		leaving := map[string]bool{}
		for _, in := range l.Instances {
			leaving[in.ID] = leaving[in.ID] || in.Lifecycle == "terminating" || in.Lifecycle == "terminated"
		}
		for _, m := range members {
			require.NotEmpty(t, m.Name)
			if m.Health == logic.Ready {
				require.NoError(t, err, "a ready worker of a malformed list")
				require.False(t, leaving[m.Name], "%s is listed as leaving", m.Name)
			}
		}
	})
}
