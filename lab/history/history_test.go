package history

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
)

func TestHistories(t *testing.T) {
	for name, c := range map[string]struct {
		play func(h *History)
		want porcupine.CheckResult
	}{
		"read what was written": {func(h *History) {
			h.Wrote(1, "a", "x", h.Now(), true)
			h.Read(2, "a", "x", h.Now())
			h.Read(2, "b", "0", h.Now())
		}, porcupine.Ok},
		"read a value from before a write": {func(h *History) {
			h.Wrote(1, "a", "x", h.Now(), true)
			h.Read(2, "a", "0", h.Now())
		}, porcupine.Illegal},
		"an unacknowledged write is read": {func(h *History) {
			h.Wrote(1, "a", "x", h.Now(), false)
			h.Wrote(1, "a", "y", h.Now(), true)
			h.Read(2, "a", "x", h.Now())
		}, porcupine.Ok},
		"an unacknowledged write is read, overwritten, and read again": {func(h *History) {
			h.Wrote(1, "a", "x", h.Now(), false)
			h.Read(2, "a", "x", h.Now())
			h.Wrote(1, "a", "y", h.Now(), true)
			h.Read(2, "a", "x", h.Now())
		}, porcupine.Illegal},
		"an unacknowledged write is never read": {func(h *History) {
			h.Wrote(1, "a", "x", h.Now(), false)
			h.Read(2, "a", "0", h.Now())
		}, porcupine.Ok},
		"read a value that was never written": {func(h *History) { h.Read(2, "a", "z", h.Now()) }, porcupine.Illegal},
	} {
		h := New()
		c.play(h)
		got, _ := h.Check(time.Minute)
		require.Equal(t, c.want, got, name)
	}
}
