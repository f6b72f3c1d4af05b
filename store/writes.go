package store

import (
	"errors"
	"fmt"
	"strconv"

	"github.com/valyala/fasthttp"
)

// Clients may name their writes. A write that is repeated under its name, as after a lost answer
// and at any replica, gets the answer of the first attempt and is not applied again. The answers to
// the latest maxAnswers named writes are part of the replicated state. If a name is not among them,
// the write is new or its answer has been dropped. To tell these apart, a write carries the
// operation that its client had seen when it first sent the write; if the write was applied, that
// happened later. If answers were dropped since then, the write is refused with ErrForgotten, since
// it may have been applied.

const (
	// WriteHeader names a write. Writes with the same name are applied once.
	WriteHeader = "X-Store-Write"
	// WriteSeenHeader is the operation that the client had seen (VersionHeader) when it first sent
	// the write; a missing header means 0.
	WriteSeenHeader = "X-Store-Write-Seen"
)

// maxAnswers bounds the number of retained answers, of about 150 bytes each.
const maxAnswers = 4096

// maxWriteNameBytes bounds the length of a write's name.
const maxWriteNameBytes = 64

// ErrForgotten means that a named write was not applied now but may have been applied before: its
// answer would have been dropped by now.
var ErrForgotten = errors.New("the answers to writes of that time are no longer kept")

// answers holds the results of named writes. It is part of the replicated state and of snapshots.
type answers struct {
	Kept []answer `json:"kept,omitempty"` // ordered by operation
	// Dropped is the operation of the most recently dropped answer.
	Dropped uint64 `json:"dropped,omitempty"`

	limit  int
	byName map[string]*answer
}

// answer is the result of one write.
type answer struct {
	Name    string `json:"name"`
	Index   uint64 `json:"index"`
	Session string `json:"session,omitempty"` // the session that was created
	Fault   string `json:"fault,omitempty"`   // name of the error, as in faults
	Message string `json:"message,omitempty"`
}

func newAnswers() answers { return answers{limit: maxAnswers, byName: map[string]*answer{}} }

// rebuildIndex rebuilds the index by name.
func (a *answers) rebuildIndex() {
	a.byName = map[string]*answer{}
	for i := range a.Kept {
		a.byName[a.Kept[i].Name] = &a.Kept[i]
	}
}

// find returns the result of a write, or nil if it has not been applied; ErrForgotten if that is no
// longer known.
func (a *answers) find(name string, seen uint64) (*Result, error) {
	if known := a.byName[name]; known != nil {
		return known.result(), nil
	}
	if seen < a.Dropped {
		return nil, fmt.Errorf("%w: it was sent at operation %d, and they are kept from %d on", ErrForgotten, seen, a.Dropped)
	}
	return nil, nil
}

// add stores the answer to an applied write, and drops the oldest answer if there are too many.
func (a *answers) add(name string, index uint64, r *Result) {
	kept := answer{Name: name, Index: index, Session: r.Session}
	if r.Err != nil {
		kept.Fault, kept.Message = faultName(r.Err), r.Err.Error()
	}
	if len(a.Kept) >= a.limit {
		a.Dropped = a.Kept[0].Index
		delete(a.byName, a.Kept[0].Name)
		a.Kept = a.Kept[1:]
	}
	a.Kept = append(a.Kept, kept)
	a.byName[name] = &kept
}

// result returns the original result of the write.
func (k *answer) result() *Result {
	return &Result{Index: k.Index, Failed: -1, Session: k.Session, Err: namedFault(k.Fault, k.Message)}
}

// named adds the write's name from the headers of a call to the command.
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

// checkWriteName accepts names of printable ASCII characters without spaces.
func checkWriteName(name string) error {
	if len(name) > maxWriteNameBytes {
		return fmt.Errorf("%w: %s: the name has %d bytes, not %d at most", errInput, WriteHeader, len(name), maxWriteNameBytes)
	}
	for _, c := range []byte(name) {
		if c <= ' ' || c > '~' {
			return fmt.Errorf("%w: %s: the name has the byte %#x", errInput, WriteHeader, c)
		}
	}
	return nil
}
