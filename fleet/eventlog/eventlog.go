// Package eventlog writes one router's event log to disk: which versions it adopted and
// acknowledged, and what it refused and sent under which version. Package audit defines the
// records.
//
// Records are appended to segments of limited size; the oldest segments are removed. Each record
// has its length and an XXH3 checksum, so that a torn tail, a flipped byte and a truncation are
// detected and located. Callers never wait for the disk: a record is dropped and counted if the
// queue of the writing goroutine is full, and a disk that is full or missing stops only the log.
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
	maxSummaries   = 4096    // records of sends that are summed up at a time
	segmentCount   = 8       // segments that Config.Bytes is divided into
	segmentSuffix  = ".trail"
	flushEvery     = 500 * time.Millisecond
	closeTimeout   = time.Second // limit on waiting for a disk that does not respond
)

// ErrNotWritten is returned if the last records may not be on disk because the disk does not
// respond.
var ErrNotWritten = errors.New("trail: last records not written, the disk may not respond")

// Config holds the settings of an event log.
type Config struct {
	Dir         string
	Router      string
	Incarnation uint64
	Bytes       int64 // limit for all segments together; the oldest are removed
	// Count counts records written and lost, and errors of the disk.
	Count interface{ Add(name string, n int64) }
}

// Writer appends to a router's event log. Its methods may be called from any goroutine. Only Flush
// and Close wait for the disk.
type Writer struct {
	cfg   Config
	start time.Time
	queue chan audit.Record

	flushes chan chan struct{} // requests of Flush; each is closed when done
	stopped chan struct{}      // closed when the writing goroutine has ended

	mu     sync.Mutex
	seq    uint64 // also counts lost records, so that they show as a gap
	number uint64 // of the last record of kind Taken
	sends  map[sendKey]*audit.Record
	closed bool

	// Used by the writing goroutine only.
	file *os.File
	buf  *bufio.Writer
	size int64
}

type sendKey struct {
	worker string
	since  int64
	number uint64
}

// Open starts writing an event log in a new segment. It creates the directory if needed.
func Open(cfg Config) (*Writer, error) {
	if cfg.Bytes < segmentCount*maxRecordBytes {
		return nil, fmt.Errorf("trail: %d bytes are too few, at least %d are needed", cfg.Bytes, segmentCount*maxRecordBytes)
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

// startWriting starts the writing goroutine and notes the start.
func (w *Writer) startWriting() {
	go w.run()
	w.Note(audit.Record{Kind: audit.Started, Router: w.cfg.Router, Incarnation: w.cfg.Incarnation, Wall: w.start.UnixMilli()})
}

// Now returns the time since the log was opened.
func (w *Writer) Now() time.Duration { return time.Since(w.start) }

// Note appends a record, with the present time unless it has one. The Number of a record of kind
// Taken identifies all versions acted on from then on, and applies to the sends that follow.
func (w *Writer) Note(r audit.Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.At == 0 {
		r.At = w.Now()
	}
	if r.Kind == audit.Taken {
		w.flushSends() // sends so far were made under the previous versions
		w.number = r.Number
	}
	if r.Kind == audit.Out || r.Kind == audit.ShutOut || r.Kind == audit.Back || r.Kind == audit.Acknowledged {
		w.flushSends()
	}
	w.enqueue(r)
}

// Sent records an attempt that is sent now. Attempts at one worker under one Number are summed up
// in one record until the next flush.
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

// flushSends queues the summed-up sends, ordered by the workers' names. The caller holds the lock.
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

// enqueue queues a record. The caller holds the lock, so that records are in the order of their
// times.
func (w *Writer) enqueue(r audit.Record) {
	if w.closed {
		return
	}
	w.seq++
	r.Incarnation, r.Seq = w.cfg.Incarnation, w.seq
	select {
	case w.queue <- r:
	default:
		w.cfg.Count.Add("trail_lost", 1)
	}
}

// Close writes the remaining records and a final one. It waits for at most closeTimeout and returns
// ErrNotWritten after that.
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

// run writes records until the queue is closed.
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
				// Records of the other kinds are rare and are flushed at once, since a process that
				// is killed loses what is in the buffer.
				w.flushBuffer()
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

// handleError counts an error of the disk and abandons the segment; the next record starts another
// one.
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

// newSegment starts a segment and removes the oldest ones.
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

// Segments returns the files of an event log, the oldest first.
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

// ErrRecord is returned for a record that can't be read.
var ErrRecord = errors.New("trail record")

var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 64, MaxMapPairs: 64, MaxNestedLevels: 4, DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
	if err != nil {
		panic(err) // the options are fixed
	}
	return m
}()

// Encode returns the frame of a record. Texts that are too long are truncated.
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

// Decode reads the next record of a segment. It returns io.EOF if the segment ends between two
// records.
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

// ReadAll reads the event log of each directory. A log that does not name its router gets the name
// of its directory.
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

// Read reads a whole event log. A record that can't be read ends its segment, since the start of
// the next record is unknown. Missing segments show as a gap in the sequence numbers.
func Read(dir string) (audit.Trail, error) {
	var t audit.Trail
	names, err := Segments(dir)
	if err != nil {
		return t, err
	}
	if len(names) == 0 {
		return t, fmt.Errorf("trail: directory %s has no segment", dir)
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

// countingReader counts the bytes that have been read.
type countingReader struct {
	r io.Reader
	n int64
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.n += int64(n)
	return n, err
}
