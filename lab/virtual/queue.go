package virtual

import (
	"container/heap"
	"time"
)

type event struct {
	at  time.Duration
	seq int // order of scheduling, in which events of the same time happen
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// after schedules a function to run after a delay.
func (w *World) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + max(d, 0), w.seq, do})
}
