package downstream

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// In all states and for all reasons, a complete request is never ended, a partial one is answered,
// and no connection is closed while its client may still be reading an answer, unless a place or a
// descriptor is needed at once.
func TestDecideEndInAllStates(t *testing.T) {
	reasons := []endReason{forRoom, forRoomNow, forDescriptor, forStop, forExit}
	for _, p := range []phase{lingering, waiting, reading, serving} {
		for _, ending := range []bool{false, true} {
			for _, used := range []bool{false, true} {
				for _, age := range []time.Duration{0, descriptorGrace - 1, descriptorGrace, newConnGrace - 1, newConnGrace, time.Hour} {
					for _, why := range reasons {
						got := decideEnd(connState{p, ending, used, age}, why)
						switch {
						case p == serving:
							require.Equal(t, keep, got)
						case ending || p == lingering:
							require.Contains(t, []any{keep, closeNow}, got)
							require.Equal(t, why == forRoomNow || why == forDescriptor, got == closeNow)
						case p == reading:
							require.NotContains(t, []any{shutIdle, closeNow}, got)
							require.Equal(t, why == forStop || why == forDescriptor && age < descriptorGrace, got == keep)
						default:
							fresh := why == forStop && age < newConnGrace || why == forDescriptor && age < descriptorGrace
							require.Equal(t, fresh && !used, got == keep)
							require.Contains(t, []any{keep, shutIdle}, got)
						}
					}
				}
			}
		}
	}
}
