package router

import (
	"hash/maphash"

	"lichenshelf/logic"
)

// maxExecuted bounds the names that are remembered, some 0.5 MB.
const maxExecuted = 16 << 10

// executedNames remembers the names of the latest requests that must not run twice, may have run and
// are no longer open. A client may send such a name again after it has left.
type executedNames struct {
	seed  maphash.Seed
	known map[uint64]bool
	order []uint64 // the oldest is replaced first
	next  int
}

func newExecutedNames() executedNames {
	return executedNames{seed: maphash.MakeSeed(), known: map[uint64]bool{}}
}

// has reports whether the name is remembered.
func (e *executedNames) has(name string) bool { return e.known[maphash.String(e.seed, name)] }

// add remembers a name, in place of the oldest if there are maxExecuted.
func (e *executedNames) add(name string) {
	hash := maphash.String(e.seed, name)
	if e.known[hash] {
		return
	}
	if len(e.order) < maxExecuted {
		e.order = append(e.order, hash)
	} else {
		delete(e.known, e.order[e.next])
		e.order[e.next] = hash
		e.next = (e.next + 1) % maxExecuted
	}
	e.known[hash] = true
}

// remember remembers the name of a request that is no longer open, if it must not run again.
func (e *executedNames) remember(ex *exchange, effect logic.Effect) {
	if effect != logic.EffectRepeatable && ex.rules.MayHaveRun() {
		e.add(ex.Name)
	}
}
