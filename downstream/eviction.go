package downstream

import (
	"container/list"
	"iter"
	"slices"
	"time"
)

// evictionClass is a group of connections of which the one that has been in it for longest is missed least.
type evictionClass int

const (
	endedLingering evictionClass = iota // on their way out, by what they are at
	endedWaiting
	endedReading
	waitingUnused // nothing has come on them yet
	waitingUsed
	readingRequest
	inUse // a whole request is in hand: these never give way
	evictionClasses
)

// class tells where a connection stands; the lock is held.
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

// evictionOrder is all connections of a listener. It finds the one that gives way without looking at the others: a crowd of
// clients makes one give way with each that it opens, and what that costs is taken from the requests in hand.
type evictionOrder struct {
	classes [evictionClasses]list.List // of *conn, the one first that has been there for longest
	size    int
}

// place puts a connection where it stands now, behind the others there; a new one is added.
func (o *evictionOrder) place(c *conn) {
	if c.place == nil {
		o.size++
	} else {
		o.classes[c.placedIn].Remove(c.place)
	}
	c.placedIn = c.class()
	c.place = o.classes[c.placedIn].PushBack(c)
}

// remove takes a connection out, if it is there.
func (o *evictionOrder) remove(c *conn) {
	if !o.has(c) {
		return
	}
	o.classes[c.placedIn].Remove(c.place)
	c.place = nil
	o.size--
}

// has tells whether a connection is there.
func (o *evictionOrder) has(c *conn) bool { return c.place != nil }

// ending is how many connections are on their way out.
func (o *evictionOrder) ending() int {
	return o.classes[endedLingering].Len() + o.classes[endedWaiting].Len() + o.classes[endedReading].Len()
}

// all iterates over the connections that are there as it begins; they may be placed and removed meanwhile.
func (o *evictionOrder) all() iter.Seq[*conn] {
	all := make([]*conn, 0, o.size)
	for i := range o.classes {
		for e := o.classes[i].Front(); e != nil; e = e.Next() {
			all = append(all, e.Value.(*conn))
		}
	}
	return slices.Values(all)
}

// evictionRanks are the classes by how little their connections are missed; of classes of one rank the connection that has
// waited for longest gives way.
var evictionRanks = [][]evictionClass{{endedLingering}, {endedWaiting}, {endedReading}, {waitingUnused, waitingUsed}, {readingRequest}}

// victim returns the connection that gives way for a reason, nil if none may. What a class keeps of its oldest connection it
// keeps of all of them (endingOf goes by age within a class).
func (o *evictionOrder) victim(why reason, now time.Time) *conn {
	for _, rank := range evictionRanks {
		var victim *conn
		for _, class := range rank {
			front := o.classes[class].Front()
			if front == nil {
				continue
			}
			c := front.Value.(*conn)
			if c.end(why, now) != keep && (victim == nil || c.since.Before(victim.since)) {
				victim = c
			}
		}
		if victim != nil {
			return victim
		}
	}
	return nil
}
