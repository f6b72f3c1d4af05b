package store

import (
	"bytes"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// follower keeps its log as raft's followers do (raft.go, appendEntries): it remembers the last entry that it has stored, and looks
// all others up.
type follower struct {
	disk       *disk
	last, term uint64 // of the last entry
}

// take handles one message with entries that follow another one. It tells whether they were taken.
func (f *follower) take(prev, prevTerm uint64, entries []*raft.Log) bool {
	if prev > 0 {
		known := raft.Log{Term: f.term}
		if prev != f.last && f.disk.GetLog(prev, &known) != nil || known.Term != prevTerm {
			return false
		}
	}
	for i, e := range entries {
		if e.Index > f.last {
			return f.store(entries[i:])
		}
		var known raft.Log
		if f.disk.GetLog(e.Index, &known) != nil {
			return false
		}
		if known.Term != e.Term {
			if f.disk.DeleteRange(e.Index, f.last) != nil {
				return false
			}
			return f.store(entries[i:])
		}
	}
	return true
}

func (f *follower) store(entries []*raft.Log) bool {
	if f.disk.StoreLogs(entries) != nil {
		return false
	}
	f.last, f.term = entries[len(entries)-1].Index, entries[len(entries)-1].Term
	return true
}

// However writes fail, and whether what failed is in the file all the same, a follower's log has no hole, and what a leader was told
// that it has is there.
func TestFailingWritesLeaveNoHoleInALog(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d, file := newFailingDisk(rapid.Bool().Draw(rt, "keeps"))
		f := &follower{disk: d}
		var leader []*raft.Log // its log, from index 1
		term := uint64(1)
		next := uint64(1) // what the leader sends next, ahead of the answers
		for range 40 {
			switch rapid.SampledFrom([]string{"write", "write", "send", "send", "send", "fail", "works", "another leader"}).Draw(rt, "step") {
			case "write":
				leader = append(leader, &raft.Log{Index: uint64(len(leader)) + 1, Term: term})
			case "fail":
				file.failNext(rapid.IntRange(1, 3).Draw(rt, "writes"))
			case "works":
				file.failNext(0)
			case "another leader":
				term++
				leader = leader[:rapid.IntRange(0, len(leader)).Draw(rt, "of them")]
				next = uint64(len(leader)) + 1
			case "send":
				if next > uint64(len(leader)) {
					next = uint64(rapid.IntRange(1, len(leader)+1).Draw(rt, "from"))
				}
				last := min(next+uint64(rapid.IntRange(0, 3).Draw(rt, "more")), uint64(len(leader)))
				if next > last {
					continue
				}
				prev, prevTerm := next-1, uint64(0)
				if prev > 0 {
					prevTerm = leader[prev-1].Term
				}
				took := f.take(prev, prevTerm, leader[next-1:last])
				if next = last + 1; !took && rapid.Bool().Draw(rt, "the leader has heard") {
					next = max(prev, 1)
				}
				for i := uint64(1); took && i <= last; i++ {
					var got raft.Log
					require.NoError(rt, d.GetLog(i, &got), "entry %d of %d", i, last)
					require.Equal(rt, leader[i-1].Term, got.Term, "entry %d of %d", i, last)
				}
			}
		}
	})
}

// A log with a hole, as faults of ours and of disks may leave, ends no process: the replica takes what is behind the hole from the
// others, says so, and has no vote until it is there.
func TestAReplicaWhoseLogHasAHoleIsBroughtUpFromTheOthers(t *testing.T) {
	c := newCluster(t)
	at := c.leader()
	leader := c.replicas[at]
	require.NoError(t, leader.Create("/n", []byte("0"), ""))
	for i := range 20 {
		require.NoError(t, leader.Set("/n", []byte{byte(i)}, -1))
	}
	victim := (at + 1) % 3
	c.close(victim)
	c.pierce(victim, 9, 8)

	var log lockedBuffer
	c.cfg[victim].Log = &log
	c.open(victim)
	require.Contains(t, log.String(), "the log has a hole")
	require.Eventually(t, func() bool {
		data, _, err := c.replicas[victim].Get("/n")
		return err == nil && bytes.Equal(data, []byte{19})
	}, patient, soon)
	require.Eventually(t, func() bool { return !c.replicas[victim].Recovering() }, patient, soon)
	require.NoError(t, c.do(func(l *Replica) error { return l.Set("/n", []byte("after"), -1) }))
	require.Eventually(t, func() bool { return c.replicas[victim].has("/n", "after") }, patient, soon)

	c.close(victim)
	c.open(victim) // it is whole now, and a member like all others
	require.False(t, c.replicas[victim].Recovering())
}

// What was acknowledged is not lost where one replica has lost it: the replica votes for nobody who may not have it either.
func TestAReplicaThatHasLostItsLogDoesNotVote(t *testing.T) {
	c := newCluster(t)
	was := c.leader()
	leader, behind, damaged := c.replicas[was], (was+1)%3, (was+2)%3
	require.NoError(t, leader.Create("/n", []byte("old"), ""))
	require.Eventually(t, func() bool { return c.replicas[behind].has("/n", "old") && c.replicas[damaged].has("/n", "old") }, patient, soon)
	c.close(behind)
	require.NoError(t, leader.Set("/n", []byte("acknowledged"), -1))
	require.Eventually(t, func() bool { return c.replicas[damaged].has("/n", "acknowledged") }, patient, soon)
	c.close(damaged)
	c.close(was)

	c.pierce(damaged, 1, 1)
	c.open(damaged)
	c.open(behind)
	time.Sleep(8 * pace) // elections of these two alone would be over by then
	require.True(t, c.replicas[damaged].Recovering())
	for _, i := range []int{damaged, behind} {
		require.False(t, c.replicas[i].IsLeader(), "one that may not have what was acknowledged leads")
	}
	c.open(was)
	for _, i := range []int{damaged, behind} {
		require.Eventually(t, func() bool { return c.replicas[i].has("/n", "acknowledged") }, patient, soon)
	}
}

// pierce takes entries out of the log of a replica that is closed, from one so many before its last to another.
func (c *cluster) pierce(i int, from, to uint64) {
	logs, err := raftboltdb.NewBoltStore(filepath.Join(c.cfg[i].DataDir, "raft.db"))
	require.NoError(c.t, err)
	last, err := logs.LastIndex()
	require.NoError(c.t, err)
	require.NoError(c.t, logs.DeleteRange(last-from, last-to))
	require.NoError(c.t, logs.Close())
}

// has tells whether the replica has caught up and has a node with these data.
func (r *Replica) has(path, data string) bool {
	got, _, err := r.Get(path)
	return err == nil && string(got) == data
}

// lockedBuffer is a log that may be read while it is written.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}
