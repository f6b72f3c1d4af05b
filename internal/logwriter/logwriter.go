// Package logwriter keeps who logs from waiting for the log: entries go to a bounded queue in memory, and a goroutine writes them.
//
// A pipe whose reader is slow or does nothing, a disk that takes no writes, a reader that has gone: none of them holds the
// program. What finds no room is dropped, and counted; a line says how many were, at the place where they are missing.
package logwriter

import (
	"io"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// leastRetry and mostRetry bound the pause after a write that failed.
const (
	leastRetry = 20 * time.Millisecond
	mostRetry  = time.Second
)

// Writer is an io.Writer whose Write returns at once. Its methods may be called from any goroutine.
type Writer struct {
	to     io.Writer
	most   int // bytes
	notice func(entries int) []byte

	mu      sync.Mutex
	queue   []byte
	writing int // bytes that the goroutine has
	missing int // entries that were dropped since the last one that was taken
	onDrop  func()
	wake    chan struct{} // holds one while something waits in the queue
	written chan struct{} // closed when the goroutine is done with what it had
}

// New returns a writer to a destination that holds up to so many bytes which are not written yet. notice words the entry that
// says how many are missing where it stands.
func New(to io.Writer, most int, notice func(entries int) []byte) *Writer {
	w := &Writer{to: to, most: most, notice: notice, wake: make(chan struct{}, 1), written: make(chan struct{})}
	go w.run()
	return w
}

// OnDrop has f told of each entry that is dropped. It must return at once.
func (w *Writer) OnDrop(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onDrop = f
}

// Write takes an entry whole or drops it; it never fails and never waits for the destination.
func (w *Writer) Write(entry []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.take(entry) {
		w.missing++
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

// take puts an entry in the queue, behind the notice of those that are missing before it. It tells whether there was room for
// both; the lock is held.
func (w *Writer) take(entry []byte) bool {
	room := w.most - len(w.queue) - w.writing - len(entry)
	if room < 0 {
		return false
	}
	if w.missing > 0 {
		notice := w.notice(w.missing)
		if len(notice) > room {
			return false
		}
		w.queue = append(w.queue, notice...)
		w.missing = 0
	}
	w.queue = append(w.queue, entry...)
	return true
}

// Flush waits until all that was taken has been written, for so long at most. It tells whether it has.
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

// writeAll writes until all is written: what stands between its bytes must not be lost, or lines would be mixed up.
func (w *Writer) writeAll(batch []byte) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = leastRetry, mostRetry
	for len(batch) > 0 {
		n, err := w.to.Write(batch)
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
