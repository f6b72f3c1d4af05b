package store

import (
	"errors"
	"fmt"
	"strconv"

	"github.com/valyala/fasthttp"
)

// A write may be named by its client. Given again under its name, as after a lost answer and at whichever replica, it is answered
// with what it led to the first time and is not applied again. The answers of the latest mostAnswers named writes are part of the
// replicated state. A name that is not among them is new, or its answer has been dropped: a write says which operation its client
// had seen when the write was first sent, and it was applied after that if at all. If answers have been dropped since then it is
// refused with ErrForgotten, since it may have been applied.

const (
	// WriteHeader names a write. Writes of one name are applied once.
	WriteHeader = "X-Store-Write"
	// WriteSeenHeader is the operation that the client had seen (VersionHeader) when it first sent the write; 0 where it is missing.
	WriteSeenHeader = "X-Store-Write-Seen"
)

// mostAnswers bounds the answers that are kept, some 150 bytes each.
const mostAnswers = 4096

// mostWriteName bounds the name of a write, in bytes.
const mostWriteName = 64

// ErrForgotten says that a named write was not applied now, and that it may have been before: answers as old are not kept.
var ErrForgotten = errors.New("the answers to writes of that time are no longer kept")

// answers is the replicated record of what named writes have led to. It is exported to snapshots.
type answers struct {
	Kept []answer `json:"kept,omitempty"` // by the order of the operations
	// Dropped is the operation of the latest answer that was dropped.
	Dropped uint64 `json:"dropped,omitempty"`

	most   int
	byName map[string]*answer
}

// answer is what one write has led to.
type answer struct {
	Name    string `json:"name"`
	Index   uint64 `json:"index"`
	Session string `json:"session,omitempty"` // that was made
	Fault   string `json:"fault,omitempty"`   // as between replicas
	Message string `json:"message,omitempty"`
}

func newAnswers() answers { return answers{most: mostAnswers, byName: map[string]*answer{}} }

// index builds anew what follows from the list.
func (a *answers) index() {
	a.byName = map[string]*answer{}
	for i := range a.Kept {
		a.byName[a.Kept[i].Name] = &a.Kept[i]
	}
}

// find returns what a write has led to, or nil if it has to be applied; ErrForgotten if that can't be told any more.
func (a *answers) find(name string, seen uint64) (*Result, error) {
	if known := a.byName[name]; known != nil {
		return known.result(), nil
	}
	if seen < a.Dropped {
		return nil, fmt.Errorf("%w: it was sent at operation %d, and they are kept from %d on", ErrForgotten, seen, a.Dropped)
	}
	return nil, nil
}

// add keeps the answer to a write that has been applied, and drops the oldest one if there are too many.
func (a *answers) add(name string, index uint64, r *Result) {
	kept := answer{Name: name, Index: index, Session: r.Session}
	if r.Err != nil {
		kept.Fault, kept.Message = faultName(r.Err), r.Err.Error()
	}
	if len(a.Kept) >= a.most {
		a.Dropped = a.Kept[0].Index
		delete(a.byName, a.Kept[0].Name)
		a.Kept = a.Kept[1:]
	}
	a.Kept = append(a.Kept, kept)
	a.byName[name] = &kept
}

// result is the answer as the write had it.
func (k *answer) result() *Result {
	return &Result{Index: k.Index, Failed: -1, Session: k.Session, Err: namedFault(k.Fault, k.Message)}
}

// named adds the name that a call gives its write to the command.
func named(ctx *fasthttp.RequestCtx, c command) (command, error) {
	c.Write = string(ctx.Request.Header.Peek(WriteHeader))
	if err := checkWriteName(c.Write); err != nil {
		return c, err
	}
	seen := ctx.Request.Header.Peek(WriteSeenHeader)
	if len(seen) == 0 {
		return c, nil
	}
	var err error
	if c.Seen, err = strconv.ParseUint(string(seen), 10, 64); err != nil {
		return c, fmt.Errorf("%w: %s is %q, not the number of an operation", errInput, WriteSeenHeader, seen)
	}
	return c, nil
}

// checkWriteName takes names of printable ASCII without spaces.
func checkWriteName(name string) error {
	if len(name) > mostWriteName {
		return fmt.Errorf("%w: %s: the name has %d bytes, not %d at most", errInput, WriteHeader, len(name), mostWriteName)
	}
	for _, c := range []byte(name) {
		if c <= ' ' || c > '~' {
			return fmt.Errorf("%w: %s: the name has the byte %#x", errInput, WriteHeader, c)
		}
	}
	return nil
}
