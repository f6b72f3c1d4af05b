package router

import (
	"hash/fnv"
	"strconv"
	"strings"

	"lichenshelf/logic"
)

// ServerIDs assigns every member's name its number, the same at every router: the hexadecimal end
// of the name, or a hash. A name that collides gets the next free number. The zero value is ready
// to use.
type ServerIDs struct {
	byName   map[string]logic.ServerID
	used     map[logic.ServerID]bool
	released []string
	idle     map[string]bool // released, and not requested since
}

// maxReleasedIDs bounds the numbers that are kept for released names.
const maxReleasedIDs = 4096

// ID returns the number of a name.
func (s *ServerIDs) ID(name string) logic.ServerID {
	delete(s.idle, name)
	if id, ok := s.byName[name]; ok {
		return id
	}
	if s.byName == nil {
		s.byName, s.used = map[string]logic.ServerID{}, map[logic.ServerID]bool{}
	}
	v, err := strconv.ParseUint(name[strings.LastIndexByte(name, '-')+1:], 16, 32)
	if err != nil {
		v = Hash(name)
	}
	id := logic.ServerID(v)
	for id == 0 || s.used[id] {
		id++
	}
	s.byName[name], s.used[id] = id, true
	return id
}

// Release marks a name as no longer in use. Its number is kept for a while, because the name may
// return and requests sent to it may still be in flight.
func (s *ServerIDs) Release(name string) {
	if _, ok := s.byName[name]; !ok || s.idle[name] {
		return
	}
	if s.idle == nil {
		s.idle = map[string]bool{}
	}
	s.idle[name] = true
	s.released = append(s.released, name)
	for len(s.released) > maxReleasedIDs {
		old := s.released[0]
		s.released = s.released[1:]
		if s.idle[old] {
			delete(s.idle, old)
			delete(s.used, s.byName[old])
			delete(s.byName, old)
		}
	}
}

// Hash returns a hash of s that is the same at every router.
func Hash(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return h.Sum64()
}
