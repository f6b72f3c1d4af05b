// Package eventlog keeps the records of one router on disk: what it took, acknowledged, refused
// and sent under which version (fleet/audit says what they mean).
//
// Records are appended to segments of bounded size, the oldest of which go. Each has its
// length and an XXH3 checksum, so that a torn tail, a flipped byte and a cut are found and
// named. Nothing waits for the disk: a record that finds the writer behind is dropped and
// counted, and a disk that is full or gone stops nothing but the trail.
package eventlog

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/xxh3"

	"lichenshelf/fleet/audit"
)

const (
	headerSize     = 12      // length and checksum
	maxRecordBytes = 4 << 10 // bytes
	maxQueued      = 4096    // records that wait for the disk
	maxSummaries   = 4096    // workers and numbers of which sends are summed up at a time
	segmentCount   = 8       // that the bound is divided over
	segmentSuffix  = ".trail"
	flushEvery     = 500 * time.Millisecond
	closeTimeout   = time.Second // for a disk that may not answer
)

// ErrNotWritten says that the last records may not be on the disk, which does not answer.
var ErrNotWritten = errors.New("trail: the last records are not written, the disk may not answer")

// Config says where a trail is kept.
type Config struct {
	Dir    string
	Router string
	Life   uint64
	Bytes  int64 // of all segments together; the oldest go
	// Count is told of what was written, lost or failed.
	Count interface{ Add(name string, n int64) }
}

// Writer appends to a router's trail. Its methods may be called from any goroutine and
// never wait for the disk.
type Writer struct {
	cfg   Config
	start time.Time
	queue chan audit.Record

	flushes chan chan struct{} // who waits for all to be written
	stopped chan struct{}      // closed when the writing has ended

	mu     sync.Mutex
	seq    uint64 // counts what is lost as well, so that it shows as a gap
	number uint64
	sends  map[sendKey]*audit.Record
	closed bool

	// Of the writing goroutine.
	file *os.File
	buf  *bufio.Writer
	size int64
}

type sendKey struct {
	worker string
	since  int64
	number uint64
}

// Open begins a router's part of a trail, in a segment of its own. The directory is made.
func Open(cfg Config) (*Writer, error) {
	if cfg.Bytes < segmentCount*maxRecordBytes {
		return nil, fmt.Errorf("trail: %d bytes are too few, %d are the least", cfg.Bytes, segmentCount*maxRecordBytes)
	}
	if err := os.MkdirAll(cfg.Dir, 0o700); err != nil {
		return nil, fmt.Errorf("trail: %w", err)
	}
	w := newWriter(cfg)
	if err := w.newSegment(); err != nil {
		return nil, err
	}
	w.startWriting()
	return w, nil
}

func newWriter(cfg Config) *Writer {
	return &Writer{cfg: cfg, start: time.Now(), queue: make(chan audit.Record, maxQueued), sends: map[sendKey]*audit.Record{},
		flushes: make(chan chan struct{}), stopped: make(chan struct{})}
}

// startWriting starts the writing.
func (w *Writer) startWriting() {
	go w.run()
	w.Note(audit.Record{Kind: audit.Started, Router: w.cfg.Router, Life: w.cfg.Life, Wall: w.start.UnixMilli()})
}

// Now is the time on the trail's clock.
func (w *Writer) Now() time.Duration { return time.Since(w.start) }

// Note appends a record, at this time unless it has one. A version that is taken begins a
// number of its own, which is returned by Number from then on.
func (w *Writer) Note(r audit.Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.At == 0 {
		r.At = w.Now()
	}
	if r.Kind == audit.Taken {
		w.flushSends() // what was sent until now rests on what was held until now
		w.number = r.Number
	}
	if r.Kind == audit.Out || r.Kind == audit.ShutOut || r.Kind == audit.Back || r.Kind == audit.Acknowledged {
		w.flushSends()
	}
	w.enqueue(r)
}

// Sent notes an attempt that goes out now. Attempts to one worker under one number are summed
// up for a moment.
func (w *Writer) Sent(worker string, since int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	k := sendKey{worker, since, w.number}
	s := w.sends[k]
	now := w.Now()
	if s == nil {
		if len(w.sends) >= maxSummaries {
			w.flushSends()
		}
		s = &audit.Record{Kind: audit.Sent, Worker: worker, Since: since, Number: w.number, At: now}
		w.sends[k] = s
	}
	s.Count++
	s.Until = now
}

