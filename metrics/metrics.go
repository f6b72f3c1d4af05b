// Package metrics provides the router's named counters.
package metrics

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
)

// Set is a set of named counters. The zero value is ready to use. It is safe for concurrent use.
type Set struct {
	mu sync.Mutex
	n  map[string]int64
}

// Add adds n to the named counter.
func (s *Set) Add(name string, n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.n == nil {
		s.n = map[string]int64{}
	}
	s.n[name] += n
}

// Get returns the value of the named counter.
func (s *Set) Get(name string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.n[name]
}

// All returns a copy of all counters.
func (s *Set) All() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.n)
}

// Print writes all counters, one per line, sorted by name.
func (s *Set) Print(w io.Writer) error {
	n := s.All()
	for _, name := range slices.Sorted(maps.Keys(n)) {
		if _, err := fmt.Fprintf(w, "%s %d\n", name, n[name]); err != nil {
			return fmt.Errorf("print counters: %w", err)
		}
	}
	return nil
}
