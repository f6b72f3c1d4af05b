package version

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// For any sequence of versions, acknowledgements and restarts, versions only increase, are never
// less than the acknowledged ones, and a number identifies one vector forever.
func TestVersionsOnlyGoUp(t *testing.T) {
	parts := []string{"config", "hand", "workers/dns"}
	rapid.Check(t, func(t *rapid.T) {
		k := New(nil)
		named := map[uint64]Vector{}
		acknowledged := Vector{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			part := rapid.SampledFrom(parts).Draw(t, "part")
			before := k.Held()
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				k.Acknowledge(part)
				acknowledged[part] = max(acknowledged[part], k.Held()[part])
			case 1:
				acked := k.Acked()
				k = New(acked) // restarted with the acknowledged versions
				clear(named)
				before = Vector{}
				require.Equal(t, len(k.Missing()) > 0, sum(acked) > 0)
			default:
				v := rapid.Uint64Range(0, 9).Draw(t, "version")
				changed, err := k.Take(part, v)
				if err != nil {
					require.ErrorIs(t, err, ErrOlder)
					require.True(t, v < before[part] || v < acknowledged[part])
					require.Equal(t, before, k.Held())
				} else {
					require.Equal(t, v, k.Held()[part])
					require.Equal(t, v != before[part], changed)
				}
			}
			older, _ := k.Held().Compare(before)
			require.False(t, older)
			for part, v := range acknowledged {
				require.GreaterOrEqual(t, k.Acked()[part], v)
			}
			if was, ok := named[k.Number()]; ok {
				require.Equal(t, was, k.Held())
			}
			named[k.Number()] = k.Held()
			for number, v := range named {
				got, ok := k.At(number)
				require.True(t, ok)
				require.Equal(t, v, got)
			}
		}
	})
}

func sum(v Vector) (n uint64) {
	for _, x := range v {
		n += x
	}
	return n
}

func TestVectors(t *testing.T) {
	a, b := Vector{"x": 3, "y": 1}, Vector{"x": 2, "z": 4}
	older, newer := a.Compare(b)
	require.True(t, older && newer)
	require.Equal(t, uint64(4), a.Lag(b))
	require.Equal(t, uint64(2), b.Lag(a))
	k := New(nil)
	for i := range uint64(maxKept + 10) {
		_, err := k.Take("x", i+1)
		require.NoError(t, err)
	}
	_, ok := k.At(5)
	require.False(t, ok, "no longer kept")
	require.LessOrEqual(t, len(k.kept), maxKept+1)
}