// flushSends hands on what was summed up, in the order of the workers' names. The lock is held.
func (w *Writer) flushSends() {
	if len(w.sends) == 0 {
		return
	}
	all := make([]*audit.Record, 0, len(w.sends))
	for _, s := range w.sends {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *audit.Record) int { return strings.Compare(a.Worker, b.Worker) })
	for _, s := range all {
		w.enqueue(*s)
	}
	clear(w.sends)
}

// enqueue queues a record. The lock is held, so that records stand in the order of their times.
func (w *Writer) enqueue(r audit.Record) {
	if w.closed {
		return
	}
	w.seq++
	r.Life, r.Seq = w.cfg.Life, w.seq
	select {
	case w.queue <- r:
	default:
		w.cfg.Count.Add("trail_lost", 1)
	}
}

// Close writes what is left and ends the trail in good order. It waits for closeTimeout at most, and is ErrNotWritten then.
func (w *Writer) Close() error {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return nil
	}
	w.flushSends()
	w.enqueue(audit.Record{Kind: audit.Ended, At: w.Now()})
	w.closed = true
	close(w.queue)
	w.mu.Unlock()
	select {
	case <-w.stopped:
	case <-time.After(closeTimeout):
		return ErrNotWritten
	}
	if w.file == nil {
		return nil
	}
	return w.file.Close()
}

// run writes until the queue is closed.
func (w *Writer) run() {
	defer close(w.stopped)
	tick := time.NewTicker(flushEvery)
	defer tick.Stop()
	for {
		select {
		case done := <-w.flushes:
			for n := len(w.queue); n > 0; n-- {
				if r, ok := <-w.queue; ok {
					w.write(r)
				}
			}
			w.flushBuffer()
			close(done)
		case r, ok := <-w.queue:
			if !ok {
				w.flushBuffer()
				return
			}
			w.write(r)
			if r.Kind != audit.Sent && r.Kind != audit.Failed && len(w.queue) == 0 {
				w.flushBuffer() // these are few, and a process that is killed loses what it has not handed on
			}
		case <-tick.C:
			w.mu.Lock()
			if !w.closed {
				w.flushSends()
			}
			w.mu.Unlock()
			w.flushBuffer()
		}
	}
}

func (w *Writer) flushBuffer() {
	if w.buf != nil {
		w.handleError(w.buf.Flush())
	}
}

// handleError takes note of a disk that does not take what it is given: the segment is given up,
// and another one is tried with the next record.
func (w *Writer) handleError(err error) {
	if err == nil {
		return
	}
	w.cfg.Count.Add("trail_faults", 1)
	if w.file != nil {
		_ = w.file.Close()
	}
	w.file, w.buf = nil, nil
}

// write appends a record, in a new segment if this one is full.
func (w *Writer) write(r audit.Record) {
	frame, err := Encode(r)
	if err != nil {
		w.cfg.Count.Add("trail_lost", 1)
		return
	}
	if w.buf == nil || w.size+int64(len(frame)) > w.cfg.Bytes/segmentCount {
		if err := w.newSegment(); err != nil {
			w.handleError(err)
			w.cfg.Count.Add("trail_lost", 1)
			return
		}
	}
	n, err := w.buf.Write(frame)
	w.size += int64(n)
	if err != nil {
		w.handleError(err)
		w.cfg.Count.Add("trail_lost", 1)
		return
	}
	w.cfg.Count.Add("trail_records", 1)
}

// newSegment begins a segment and removes the oldest ones.
func (w *Writer) newSegment() error {
	if w.buf != nil {
		if err := w.buf.Flush(); err != nil {
			return fmt.Errorf("trail: %w", err)
		}
		_ = w.file.Close()
		w.file, w.buf = nil, nil
	}
	names, err := Segments(w.cfg.Dir)
	if err != nil {
		return err
	}
	next := uint64(1)
	if n := len(names); n > 0 {
		_, _ = fmt.Sscanf(filepath.Base(names[n-1]), "%020d", &next)
		next++
	}
	for len(names) >= segmentCount {
		if err := os.Remove(names[0]); err != nil {
			return fmt.Errorf("trail: %w", err)
		}
		names = names[1:]
	}
	path := filepath.Join(w.cfg.Dir, fmt.Sprintf("%020d%s", next, segmentSuffix))
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("trail: %w", err)
	}
	w.file, w.buf, w.size = f, bufio.NewWriter(f), 0
	return nil
}

