package router

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Names come and go for ever; what is kept of them must not grow with that.
func TestReleasedNamesAreForgottenInTime(t *testing.T) {
	var ids ServerIDs
	first := ids.ID("w-first")
	ids.Release("w-first")
	ids.Release("w-first")
	ids.Release("never seen")
	require.Equal(t, first, ids.ID("w-first"), "it came back")
	for i := range 3 * keptIDs {
		name := fmt.Sprintf("worker number %d", i)
		ids.ID(name)
		ids.Release(name)
	}
	require.Equal(t, first, ids.byName["w-first"], "it is in use")
	require.LessOrEqual(t, len(ids.byName), keptIDs+1)
	require.Len(t, ids.taken, len(ids.byName))
}
