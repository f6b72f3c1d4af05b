package store

import (
	"io"
	"runtime"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"

	"lichenshelf/internal/transient"
)

// minDiskRetryPause and maxDiskRetryPause bound the pause between retries of a failed write.
const (
	minDiskRetryPause = 20 * time.Millisecond
	maxDiskRetryPause = 500 * time.Millisecond
)

// logFile stores raft's log and its term.
type logFile interface {
	raft.LogStore
	raft.StableStore
	io.Closer
}

// disk is a log file that tolerates temporary write errors (ENOSPC, EIO). Raft ends the process if
// its term can't be saved, and gets stuck if a deletion fails, so those writes are retried until
// they succeed. Until then this replica neither votes nor acknowledges anything, and the other
// replicas go on without it. A failed write of log entries is returned, which makes a leader step
// down.
//
// After a failed fsync the kernel may mark pages as clean that never reached the disk, so a later
// successful fsync proves nothing. This type does not rely on it: the underlying file (bbolt) is
// copy-on-write, and a retry is a new transaction, which writes every page that it refers to and
// that was not part of a synced transaction, followed by its own meta page. Entries whose write
// failed may still be in the file, as after a crash. They are deleted before other entries are
// written, since they would otherwise follow the next leader's entries. Until then lookups don't
// return them: raft regards an entry that it finds as stored, and would append others to one that
// is about to be deleted.
//
// After raft has truncated its log, it relies on the write of the replacement entries (raft.go,
// appendEntries, goes on as if the truncated entries still existed). That write is retried until it
// succeeds, too.
type disk struct {
	file    logFile
	log     hclog.Logger
	closing chan struct{}

	writes    progress
	mu        sync.Mutex
	suspect   indexRange // entries that may be in the file although their write failed
	truncated bool       // the end of the log was deleted, and nothing has been written since
	failing   bool       // a failure was logged, and no write has succeeded since
}

// indexRange is a range of log entries, inclusive; the zero value is empty.
type indexRange struct{ first, last uint64 }

// union returns the smallest range that covers both.
func (i indexRange) union(other indexRange) indexRange {
	if i == (indexRange{}) {
		return other
	}
	return indexRange{min(i.first, other.first), max(i.last, other.last)}
}

// contains reports whether an index is in the range.
func (i indexRange) contains(index uint64) bool {
	return i != (indexRange{}) && i.first <= index && index <= i.last
}

// lastBefore returns the last index before the range, or the given one if the range is empty.
func (i indexRange) lastBefore(last uint64) uint64 {
	if i == (indexRange{}) {
		return last
	}
	return i.first - 1
}

func newDisk(file logFile, log hclog.Logger) *disk {
	return &disk{file: file, log: log, closing: make(chan struct{})}
}

// stop ends all waits for the disk. It must be called once, before raft is shut down.
func (d *disk) stop() { close(d.closing) }

// FirstIndex implements raft.LogStore.
func (d *disk) FirstIndex() (uint64, error) { return d.file.FirstIndex() }

// LastIndex implements raft.LogStore.
func (d *disk) LastIndex() (uint64, error) { return d.file.LastIndex() }

// GetLog implements raft.LogStore.
func (d *disk) GetLog(index uint64, log *raft.Log) error {
	d.mu.Lock()
	suspect := d.suspect.contains(index)
	d.mu.Unlock()
	if suspect {
		return raft.ErrLogNotFound
	}
	return d.file.GetLog(index, log)
}

// StoreLog implements raft.LogStore.
func (d *disk) StoreLog(log *raft.Log) error { return d.StoreLogs([]*raft.Log{log}) }

// StoreLogs implements raft.LogStore.
func (d *disk) StoreLogs(logs []*raft.Log) error {
	if len(logs) == 0 {
		return nil
	}
	d.mu.Lock()
	truncated := d.truncated
	d.mu.Unlock()
	if truncated {
		return d.retryUntilDone(func() error { return d.store(logs) })
	}
	return d.store(logs)
}

// store writes entries, without retries.
func (d *disk) store(logs []*raft.Log) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.suspect != (indexRange{}) {
		if err := d.write(func() error { return d.file.DeleteRange(d.suspect.first, d.suspect.last) }); err != nil {
			d.logFailure(err)
			return err
		}
		d.suspect = indexRange{}
	}
	err := d.write(func() error { return d.file.StoreLogs(logs) })
	if err != nil {
		d.suspect = d.suspect.union(indexRange{logs[0].Index, logs[len(logs)-1].Index})
		d.logFailure(err)
		return err
	}
	d.truncated = false
	d.logSuccess()
	return nil
}

// DeleteRange implements raft.LogStore.
func (d *disk) DeleteRange(first, last uint64) error {
	end, err := d.file.LastIndex()
	if err != nil {
		return err
	}
	if err := d.retryWrite(func() error { return d.file.DeleteRange(first, last) }); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.truncated = d.truncated || last >= min(end, d.suspect.lastBefore(end))
	return nil
}

// Set implements raft.StableStore.
func (d *disk) Set(key, value []byte) error {
	return d.retryWrite(func() error { return d.file.Set(key, value) })
}

// SetUint64 implements raft.StableStore.
func (d *disk) SetUint64(key []byte, value uint64) error {
	return d.retryWrite(func() error { return d.file.SetUint64(key, value) })
}

// Get implements raft.StableStore.
func (d *disk) Get(key []byte) ([]byte, error) { return d.file.Get(key) }

// GetUint64 implements raft.StableStore.
func (d *disk) GetUint64(key []byte) (uint64, error) { return d.file.GetUint64(key) }

// write performs one write to the file.
func (d *disk) write(do func() error) error {
	defer d.writes.begin(time.Now)()
	return do()
}

// retryWrite repeats a write to the file until it succeeds.
func (d *disk) retryWrite(do func() error) error {
	return d.retryUntilDone(func() error { return d.write(do) })
}

// retryUntilDone repeats a call until it succeeds. If the replica is closed first, the calling
// goroutine, which is raft's, ends here: raft would end the process on an error.
func (d *disk) retryUntilDone(do func() error) error {
	pause := transient.NewBackoff(minDiskRetryPause, maxDiskRetryPause)
	for {
		err := do()
		d.mu.Lock()
		if err == nil {
			d.logSuccess()
			d.mu.Unlock()
			return nil
		}
		d.logFailure(err)
		d.mu.Unlock()
		select {
		case <-time.After(pause.NextBackOff()):
		case <-d.closing:
			runtime.Goexit()
		}
	}
}

// logFailure and logSuccess log the first of a series of failed writes, and its end. The lock is
// held.
func (d *disk) logFailure(err error) {
	if !d.failing {
		d.log.Error("writing to the disk fails, retrying until it succeeds", "error", err)
	}
	d.failing = true
}

func (d *disk) logSuccess() {
	if d.failing {
		d.log.Warn("writing to the disk succeeds again")
	}
	d.failing = false
}
