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

// raftFollower maintains its log as raft's followers do (raft.go, appendEntries): it remembers the
// last entry that it stored, and reads all others from the log.
type raftFollower struct {
	disk       *disk
	last, term uint64 // of the last entry
}

// appendEntries handles one message of entries that follow the previous entry. It reports whether
// they were accepted.
func (f *raftFollower) appendEntries(prev, prevTerm uint64, entries []*raft.Log) bool {
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

func (f *raftFollower) store(entries []*raft.Log) bool {
	if f.disk.StoreLogs(entries) != nil {
		return false
	}
	f.last, f.term = entries[len(entries)-1].Index, entries[len(entries)-1].Term
	return true
}

// Random write failures, with and without the failed entries left in the file: a follower's log has
// no gap, and every entry that it has acknowledged to a leader is present.
func TestFailedWritesLeaveNoGapInLog(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d, file := newFailingDisk(rapid.Bool().Draw(rt, "keeps"))
		f := &raftFollower{disk: d}
		var leader []*raft.Log // the leader's log, from index 1
		term := uint64(1)
		next := uint64(1) // the next index that the leader sends, ahead of the answers
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
				accepted := f.appendEntries(prev, prevTerm, leader[next-1:last])
				if next = last + 1; !accepted && rapid.Bool().Draw(rt, "the leader got the answer") {
					next = max(prev, 1)
				}
				for i := uint64(1); accepted && i <= last; i++ {
					var got raft.Log
					require.NoError(rt, d.GetLog(i, &got), "entry %d of %d", i, last)
					require.Equal(rt, leader[i-1].Term, got.Term, "entry %d of %d", i, last)
				}
			}
		}
	})
}

// A gap in the log, as faults of the software or of disks may leave, does not end the process: the
// replica logs it, fetches the entries after the gap from the other replicas, and has no vote until
// it has them.
func TestReplicaWithLogGapRecoversFromPeers(t *testing.T) {
	c := newCluster(t)
	leaderIndex := c.leader()
	leader := c.replicas[leaderIndex]
	require.NoError(t, leader.Create("/n", []byte("0"), ""))
	for i := range 20 {
		require.NoError(t, leader.Set("/n", []byte{byte(i)}, -1))
	}
	victim := (leaderIndex + 1) % 3
	c.close(victim)
	c.deleteLogEntries(victim, 9, 8)

	var log syncBuffer
	c.cfg[victim].Log = &log
	c.open(victim)
	require.Contains(t, log.String(), "the log has a gap")
	require.Eventually(t, func() bool {
		data, _, err := c.replicas[victim].Get("/n")
		return err == nil && bytes.Equal(data, []byte{19})
	}, waitLimit, pollInterval)
	require.Eventually(t, func() bool { return !c.replicas[victim].Recovering() }, waitLimit, pollInterval)
	require.NoError(t, c.do(func(l *Replica) error { return l.Set("/n", []byte("after"), -1) }))
	require.Eventually(t, func() bool { return c.replicas[victim].has("/n", "after") }, waitLimit, pollInterval)

	c.close(victim)
	c.open(victim) // the log is complete now, and the replica is an ordinary member
	require.False(t, c.replicas[victim].Recovering())
}

// An acknowledged write survives the loss of one replica's log: that replica does not vote for a
// candidate that may lack the write.
func TestReplicaWithLostLogDoesNotVote(t *testing.T) {
	c := newCluster(t)
	oldLeader := c.leader()
	leader, lagging, damaged := c.replicas[oldLeader], (oldLeader+1)%3, (oldLeader+2)%3
	require.NoError(t, leader.Create("/n", []byte("old"), ""))
	require.Eventually(t, func() bool { return c.replicas[lagging].has("/n", "old") && c.replicas[damaged].has("/n", "old") }, waitLimit, pollInterval)
	c.close(lagging)
	require.NoError(t, leader.Set("/n", []byte("acknowledged"), -1))
	require.Eventually(t, func() bool { return c.replicas[damaged].has("/n", "acknowledged") }, waitLimit, pollInterval)
	c.close(damaged)
	c.close(oldLeader)

	c.deleteLogEntries(damaged, 1, 1)
	c.open(damaged)
	c.open(lagging)
	time.Sleep(8 * testPace) // long enough for an election between these two alone
	require.True(t, c.replicas[damaged].Recovering())
	for _, i := range []int{damaged, lagging} {
		require.False(t, c.replicas[i].IsLeader(), "a replica that may lack an acknowledged write leads")
	}
	c.open(oldLeader)
	for _, i := range []int{damaged, lagging} {
		require.Eventually(t, func() bool { return c.replicas[i].has("/n", "acknowledged") }, waitLimit, pollInterval)
	}
}

// deleteLogEntries deletes entries from the log of a closed replica. The range is given as
// distances from the last entry.
func (c *cluster) deleteLogEntries(i int, from, to uint64) {
	logs, err := raftboltdb.NewBoltStore(filepath.Join(c.cfg[i].DataDir, "raft.db"))
	require.NoError(c.t, err)
	last, err := logs.LastIndex()
	require.NoError(c.t, err)
	require.NoError(c.t, logs.DeleteRange(last-from, last-to))
	require.NoError(c.t, logs.Close())
}

// has reports whether the replica has caught up and its node has the given data.
func (r *Replica) has(path, data string) bool {
	got, _, err := r.Get(path)
	return err == nil && string(got) == data
}

// syncBuffer is a buffer for a log that may be read while it is written.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}
