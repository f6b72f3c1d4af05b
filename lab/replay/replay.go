// Package replay records what an instance of the decision module was told and what it did, and compares a later
// version of the module with that, action by action. It is the net under changes that must not change a decision.
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

// Step is one call of the module: what it was told at a time, and what it did.
type Step struct {
	Now     logic.Time
	Events  []logic.Event
	Actions []logic.Action
}

// Recording is the life of one instance.
type Recording struct {
	Settings logic.Settings
	Seed     uint64
	Steps    []Step
}

// Add records one call. Events and actions are copied: their owners use them again.
func (r *Recording) Add(now logic.Time, events []logic.Event, actions []logic.Action) {
	events = slices.Clone(events)
	for i := range events {
		events[i].Members = slices.Clone(events[i].Members)
	}
	r.Steps = append(r.Steps, Step{now, events, slices.Clone(actions)})
}

// ErrDiffers is what Compare wraps where the module has done something else than was recorded.
var ErrDiffers = errors.New("the module decides otherwise than was recorded")

// Compare tells the module all that was recorded, and returns an error for the first action that is not the recorded one.
func (r *Recording) Compare() error {
	module := logic.New(r.Settings, r.Seed)
	for i, step := range r.Steps {
		got := module.Handle(step.Now, step.Events, nil)
		for j := range max(len(got), len(step.Actions)) {
			if j >= len(got) || j >= len(step.Actions) || got[j] != step.Actions[j] {
				return fmt.Errorf("%w: step %d of %d, action %d: %s, recorded %s", ErrDiffers, i, len(r.Steps), j, at(got, j), at(step.Actions, j))
			}
		}
	}
	return nil
}

func at(actions []logic.Action, i int) string {
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

// Read reads what Write has written. Fields that this version of the module does not know are an error.
func Read(r io.Reader) (*Recording, error) {
	z, err := gzip.NewReader(r)
	if err != nil {
		return nil, fmt.Errorf("read recording: %w", err)
	}
	mode, err := cbor.DecOptions{ExtraReturnErrors: cbor.ExtraDecErrorUnknownField, MaxArrayElements: mostSteps}.DecMode()
	if err != nil {
		return nil, fmt.Errorf("read recording: %w", err)
	}
	var rec Recording
	if err := mode.NewDecoder(z).Decode(&rec); err != nil {
		return nil, fmt.Errorf("read recording: %w", err)
	}
	return &rec, nil
}

// mostSteps bounds the calls that a recording may hold.
const mostSteps = 1 << 20

// Kinds counts the actions of each kind, by which one sees what a recording covers.
func (r *Recording) Kinds() map[logic.ActionKind]int {
	kinds := map[logic.ActionKind]int{}
	for _, step := range r.Steps {
		for _, a := range step.Actions {
			kinds[a.Kind]++
		}
	}
	return kinds
}
