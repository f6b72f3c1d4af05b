package store

import (
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/require"
)

var errDisk = errors.New("input/output error")

// failingFile keeps entries in memory. While it fails, writes return an error, with or without the
// entries being stored.
type failingFile struct {
	raft.InmemStore
	fails        atomic.Bool
	failuresLeft atomic.Int64 // number of writes that will fail
	keepsFailed  bool         // failed entries are stored all the same
}

// failNext makes the next n writes fail.
func (f *failingFile) failNext(n int) { f.failuresLeft.Store(int64(n)) }

func (f *failingFile) Close() error { return nil }

func (f *failingFile) StoreLogs(logs []*raft.Log) error {
	if !f.fails.Load() && f.failuresLeft.Add(-1) < 0 {
		return f.InmemStore.StoreLogs(logs)
	}
	if f.keepsFailed {
		_ = f.InmemStore.StoreLogs(logs)
	}
	return errDisk
}

func (f *failingFile) SetUint64(key []byte, value uint64) error {
	if f.fails.Load() {
		return errDisk
	}
	return f.InmemStore.SetUint64(key, value)
}

func newFailingDisk(keepsFailed bool) (*disk, *failingFile) {
	f := &failingFile{InmemStore: *raft.NewInmemStore(), keepsFailed: keepsFailed}
	return newDisk(f, hclog.NewNullLogger()), f
}

func entries(term uint64, first, last uint64) (out []*raft.Log) {
	for i := first; i <= last; i++ {
		out = append(out, &raft.Log{Index: i, Term: term})
	}
	return out
}

// A failed write of entries is reported, and none of the failed entries follows entries that are
// written later.
func TestFailedEntriesDoNotReappear(t *testing.T) {
	for _, keeps := range []bool{false, true} {
		d, f := newFailingDisk(keeps)
		require.NoError(t, d.StoreLogs(entries(1, 1, 3)))
		f.fails.Store(true)
		require.ErrorIs(t, d.StoreLogs(entries(1, 4, 9)), errDisk)
		require.ErrorIs(t, d.StoreLogs(entries(1, 4, 6)), errDisk)
		f.fails.Store(false)
		require.NoError(t, d.StoreLogs(entries(2, 4, 5)))
		last, err := d.LastIndex()
		require.NoError(t, err)
		require.Equal(t, uint64(5), last)
		var got raft.Log
		require.NoError(t, d.GetLog(4, &got))
		require.Equal(t, uint64(2), got.Term)
	}
}

// A term is reported as saved only once the disk accepts it; a replica that is closed meanwhile
// does not wait for the disk.
func TestTermIsSavedOnceDiskRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, f := newFailingDisk(false)
		f.fails.Store(true)
		var saved atomic.Int64
		var all sync.WaitGroup
		save := func(term uint64) {
			all.Go(func() {
				if d.SetUint64([]byte("term"), term) == nil {
					saved.Add(1)
				}
			})
		}
		save(7)
		time.Sleep(time.Minute)
		require.Zero(t, saved.Load())
		f.fails.Store(false)
		time.Sleep(2 * maxDiskRetryPause)
		require.Equal(t, int64(1), saved.Load())
		term, err := d.GetUint64([]byte("term"))
		require.NoError(t, err)
		require.Equal(t, uint64(7), term)

		f.fails.Store(true)
		save(8)
		time.Sleep(time.Second)
		d.stop()
		all.Wait()
		require.Equal(t, int64(1), saved.Load())
	})
}
