package store

import (
	"io"
	"runtime"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
)

// diskRetryLeast and diskRetryMost bound the pause before a write that failed is tried again.
const (
	diskRetryLeast = 20 * time.Millisecond
	diskRetryMost  = 500 * time.Millisecond
)

// logFile is where raft's log and its term are kept.
type logFile interface {
	raft.LogStore
	raft.StableStore
	io.Closer
}

// disk is a log file whose writes may fail for a while (ENOSPC, EIO). Raft ends the process where its term can't be saved,
// and is stuck where a deletion fails, so those writes are tried again until they succeed: until then this replica votes for
// nobody and acknowledges nothing, and the other replicas go on without it. A failed write of log entries is returned, by
// which a leader steps down.
//
// After a failed fsync the kernel may take pages for clean that never reached the disk, so that syncing them again proves
// nothing. Nothing here relies on that: the file below (bbolt) is copy-on-write, and a write that is tried again is a new
// transaction, which writes every page that it refers to and that was not in a transaction synced before, and then its own
// meta page. What failed may still be found in the file, as after a crash; entries of which that is so are deleted before
// others are written, or they would stand behind the next leader's. Until then lookups don't find them: raft takes an entry that
// it finds for one that is stored, and would store others behind one that is about to be deleted.
//
// Where raft has just cleared the end of its log, it counts on the write of what replaces it (raft.go, appendEntries: it goes on as
// if what was cleared were there). That write is tried again until it succeeds, too.
type disk struct {
	file    logFile
	log     hclog.Logger
	closing chan struct{}

	writes   progress
	mu       sync.Mutex
	doubtful indexes // entries that may be in the file though writing them failed
	cleared  bool    // the end of the log was deleted, and nothing has been written since
	failing  bool    // told in the log, and nothing has been written since
}

// indexes are those of log entries, first and last; the zero value is none.
type indexes struct{ first, last uint64 }

// with returns a range that covers another one too.
func (i indexes) with(other indexes) indexes {
	if i == (indexes{}) {
		return other
	}
	return indexes{min(i.first, other.first), max(i.last, other.last)}
}

// has tells whether an index is in the range.
func (i indexes) has(index uint64) bool {
	return i != (indexes{}) && i.first <= index && index <= i.last
}

// before is the last index before the range; the given one, if there is no range.
func (i indexes) before(last uint64) uint64 {
	if i == (indexes{}) {
		return last
	}
	return i.first - 1
}

func newDisk(file logFile, log hclog.Logger) *disk {
	return &disk{file: file, log: log, closing: make(chan struct{})}
}

// shut ends the waits for the disk. It is to be called once, before raft is shut down.
func (d *disk) shut() { close(d.closing) }

// FirstIndex implements raft.LogStore.
func (d *disk) FirstIndex() (uint64, error) { return d.file.FirstIndex() }

// LastIndex implements raft.LogStore.
func (d *disk) LastIndex() (uint64, error) { return d.file.LastIndex() }

// GetLog implements raft.LogStore.
func (d *disk) GetLog(index uint64, log *raft.Log) error {
	d.mu.Lock()
	doubtful := d.doubtful.has(index)
	d.mu.Unlock()
	if doubtful {
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
	cleared := d.cleared
	d.mu.Unlock()
	if cleared {
		return d.untilDone(func() error { return d.store(logs) })
	}
	return d.store(logs)
}

// store writes entries once.
func (d *disk) store(logs []*raft.Log) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.doubtful != (indexes{}) {
		if err := d.write(func() error { return d.file.DeleteRange(d.doubtful.first, d.doubtful.last) }); err != nil {
			d.failed(err)
			return err
		}
		d.doubtful = indexes{}
	}
	err := d.write(func() error { return d.file.StoreLogs(logs) })
	if err != nil {
		d.doubtful = d.doubtful.with(indexes{logs[0].Index, logs[len(logs)-1].Index})
		d.failed(err)
		return err
	}
	d.cleared = false
	d.succeeded()
	return nil
}

// DeleteRange implements raft.LogStore.
func (d *disk) DeleteRange(first, last uint64) error {
	end, err := d.file.LastIndex()
	if err != nil {
		return err
	}
	if err := d.untilWritten(func() error { return d.file.DeleteRange(first, last) }); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cleared = d.cleared || last >= min(end, d.doubtful.before(end))
	return nil
}

// Set implements raft.StableStore.
func (d *disk) Set(key, value []byte) error {
	return d.untilWritten(func() error { return d.file.Set(key, value) })
}

// SetUint64 implements raft.StableStore.
func (d *disk) SetUint64(key []byte, value uint64) error {
	return d.untilWritten(func() error { return d.file.SetUint64(key, value) })
}

// Get implements raft.StableStore.
func (d *disk) Get(key []byte) ([]byte, error) { return d.file.Get(key) }

// GetUint64 implements raft.StableStore.
func (d *disk) GetUint64(key []byte) (uint64, error) { return d.file.GetUint64(key) }

// write makes one write to the file.
func (d *disk) write(do func() error) error {
	defer d.writes.begin(time.Now)()
	return do()
}

// untilWritten writes to the file until it succeeds.
func (d *disk) untilWritten(do func() error) error {
	return d.untilDone(func() error { return d.write(do) })
}

// untilDone tries until it succeeds. Where the replica is closed before that, the calling goroutine, one of raft's own,
// ends here: raft takes an error for a reason to end the process.
func (d *disk) untilDone(do func() error) error {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = diskRetryLeast, diskRetryMost
	for {
		err := do()
		d.mu.Lock()
		if err == nil {
			d.succeeded()
			d.mu.Unlock()
			return nil
		}
		d.failed(err)
		d.mu.Unlock()
		select {
		case <-time.After(pause.NextBackOff()):
		case <-d.closing:
			runtime.Goexit()
		}
	}
}

// failed and succeeded tell people of a disk that takes no writes, once, and of its end. The lock is held.
func (d *disk) failed(err error) {
	if !d.failing {
		d.log.Error("the disk takes no writes, the replica waits for it", "error", err)
	}
	d.failing = true
}

func (d *disk) succeeded() {
	if d.failing {
		d.log.Warn("the disk takes writes again")
	}
	d.failing = false
}
