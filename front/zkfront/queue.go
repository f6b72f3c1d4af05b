package zkfront

import (
	"sync"

	"lichenshelf/internal/memory"
)

// frameQueue holds the frames that wait to be written to a client. It takes memory for what it
// holds, out of a budget that all clients share. One goroutine takes frames; any may add them.
type frameQueue struct {
	limit  int // frames
	budget *memory.Budget
	added  chan struct{} // has an element when there may be something to take

	mu       sync.Mutex
	frames   [][]byte
	finished bool // nothing follows the frames
	closed   bool
}

func newFrameQueue(limit int, budget *memory.Budget) frameQueue {
	return frameQueue{limit: limit, budget: budget, added: make(chan struct{}, 1)}
}

// add adds a frame, and returns false if there is no room for it. After close it drops the frame.
func (q *frameQueue) add(frame []byte) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || q.finished {
		return true
	}
	if len(q.frames) >= q.limit || !q.budget.TryReserve(int64(len(frame))) {
		return false
	}
	q.frames = append(q.frames, frame)
	q.wake()
	return true
}

// finish says that no frame follows.
func (q *frameQueue) finish() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.finished = true
	q.wake()
}

func (q *frameQueue) wake() {
	select {
	case q.added <- struct{}{}:
	default:
	}
}

// take waits for the next frame. It returns nil if stop is closed, or if the queue is finished and
// that was the last one. The caller calls written for the frame.
func (q *frameQueue) take(stop <-chan struct{}) (frame []byte, finished bool) {
	for {
		frame, finished := q.next()
		if frame != nil || finished {
			return frame, finished
		}
		select {
		case <-q.added:
		case <-stop:
			return nil, false
		}
	}
}

func (q *frameQueue) next() (frame []byte, finished bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.frames) == 0 {
		q.frames = nil
		return nil, q.finished
	}
	frame = q.frames[0]
	q.frames = q.frames[1:]
	return frame, false
}

// written returns the memory of a frame that was taken.
func (q *frameQueue) written(frame []byte) { q.budget.Release(int64(len(frame))) }

// close returns the memory of all frames.
func (q *frameQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, frame := range q.frames {
		q.budget.Release(int64(len(frame)))
	}
	q.frames, q.closed = nil, true
}
