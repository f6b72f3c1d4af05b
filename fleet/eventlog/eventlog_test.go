package eventlog

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lichenshelf/fleet/audit"
	"lichenshelf/metrics"
)

func open(t testing.TB, dir string, incarnation uint64, maxBytes int64) (*Writer, *metrics.Set) {
	counters := &metrics.Set{}
	w, err := Open(Config{Dir: dir, Router: "r", Incarnation: incarnation, Bytes: maxBytes, Count: counters})
	require.NoError(t, err)
	return w, counters
}

func read(t testing.TB, dir string) audit.Trail {
	tr, err := Read(dir)
	require.NoError(t, err)
	return tr
}

// Records are read back in order, with sends summed up under the Number that they were sent under,
// across two starts.
func TestRoundTrip(t *testing.T) {
	dir := t.TempDir()
	for previous := range uint64(2) {
		w, _ := open(t, dir, previous+1, 1<<20)
		w.Sent("w", 5)
		w.Sent("w", 5)
		w.Note(audit.Record{Kind: audit.Taken, Part: "config", Version: 3, Number: 1})
		w.Sent("w", 5)
		w.Note(audit.Record{Kind: audit.Out, Worker: "w", Since: 5, Window: time.Second})
		w.Note(audit.Record{Kind: audit.Failed, Worker: "w", Request: "q", Text: "errors"})
		require.NoError(t, w.Close())
		require.NoError(t, w.Close(), "twice")
		w.Sent("late", 0)
		w.Note(audit.Record{Kind: audit.Failed})
	}
	tr := read(t, dir)
	require.Equal(t, "r", tr.Router)
	require.Empty(t, tr.Damages)
	var kinds []audit.Kind
	last := time.Duration(0)
	for i, e := range tr.Entries[:7] {
		kinds = append(kinds, e.Kind)
		require.Equal(t, uint64(i+1), e.Seq)
		require.Equal(t, uint64(1), e.Incarnation)
		require.GreaterOrEqual(t, max(e.At, e.Until), last)
		last = e.At
	}
	require.Equal(t, []audit.Kind{audit.Started, audit.Sent, audit.Taken, audit.Sent, audit.Out, audit.Failed, audit.Ended}, kinds)
	require.Equal(t, uint64(2), tr.Entries[1].Count)
	require.Equal(t, []uint64{0, 1}, []uint64{tr.Entries[1].Number, tr.Entries[3].Number})
	require.Len(t, tr.Entries, 14)
	require.Empty(t, audit.Check([]audit.Trail{tr}))
	_, err := Read(t.TempDir())
	require.ErrorContains(t, err, "no segment")
}

// A log truncated at any byte gives all records before the cut and reports its place. A flipped bit
// in any byte is detected. A missing segment shows as a gap.
func TestDamageIsDetected(t *testing.T) {
	dir := t.TempDir()
	w, _ := open(t, dir, 1, 1<<20)
	for i := range 20 {
		w.Note(audit.Record{Kind: audit.Failed, Worker: "w", Request: fmt.Sprint(i)})
	}
	require.NoError(t, w.Close())
	names, err := Segments(dir)
	require.NoError(t, err)
	require.Len(t, names, 1)
	whole, err := os.ReadFile(names[0])
	require.NoError(t, err)
	before := read(t, dir).Entries
	for at := range whole {
		require.NoError(t, os.WriteFile(names[0], whole[:at], 0o600))
		cut := read(t, dir)
		intact := 0
		for intact < len(before) && (intact == len(before)-1 && at == len(whole) || intact < len(before)-1 && before[intact+1].Offset <= int64(at)) {
			intact++
		}
		require.Len(t, cut.Entries, intact, "cut at %d", at)
		torn := intact < len(before) && before[intact].Offset != int64(at)
		require.Equal(t, torn, len(cut.Damages) == 1, "cut at %d", at)
		flipped := bytes.Clone(whole)
		flipped[at] ^= 0x10
		require.NoError(t, os.WriteFile(names[0], flipped, 0o600))
		tr := read(t, dir)
		require.Len(t, tr.Damages, 1, "flipped at %d", at)
		require.NotEmpty(t, audit.Check([]audit.Trail{tr}), "flipped at %d", at)
	}
	require.NoError(t, os.WriteFile(names[0], whole, 0o600))

	many := t.TempDir()
	w, _ = open(t, many, 1, 1<<16)
	for i := range 800 {
		w.Note(audit.Record{Kind: audit.Failed, Worker: "w", Request: fmt.Sprint(i)})
	}
	require.NoError(t, w.Close())
	require.Empty(t, audit.Check([]audit.Trail{read(t, many)}))
	names, err = Segments(many)
	require.NoError(t, err)
	require.Greater(t, len(names), 3)
	require.NoError(t, os.Remove(names[1]))
	breaches := audit.Check([]audit.Trail{read(t, many)})
	require.Len(t, breaches, 1)
	require.Equal(t, audit.RuleOrder, breaches[0].Rule)
}

