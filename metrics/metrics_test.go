package metrics

import (
	"errors"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSetCountsAndPrintsInOrder(t *testing.T) {
	var s Set
	var all sync.WaitGroup
	for range 10 {
		all.Go(func() { s.Add("b", 2) })
	}
	all.Wait()
	s.Add("a", 1)
	var out strings.Builder
	require.NoError(t, s.Print(&out))
	require.Equal(t, "a 1\nb 20\n", out.String())
	require.Error(t, s.Print(full{}))
}

type full struct{}

func (full) Write([]byte) (int, error) { return 0, errors.New("full") }
