package router

import (
	"hash/fnv"
	"strconv"
	"strings"

	"lichenshelf/logic"
)

// ServerIDs gives every member's name its number, the same at every router: the
// hexadecimal end of the name, or a hash. Names that collide get the next free
// one. The zero value is ready.
type ServerIDs struct {
	byName   map[string]logic.ServerID
	taken    map[logic.ServerID]bool
	released []string
	idle     map[string]bool // released, and not asked for since
}

// keptIDs bounds the numbers that are kept for names that were released.
const keptIDs = 4096

// ID returns the number of a name.
func (s *ServerIDs) ID(name string) logic.ServerID {
	delete(s.idle, name)
	if id, ok := s.byName[name]; ok {
		return id
	}
	if s.byName == nil {
		s.byName, s.taken = map[string]logic.ServerID{}, map[logic.ServerID]bool{}
	}
	v, err := strconv.ParseUint(name[strings.LastIndexByte(name, '-')+1:], 16, 32)
	if err != nil {
		v = Hash(name)
	}
	id := logic.ServerID(v)
	for id == 0 || s.taken[id] {
		id++
	}
	s.byName[name], s.taken[id] = id, true
	return id
}

// Release says that a name is no longer in use. Its number is kept for a while:
// it may come back, and what was sent to it may still be out.
func (s *ServerIDs) Release(name string) {
	if _, ok := s.byName[name]; !ok || s.idle[name] {
		return
	}
	if s.idle == nil {
		s.idle = map[string]bool{}
	}
	s.idle[name] = true
	s.released = append(s.released, name)
	for len(s.released) > keptIDs {
		old := s.released[0]
		s.released = s.released[1:]
		if s.idle[old] {
			delete(s.idle, old)
			delete(s.taken, s.byName[old])
			delete(s.byName, old)
		}
	}
}

// Hash is the same at every router.
func Hash(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return h.Sum64()
}
