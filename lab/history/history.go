// Package history records the operations of clients on registers and checks with porcupine whether
// they are linearizable.
package history

import (
	"slices"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

// unknownReturn is the return time of an unacknowledged write, which may take effect at any time or
// not at all.
const unknownReturn = 1 << 62

// call is a read or write of a register. Each write has a unique value.
type call struct {
	register string
	write    bool
	value    string
}

// model is a set of independent registers, each with the initial value "0".
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

// History is a record of operations. It is safe for concurrent use.
type History struct {
	start time.Time
	mu    sync.Mutex
	ops   []porcupine.Operation
}

// New returns an empty history.
func New() *History { return &History{start: time.Now()} }

// Now returns the time on the history's clock, in nanoseconds.
func (h *History) Now() int64 { return time.Since(h.start).Nanoseconds() }

func (h *History) add(op porcupine.Operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, op)
}

// Read records that a client's read of a register, called at the given time, returned value now.
func (h *History) Read(client int, register, value string, called int64) {
	h.add(porcupine.Operation{ClientId: client, Input: call{register, false, ""}, Output: value, Call: called, Return: h.Now()})
}

// Wrote records a client's write, called at the given time and, if acknowledged, returned now. An
// unacknowledged write may have taken effect or not.
func (h *History) Wrote(client int, register, value string, called int64, acknowledged bool) {
	op := porcupine.Operation{ClientId: client, Input: call{register, true, value}, Call: called, Return: unknownReturn}
	if acknowledged {
		op.Return = h.Now()
	}
	h.add(op)
}

// Check reports whether the history is linearizable, and the number of operations that it checked.
// It leaves out an unacknowledged write whose value was never read, as that constrains nothing. One
// whose value was read had taken effect when the first read of it returned.
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
		if in := op.Input.(call); op.Return == unknownReturn {
			at, ok := first[in.register+" "+in.value]
			if !ok || at < op.Call {
				if ok { // read before it was written: kept, so that the check fails
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
