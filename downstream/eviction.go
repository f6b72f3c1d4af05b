package downstream

import (
	"container/list"
	"iter"
	"slices"
	"time"
)

// evictionClass is a group of connections of which the one that has been in it longest is evicted
// first.
type evictionClass int

const (
	endedLingering evictionClass = iota // ending, by phase
	endedWaiting
	endedReading
	waitingUnused // no byte has been received on them
	waitingUsed
	readingRequest
	inUse // with a complete request; never evicted
	evictionClasses
)

// class returns the connection's class. The owner's mu is held.
func (c *conn) class() evictionClass {
	switch {
	case c.phase == serving:
		return inUse
	case c.phase == lingering:
		return endedLingering
	case c.ending && c.phase == waiting:
		return endedWaiting
	case c.ending:
		return endedReading
	case c.phase == reading:
		return readingRequest
	case c.used:
		return waitingUsed
	}
	return waitingUnused
}

// evictionOrder holds all connections of a listener. It finds the victim without scanning them:
// under a flood of connections each new one evicts another, and a scan would take processor time
// from open requests.
type evictionOrder struct {
	classes [evictionClasses]list.List // of *conn, the longest in the class first
	size    int
}

// place moves a connection to the end of its current class; a new one is added.
func (o *evictionOrder) place(c *conn) {
	if c.orderElement == nil {
		o.size++
	} else {
		o.classes[c.orderClass].Remove(c.orderElement)
	}
	c.orderClass = c.class()
	c.orderElement = o.classes[c.orderClass].PushBack(c)
}

// remove removes a connection, if it is present.
func (o *evictionOrder) remove(c *conn) {
	if !o.has(c) {
		return
	}
	o.classes[c.orderClass].Remove(c.orderElement)
	c.orderElement = nil
	o.size--
}

// has reports whether a connection is present.
func (o *evictionOrder) has(c *conn) bool { return c.orderElement != nil }

// ending returns the number of connections that are ending.
func (o *evictionOrder) ending() int {
	return o.classes[endedLingering].Len() + o.classes[endedWaiting].Len() + o.classes[endedReading].Len()
}

// all iterates over the connections present at the start; they may be placed and removed meanwhile.
func (o *evictionOrder) all() iter.Seq[*conn] {
	all := make([]*conn, 0, o.size)
	for i := range o.classes {
		for e := o.classes[i].Front(); e != nil; e = e.Next() {
			all = append(all, e.Value.(*conn))
		}
	}
	return slices.Values(all)
}

// evictionRanks lists the classes in eviction order. Among the classes of one rank, the connection
// that has waited longest is evicted.
var evictionRanks = [][]evictionClass{{endedLingering}, {endedWaiting}, {endedReading}, {waitingUnused, waitingUsed}, {readingRequest}}

// victim returns the connection to evict for a reason, nil if there is none. If the oldest
// connection of a class is kept, all of the class are, because decideEnd goes by age within a
// class.
func (o *evictionOrder) victim(why endReason, now time.Time) *conn {
	for _, rank := range evictionRanks {
		var victim *conn
		for _, class := range rank {
			front := o.classes[class].Front()
			if front == nil {
				continue
			}
			c := front.Value.(*conn)
			if c.endActionFor(why, now) != keep && (victim == nil || c.since.Before(victim.since)) {
				victim = c
			}
		}
		if victim != nil {
			return victim
		}
	}
	return nil
}
