// Package replay records the events and actions of an instance of the decision module, and compares
// the actions of a later version of the module with the recorded ones. It guards changes that must
// not change a decision.
package replay

import (
	"compress/gzip"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"lichenshelf/logic"
)

// Step is one call of the module: the events that it handled at a time, and the actions that it
// returned.
type Step struct {
	Now     logic.Time
	Events  []logic.Event
	Actions []logic.Action
}

// Recording has all calls of one instance of the module since its start.
type Recording struct {
	Settings logic.Settings
	Seed     uint64
	Steps    []Step
}

// Add records one call. It copies the events and actions, as the caller reuses them.
func (r *Recording) Add(now logic.Time, events []logic.Event, actions []logic.Action) {
	events = slices.Clone(events)
	for i := range events {
		events[i].Members = slices.Clone(events[i].Members)
	}
	r.Steps = append(r.Steps, Step{now, events, slices.Clone(actions)})
}

// ErrDiffers is wrapped by the error of Compare when an action differs from the recorded one.
var ErrDiffers = errors.New("decision differs from the recording")

// Compare replays the recorded events to a new instance of the module, and returns an error for the
// first action that differs from the recorded one.
func (r *Recording) Compare() error {
	module := logic.New(r.Settings, r.Seed)
	for i, step := range r.Steps {
		got := module.Handle(step.Now, step.Events, nil)
		for j := range max(len(got), len(step.Actions)) {
			if j >= len(got) || j >= len(step.Actions) || got[j] != step.Actions[j] {
				return fmt.Errorf("%w: step %d of %d, action %d: %s, recorded %s", ErrDiffers, i, len(r.Steps), j, actionAt(got, j), actionAt(step.Actions, j))
			}
		}
	}
	return nil
}

func actionAt(actions []logic.Action, i int) string {
	if i >= len(actions) {
		return "none"
	}
	return fmt.Sprintf("%+v", actions[i])
}

// Write writes the recording, compressed.
func (r *Recording) Write(w io.Writer) error {
	z := gzip.NewWriter(w)
	if err := cbor.NewEncoder(z).Encode(r); err != nil {
		return fmt.Errorf("write recording: %w", err)
	}
	if err := z.Close(); err != nil {
		return fmt.Errorf("write recording: %w", err)
	}
	return nil
}

// Read reads a recording that Write has written. It returns an error for a field that this version
// of the module does not have.
func Read(r io.Reader) (*Recording, error) {
	z, err := gzip.NewReader(r)
	if err != nil {
		return nil, fmt.Errorf("read recording: %w", err)
	}
	mode, err := cbor.DecOptions{ExtraReturnErrors: cbor.ExtraDecErrorUnknownField, MaxArrayElements: maxSteps}.DecMode()
	if err != nil {
		return nil, fmt.Errorf("read recording: %w", err)
	}
	var rec Recording
	if err := mode.NewDecoder(z).Decode(&rec); err != nil {
		return nil, fmt.Errorf("read recording: %w", err)
	}
	return &rec, nil
}

// maxSteps is the maximum number of calls in a recording.
const maxSteps = 1 << 20

// Kinds counts the actions of each kind, which shows what the recording covers.
func (r *Recording) Kinds() map[logic.ActionKind]int {
	kinds := map[logic.ActionKind]int{}
	for _, step := range r.Steps {
		for _, a := range step.Actions {
			kinds[a.Kind]++
		}
	}
	return kinds
}
