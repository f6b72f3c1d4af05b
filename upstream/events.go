package upstream

import (
	"slices"
	"sync"
)

// minEventBuffer is the size in bytes of an answer's first event buffer: room for two reads.
const minEventBuffer = 2 * readBuffer

// eventBuffer holds the part of a stream that has not been handed on: whole events, then an
// incomplete one. It always has room for another read of readBuffer bytes.
type eventBuffer struct {
	memory   *answerMemory
	data     []byte
	start    int     // of the bytes not handed on yet
	ready    int     // end of the whole events
	large    *[]byte // the buffer of data; nil for one of minEventBuffer
	reserved int64   // of the memory, for large
}

// hasReady reports whether there are bytes to be handed on.
func (e *eventBuffer) hasReady() bool { return e.start < e.ready }

// isEmpty reports whether the buffer holds no bytes.
func (e *eventBuffer) isEmpty() bool { return e.start == len(e.data) }

// add adds a part of at most readBuffer bytes, of which the first end bytes complete events. If
// there is no memory for more, or the stream ends, the incomplete event is ready as well; add
// returns false then.
func (e *eventBuffer) add(part []byte, end int, last bool) (whole bool) {
	if e.data == nil {
		e.data = make([]byte, 0, minEventBuffer)
	}
	if end > 0 {
		e.ready = len(e.data) + end
	}
	e.data = append(e.data, part...)
	if last || !e.makeRoom() {
		e.ready = len(e.data)
		return false
	}
	return true
}

// read hands on ready bytes.
func (e *eventBuffer) read(p []byte) int {
	n := copy(p, e.data[e.start:e.ready])
	if e.start += n; e.isEmpty() {
		e.reset()
	}
	return n
}

// reset drops the bytes and a large buffer.
func (e *eventBuffer) reset() {
	if e.large != nil {
		putChunkBuffer(e.large)
		e.memory.release(e.reserved)
		e.large, e.data, e.reserved = nil, nil, 0
	}
	e.data, e.start, e.ready = e.data[:0], 0, 0
}

// makeRoom makes room for another read, in a larger buffer if need be.
func (e *eventBuffer) makeRoom() bool {
	if cap(e.data)-len(e.data) >= readBuffer {
		return true
	}
	if e.start > 0 {
		n := copy(e.data, e.data[e.start:])
		e.data, e.ready, e.start = e.data[:n], e.ready-e.start, 0
	}
	if cap(e.data)-len(e.data) >= readBuffer {
		return true
	}
	return e.grow()
}

// grow moves the bytes to the next larger buffer, and returns false if there is none or no memory
// for it.
func (e *eventBuffer) grow() bool {
	class := slices.IndexFunc(chunkBufferSizes[:], func(size int) bool { return size > cap(e.data) })
	if class < 0 || !e.memory.tryAdd(int64(chunkBufferSizes[class])) {
		return false
	}
	larger := getChunkBuffer(chunkBufferSizes[class])
	data := append((*larger)[:0], e.data...)
	if e.large != nil {
		putChunkBuffer(e.large)
		e.memory.release(e.reserved)
	}
	e.data, e.large, e.reserved = data, larger, int64(chunkBufferSizes[class])
	return true
}

// chunkBufferSizes are the sizes in bytes of the buffers for what does not fit into freeBuffer. They
// are used again: a fast stream would otherwise make garbage faster than it is collected.
var chunkBufferSizes = [...]int{16 << 10, 64 << 10, maxChunk}

var chunkBuffers [len(chunkBufferSizes)]sync.Pool

// getChunkBuffer returns a buffer for at most maxChunk bytes.
func getChunkBuffer(size int) *[]byte {
	class := chunkBufferClass(size)
	if b, ok := chunkBuffers[class].Get().(*[]byte); ok {
		return b
	}
	b := make([]byte, chunkBufferSizes[class])
	return &b
}

func putChunkBuffer(b *[]byte) { chunkBuffers[chunkBufferClass(len(*b))].Put(b) }

// chunkBufferClass returns the index of the smallest size that holds size bytes.
func chunkBufferClass(size int) int {
	return slices.IndexFunc(chunkBufferSizes[:], func(n int) bool { return size <= n })
}
