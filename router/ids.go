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
	byName map[string]logic.ServerID
	taken  map[logic.ServerID]bool
}

// ID returns the number of a name.
func (s *ServerIDs) ID(name string) logic.ServerID {
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

// Hash is the same at every router.
func Hash(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return h.Sum64()
}
