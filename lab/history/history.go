// Package history keeps what clients did to some registers and asks porcupine whether it is
// linearizable.
package history

import (
	"slices"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

// never is the end of a write that may take effect at any time, or not at all.
const never = 1 << 62

// call is one read or write of a register. Each write has a value of its own.
type call struct {
	register string
	write    bool
	value    string
}

// model is a register for each name, that begins with the value "0".
var model = porcupine.Model{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		by := map[string][]porcupine.Operation{}
		var names []string
		for _, op := range ops {
			name := op.Input.(call).register
			if by[name] == nil {
				names = append(names, name)
			}
			by[name] = append(by[name], op)
		}
		slices.Sort(names)
		out := make([][]porcupine.Operation, len(names))
		for i, name := range names {
			out[i] = by[name]
		}
		return out
	},
	Init: func() any { return "0" },
	Step: func(state, input, output any) (bool, any) {
		in := input.(call)
		if in.write {
			return true, in.value
		}
		return output.(string) == state.(string), state
	},
}

// History is safe for concurrent use.
type History struct {
	start time.Time
	mu    sync.Mutex
	ops   []porcupine.Operation
}

// New returns an empty history.
func New() *History { return &History{start: time.Now()} }

// Now is the time on the history's clock.
func (h *History) Now() int64 { return time.Since(h.start).Nanoseconds() }

func (h *History) add(op porcupine.Operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, op)
}

// Read notes that a client read a value from when it called until now.
func (h *History) Read(client int, register, value string, called int64) {
	h.add(porcupine.Operation{ClientId: client, Input: call{register, false, ""}, Output: value, Call: called, Return: h.Now()})
}

// Wrote notes a write that was acknowledged, or one of which nothing is known.
func (h *History) Wrote(client int, register, value string, called int64, acknowledged bool) {
	op := porcupine.Operation{ClientId: client, Input: call{register, true, value}, Call: called, Return: never}
	if acknowledged {
		op.Return = h.Now()
	}
	h.add(op)
}

// Check tells whether the history is linearizable, and how many operations it looked at. A
// write of which nothing is known, and that nobody read, says nothing and is left out; one that
// was read had taken effect when the first read of it ended.
func (h *History) Check(within time.Duration) (porcupine.CheckResult, int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	first := map[string]int64{}
	for _, op := range h.ops {
		if in := op.Input.(call); !in.write {
			key := in.register + " " + op.Output.(string)
			if at, ok := first[key]; !ok || op.Return < at {
				first[key] = op.Return
			}
		}
	}
	var kept []porcupine.Operation
	for _, op := range h.ops {
		if in := op.Input.(call); op.Return == never {
			at, ok := first[in.register+" "+in.value]
			if !ok || at < op.Call {
				if ok { // read before it was written: left as it is, for the check to find
					kept = append(kept, op)
				}
				continue
			}
			op.Return = at
		}
		kept = append(kept, op)
	}
	return porcupine.CheckOperationsTimeout(model, kept, within), len(kept)
}
