package router

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// New names keep appearing, and what is kept of released ones must not grow without bound.
func TestReleasedNamesAreEvicted(t *testing.T) {
	var ids ServerIDs
	first := ids.ID("w-first")
	ids.Release("w-first")
	ids.Release("w-first")
	ids.Release("never seen")
	require.Equal(t, first, ids.ID("w-first"), "it returned")
	for i := range 3 * maxReleasedIDs {
		name := fmt.Sprintf("worker number %d", i)
		ids.ID(name)
		ids.Release(name)
	}
	require.Equal(t, first, ids.byName["w-first"], "it is in use")
	require.LessOrEqual(t, len(ids.byName), maxReleasedIDs+1)
	require.Len(t, ids.used, len(ids.byName))
}