func TestBounded(t *testing.T) {
	dir := t.TempDir()
	const maxBytes = 1 << 17
	w, counters := open(t, dir, 1, maxBytes)
	for i := range 20_000 {
		w.Note(audit.Record{Kind: audit.Failed, Worker: "w", Request: fmt.Sprint(i)})
		if i%100 == 0 { // a slow disk must not make the queue overflow
			require.Eventually(t, func() bool { return counters.Get("trail_records") >= int64(i) }, time.Minute, 100*time.Microsecond)
		}
	}
	require.NoError(t, w.Close())
	names, err := Segments(dir)
	require.NoError(t, err)
	sum := int64(0)
	for _, name := range names {
		info, err := os.Stat(name)
		require.NoError(t, err)
		sum += info.Size()
	}
	require.LessOrEqual(t, sum, int64(maxBytes))
	require.Greater(t, sum, int64(maxBytes/2))
	tr := read(t, dir)
	require.Equal(t, audit.Ended, tr.Entries[len(tr.Entries)-1].Kind, "the newest records are kept")
	require.Empty(t, audit.Check([]audit.Trail{tr}))
	_, err = Open(Config{Dir: dir, Bytes: 10})
	require.ErrorContains(t, err, "10 bytes are too few")
}

// A disk that fails blocks no caller. Lost records are counted and show as a gap, and writing
// resumes when the disk works again.
func TestFailingDisk(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "trail")
	w, counters := open(t, dir, 1, 1<<16)
	w.Note(audit.Record{Kind: audit.Failed, Request: "before"})
	require.Eventually(t, func() bool { return counters.Get("trail_records") >= 2 }, 10*time.Second, time.Millisecond)
	require.NoError(t, os.RemoveAll(dir))
	// With a file in place of the directory no segment can be created.
	require.NoError(t, os.WriteFile(dir, nil, 0o600))
	began := time.Now()
	for i := range 5000 {
		w.Note(audit.Record{Kind: audit.Failed, Request: fmt.Sprint(i)})
	}
	require.Less(t, time.Since(began), 5*time.Second)
	require.Eventually(t, func() bool { return counters.Get("trail_lost") > 0 && counters.Get("trail_faults") > 0 }, 10*time.Second, time.Millisecond)
	require.NoError(t, os.Remove(dir))
	require.NoError(t, os.Mkdir(dir, 0o700))
	require.Eventually(t, func() bool {
		w.Note(audit.Record{Kind: audit.Failed, Request: "after"})
		names, err := Segments(dir)
		return err == nil && len(names) > 0
	}, 10*time.Second, time.Millisecond)
	require.NoError(t, w.Close())
	require.NotEmpty(t, audit.Check([]audit.Trail{func() audit.Trail {
		tr := read(t, dir)
		head := audit.Entry{Record: audit.Record{Kind: audit.Started, Router: "r", Seq: 1}}
		tr.Entries = append([]audit.Entry{head}, tr.Entries...)
		return tr
	}()}), "lost records show as a gap")
}

func TestConcurrentSends(t *testing.T) {
	dir := t.TempDir()
	w, counters := open(t, dir, 1, 1<<24)
	var all sync.WaitGroup
	for g := range 8 {
		all.Go(func() {
			for range 500 {
				w.Sent(fmt.Sprint("w", g%3), 0)
			}
		})
	}
	all.Wait()
	require.NoError(t, w.Close())
	sum := uint64(0)
	for _, e := range read(t, dir).Entries {
		if e.Kind == audit.Sent {
			sum += e.Count
		}
	}
	require.Equal(t, uint64(8*500), sum)
	require.Zero(t, counters.Get("trail_lost"))
}

func FuzzRecord(f *testing.F) {
	for _, r := range []audit.Record{{Kind: audit.Started, Router: "r"}, {Kind: audit.Sent, Worker: "w", Count: 7, Until: 9}, {}} {
		frame, err := Encode(r)
		require.NoError(f, err)
		f.Add(frame)
		f.Add(frame[:len(frame)-1])
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r := bytes.NewReader(data)
		for {
			rec, err := Decode(r)
			if err != nil {
				if err != io.EOF {
					require.ErrorIs(t, err, ErrRecord)
				}
				return
			}
			frame, err := Encode(rec)
			require.NoError(t, err)
			again, err := Decode(bytes.NewReader(frame))
			require.NoError(t, err)
			second, err := Encode(again)
			require.NoError(t, err)
			require.Equal(t, frame, second)
		}
	})
}

// BenchmarkSent measures what recording costs an attempt.
func BenchmarkSent(b *testing.B) {
	w, _ := open(b, b.TempDir(), 1, 1<<26)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		w.Sent("s-00000001", int64(i%40))
	}
	require.NoError(b, w.Close())
}

func BenchmarkFailed(b *testing.B) {
	w, _ := open(b, b.TempDir(), 1, 1<<26)
	b.ReportAllocs()
	for b.Loop() {
		w.Note(audit.Record{Kind: audit.Failed, Worker: "s-00000001", Request: "0123456789abcdef", Text: "errors"})
	}
	require.NoError(b, w.Close())
}

// A write that neither completes nor fails, as on a disk that does not respond, must not block
// Close.
func TestHangingFileDoesNotBlockClose(t *testing.T) {
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	defer reader.Close()
	defer writer.Close() // which ends the write that hangs
	require.NoError(t, writer.SetWriteDeadline(time.Now().Add(100*time.Millisecond)))
	for err == nil { // until the pipe is full
		_, err = writer.Write(make([]byte, 1<<10))
	}
	require.NoError(t, writer.SetWriteDeadline(time.Time{}))

	w := newWriter(Config{Dir: t.TempDir(), Router: "r", Incarnation: 1, Bytes: 1 << 20, Count: &metrics.Set{}})
	w.file, w.buf = writer, bufio.NewWriter(writer)
	w.startWriting()
	closed := make(chan error, 1)
	go func() { closed <- w.Close() }()
	select {
	case err := <-closed:
		require.ErrorIs(t, err, ErrNotWritten)
	case <-time.After(10 * time.Second):
		t.Fatal("Close waits for the write that hangs")
	}
}
