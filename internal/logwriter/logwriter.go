// Package logwriter decouples logging from the log's destination: entries go to a bounded queue in
// memory, and a goroutine writes them.
//
// A pipe whose reader is slow, idle or closed, or a disk that rejects writes, does not block the
// program. Entries that do not fit into the queue are dropped and counted; a line in their place
// says how many were dropped.
package logwriter

import (
	"io"
	"sync"
	"time"

	"lichenshelf/internal/transient"
)

// minRetryDelay and maxRetryDelay bound the pause after a failed write.
const (
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = time.Second
)

// Writer is an io.Writer whose Write returns at once. Its methods are safe for concurrent use.
type Writer struct {
	dst      io.Writer
	capacity int // bytes
	notice   func(entries int) []byte

	mu      sync.Mutex
	queue   []byte
	writing int // bytes that the goroutine is writing
	dropped int // entries dropped since the last one that was queued
	onDrop  func()
	wake    chan struct{} // holds one element while the queue has entries
	written chan struct{} // closed when the goroutine has written its batch
}

// New returns a writer to dst that holds up to capacity bytes which are not yet written. notice
// returns the entry that reports the number of dropped entries in their place.
func New(dst io.Writer, capacity int, notice func(entries int) []byte) *Writer {
	w := &Writer{dst: dst, capacity: capacity, notice: notice, wake: make(chan struct{}, 1), written: make(chan struct{})}
	go w.run()
	return w
}

// OnDrop sets the function that is called for each dropped entry. It must return at once.
func (w *Writer) OnDrop(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onDrop = f
}

// Write queues an entry completely or drops it; it never fails and never waits for the destination.
func (w *Writer) Write(entry []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.enqueue(entry) {
		w.dropped++
		if w.onDrop != nil {
			w.onDrop()
		}
		return len(entry), nil
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(entry), nil
}

// enqueue adds an entry to the queue, after the notice of the entries dropped before it. It reports
// whether there was room for both. The caller holds the lock.
func (w *Writer) enqueue(entry []byte) bool {
	room := w.capacity - len(w.queue) - w.writing - len(entry)
	if room < 0 {
		return false
	}
	if w.dropped > 0 {
		notice := w.notice(w.dropped)
		if len(notice) > room {
			return false
		}
		w.queue = append(w.queue, notice...)
		w.dropped = 0
	}
	w.queue = append(w.queue, entry...)
	return true
}

// Flush waits until all queued entries have been written, at most for the given time. It reports
// whether they have.
func (w *Writer) Flush(within time.Duration) bool {
	over := time.NewTimer(within)
	defer over.Stop()
	for {
		w.mu.Lock()
		empty, written := len(w.queue)+w.writing == 0, w.written
		w.mu.Unlock()
		if empty {
			return true
		}
		select {
		case <-written:
		case <-over.C:
			return false
		}
	}
}

func (w *Writer) run() {
	var batch []byte
	for range w.wake {
		w.mu.Lock()
		batch, w.queue = w.queue, batch[:0]
		w.writing = len(batch)
		w.mu.Unlock()
		w.writeAll(batch)
		w.mu.Lock()
		close(w.written)
		w.written = make(chan struct{})
		w.mu.Unlock()
	}
}

// writeAll retries until the whole batch is written: lost bytes would mix up lines.
func (w *Writer) writeAll(batch []byte) {
	pause := transient.NewBackoff(minRetryDelay, maxRetryDelay)
	for len(batch) > 0 {
		n, err := w.dst.Write(batch)
		batch = batch[n:]
		w.mu.Lock()
		w.writing = len(batch)
		w.mu.Unlock()
		switch {
		case err == nil || n > 0:
			pause.Reset()
		default:
			time.Sleep(pause.NextBackOff())
		}
	}
}