// Segments are the files of a trail, the oldest first.
func Segments(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, fmt.Errorf("trail: %w", err)
	}
	var out []string
	for _, e := range entries {
		if strings.HasSuffix(e.Name(), segmentSuffix) && e.Type().IsRegular() {
			out = append(out, filepath.Join(dir, e.Name()))
		}
	}
	slices.Sort(out)
	return out, nil
}

// ErrRecord is for a record that can't be read.
var ErrRecord = errors.New("trail record")

var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 64, MaxMapPairs: 64, MaxNestedLevels: 4, DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
	if err != nil {
		panic(err) // the options are fixed
	}
	return m
}()

// Encode makes a frame of a record. Texts that are too long are cut.
func Encode(r audit.Record) ([]byte, error) {
	for _, s := range []*string{&r.Text, &r.Request, &r.Worker, &r.Part, &r.Router} {
		if len(*s) > maxRecordBytes/16 {
			*s = strings.ToValidUTF8((*s)[:maxRecordBytes/16], "")
		}
	}
	body, err := cbor.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrRecord, err)
	}
	frame := make([]byte, headerSize, headerSize+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	binary.BigEndian.PutUint64(frame[4:], xxh3.Hash(body))
	return append(frame, body...), nil
}

// Decode reads the next record of a segment. io.EOF is its end, between two records.
func Decode(r io.Reader) (audit.Record, error) {
	var rec audit.Record
	var head [headerSize]byte
	if n, err := io.ReadFull(r, head[:]); err != nil {
		if n == 0 && errors.Is(err, io.EOF) {
			return rec, io.EOF
		}
		return rec, fmt.Errorf("%w: torn after %d bytes of its head", ErrRecord, n)
	}
	size := binary.BigEndian.Uint32(head[:])
	if size == 0 || size > maxRecordBytes {
		return rec, fmt.Errorf("%w: %d bytes long, which none is", ErrRecord, size)
	}
	body := make([]byte, size)
	if n, err := io.ReadFull(r, body); err != nil {
		return rec, fmt.Errorf("%w: torn after %d of %d bytes", ErrRecord, n, size)
	}
	if xxh3.Hash(body) != binary.BigEndian.Uint64(head[4:]) {
		return rec, fmt.Errorf("%w: its checksum does not fit", ErrRecord)
	}
	if err := decoder.Unmarshal(body, &rec); err != nil {
		return rec, fmt.Errorf("%w: %w", ErrRecord, err)
	}
	return rec, nil
}

// ReadAll reads one trail for each directory; one that does not name its router goes by its directory.
func ReadAll(dirs []string) ([]audit.Trail, error) {
	var trails []audit.Trail
	for _, dir := range dirs {
		t, err := Read(dir)
		if err != nil {
			return nil, err
		}
		if t.Router == "" {
			t.Router = dir
		}
		trails = append(trails, t)
	}
	return trails, nil
}

// Read reads a whole trail. A record that can't be read ends its segment: what lies behind
// it can't be told from noise. Segments that are missing between two show as a gap in the
// records' numbers.
func Read(dir string) (audit.Trail, error) {
	var t audit.Trail
	names, err := Segments(dir)
	if err != nil {
		return t, err
	}
	if len(names) == 0 {
		return t, fmt.Errorf("trail: %s holds no segment", dir)
	}
	for _, name := range names {
		if err := readSegment(name, &t); err != nil {
			return t, err
		}
	}
	return t, nil
}

func readSegment(name string, t *audit.Trail) error {
	f, err := os.Open(name)
	if err != nil {
		return fmt.Errorf("trail: %w", err)
	}
	defer f.Close()
	reader := &countingReader{r: bufio.NewReader(f)}
	for {
		at := reader.n
		rec, err := Decode(reader)
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			t.Damages = append(t.Damages, audit.Damage{Place: audit.Place{File: name, Offset: at}, What: err.Error()})
			return nil
		}
		if rec.Kind == audit.Started && rec.Router != "" {
			t.Router = rec.Router
		}
		t.Entries = append(t.Entries, audit.Entry{Record: rec, Place: audit.Place{File: name, Offset: at}})
	}
}

// countingReader knows how far it has been read.
type countingReader struct {
	r io.Reader
	n int64
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.n += int64(n)
	return n, err
}
