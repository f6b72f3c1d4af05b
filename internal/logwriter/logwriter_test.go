package logwriter

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// destination accepts all writes, unless next makes them wait or fail.
type destination struct {
	mu   sync.Mutex
	text bytes.Buffer
	next func(b []byte) (int, error) // replaces the default of accepting all
}

func (d *destination) Write(b []byte) (int, error) {
	d.mu.Lock()
	next := d.next
	d.mu.Unlock()
	n, err := len(b), error(nil)
	if next != nil {
		n, err = next(b)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.text.Write(b[:n])
	return n, err
}

func (d *destination) set(next func(b []byte) (int, error)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.next = next
}

func (d *destination) lines() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return strings.Split(strings.TrimSuffix(d.text.String(), "\n"), "\n")
}

func droppedNotice(n int) []byte { return fmt.Appendf(nil, "missing %d\n", n) }

// Entries are written completely and in order, also if single writes are partial.
func TestEntriesComeOutInOrder(t *testing.T) {
	for name, next := range map[string]func(b []byte) (int, error){
		"all at once":  nil,
		"in parts":     func(b []byte) (int, error) { return (len(b) + 2) / 3, nil },
		"short writes": func(b []byte) (int, error) { return (len(b) + 1) / 2, errors.New("short write") },
	} {
		t.Run(name, func(t *testing.T) {
			d := &destination{next: next}
			w := New(d, 1<<20, droppedNotice)
			var want []string
			for i := range 1000 {
				want = append(want, fmt.Sprint("entry ", i))
				n, err := fmt.Fprintln(w, want[i])
				require.NoError(t, err)
				require.Equal(t, len(want[i])+1, n)
			}
			require.True(t, w.Flush(10*time.Second))
			require.Equal(t, want, d.lines())
		})
	}
}

// While the destination blocks, entries are queued up to the capacity and then dropped and counted,
// and loggers do not wait. Once it accepts writes again, a notice in their place reports the
// dropped entries.
func TestDroppedEntriesAreReported(t *testing.T) {
	stuck := make(chan struct{})
	d := &destination{next: func(b []byte) (int, error) { <-stuck; return len(b), nil }}
	const capacity = 200
	w := New(d, capacity, droppedNotice)
	dropped := 0
	w.OnDrop(func() { dropped++ })
	const entries = 100
	for i := range entries {
		_, err := fmt.Fprintf(w, "entry %03d\n", i)
		require.NoError(t, err)
	}
	require.Equal(t, entries-capacity/len("entry 000\n"), dropped)
	require.False(t, w.Flush(time.Millisecond), "nothing can be written")
	close(stuck)
	require.True(t, w.Flush(10*time.Second))
	_, err := fmt.Fprintln(w, "entry 100")
	require.NoError(t, err)
	require.True(t, w.Flush(10*time.Second))
	lines := d.lines()
	require.Equal(t, "entry 019", lines[len(lines)-3])
	require.Equal(t, []string{fmt.Sprint("missing ", dropped), "entry 100"}, lines[len(lines)-2:])
}

// A write that fails, as on a full disk, is retried until it succeeds.
func TestFailingDestinationIsRetried(t *testing.T) {
	failures := make(chan struct{}, 3)
	d := &destination{}
	d.set(func(b []byte) (int, error) {
		select {
		case failures <- struct{}{}:
			return 0, errors.New("no space left on device")
		default:
			return len(b), nil
		}
	})
	w := New(d, 1<<10, droppedNotice)
	_, err := fmt.Fprintln(w, "entry")
	require.NoError(t, err)
	require.True(t, w.Flush(10*time.Second))
	require.Equal(t, []string{"entry"}, d.lines())
}
