package wire

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"lichenshelf/logic"
)

func TestReportInTextForm(t *testing.T) {
	columns := Columns{{"x0", Memory}, {"cpu", Other}, {"x1", Unread}}
	memory := logic.Load{HasMemory: true, MemoryShare: 0.41}
	both := logic.Load{HasMemory: true, MemoryShare: 0.41, HasUnread: true, UnreadToken: 3200}
	for _, tc := range []struct {
		name, text string
		want       logic.Load
		fault      string // part of the error; empty: none
	}{
		{"whole", "x0=0.41,x1=3.2", both, ""},
		{"in another order, with spaces", " x1 = 3.2 , x0 = 0.41 ", both, ""},
		{"a field is missing", "x0=0.41", memory, ""},
		{"unknown fields", "x0=0.41,queue=7,x9=nonsense,=,", memory, ""},
		{"a field of meaning Other", "cpu=0.9,x0=0.41", memory, ""},
		{"empty", "", logic.Load{}, ""},
		{"a share a little past 1", "x0=1.08", logic.Load{HasMemory: true, MemoryShare: 1.08}, ""},
		{"repeated", "x0=0.41,x1=3.2,x0=0.9", logic.Load{}, `x0 is repeated, the second time with value "0.9"`},
		{"repeated with the same value", "x1=1,x1=1", logic.Load{}, "x1 is repeated, the second time"},
		{"negative", "x0=0.41,x1=-3", logic.Load{}, `x1 is "-3"`},
		{"huge share", "x0=7,x1=3.2", logic.Load{}, `x0 is "7"`},
		{"huge load", "x0=0.41,x1=1e300", logic.Load{}, `x1 is "1e300"`},
		{"beyond the range of numbers", "x1=1e999", logic.Load{}, `x1 is "1e999"`},
		{"not a number", "x0=NaN", logic.Load{}, `x0 is "NaN"`},
		{"infinite", "x0=+Inf", logic.Load{}, `x0 is "+Inf"`},
		{"no number", "x0=full", logic.Load{}, `x0 is "full"`},
		{"no value", "x0", logic.Load{}, `x0 is ""`},
		{"too long", strings.Repeat("x", maxTextBytes+1), logic.Load{}, "1025 bytes"},
	} {
		got, err := columns.Parse(tc.text)
		require.Equal(t, tc.want, got, tc.name)
		if tc.fault == "" {
			require.NoError(t, err, tc.name)
			continue
		}
		require.ErrorIs(t, err, ErrReport, tc.name)
		require.ErrorContains(t, err, tc.fault, tc.name)
	}
	require.False(t, Columns{{"cpu", Other}}.HasKnownField())
	require.True(t, columns.HasKnownField())
}
