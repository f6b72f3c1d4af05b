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

// destination takes what it is told to, and then waits or fails.
type destination struct {
	mu   sync.Mutex
	text bytes.Buffer
	next func(b []byte) (int, error) // instead of taking all
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

func missing(n int) []byte { return fmt.Appendf(nil, "missing %d\n", n) }

// Entries come out in order, whole, whatever happens to single writes.
func TestEntriesComeOutInOrder(t *testing.T) {
	for name, next := range map[string]func(b []byte) (int, error){
		"all at once":  nil,
		"in parts":     func(b []byte) (int, error) { return (len(b) + 2) / 3, nil },
		"short writes": func(b []byte) (int, error) { return (len(b) + 1) / 2, errors.New("short write") },
	} {
		t.Run(name, func(t *testing.T) {
			d := &destination{next: next}
			w := New(d, 1<<20, missing)
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

// While nothing is written, entries are taken up to the bound and then dropped and counted, and who logs does not wait. Once it
// goes on, what is missing is told where it is.
func TestWhatFindsNoRoomIsDroppedAndTold(t *testing.T) {
	stuck := make(chan struct{})
	d := &destination{next: func(b []byte) (int, error) { <-stuck; return len(b), nil }}
	const most = 200
	w := New(d, most, missing)
	dropped := 0
	w.OnDrop(func() { dropped++ })
	const entries = 100
	for i := range entries {
		_, err := fmt.Fprintf(w, "entry %03d\n", i)
		require.NoError(t, err)
	}
	require.Equal(t, entries-most/len("entry 000\n"), dropped)
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

// A destination that takes nothing for a while is tried again.
func TestAFailingDestinationIsTriedAgain(t *testing.T) {
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
	w := New(d, 1<<10, missing)
	_, err := fmt.Fprintln(w, "entry")
	require.NoError(t, err)
	require.True(t, w.Flush(10*time.Second))
	require.Equal(t, []string{"entry"}, d.lines())
}
