package store

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"

	"github.com/hashicorp/raft"
)

// recoveryFile is in the data directory while a replica may have lost what it had acknowledged. It outlives restarts.
const recoveryFile = "recovering"

// ErrDamaged says that the log of the only replica has a hole: nobody else has what is missing.
var ErrDamaged = errors.New("the log has a hole, and no other replica has what is missing")

// recovery keeps a replica without a vote that may have lost what it had acknowledged. Others may have counted on that for a
// majority: a leader that it helps to elect might not have it either. It takes entries like all others, and has its vote back
// once it has caught up with a leader that the others have elected.
type recovery struct {
	marker string // the path of the recovery file
	active atomic.Bool
}

func newRecovery(dir string) (*recovery, error) {
	r := &recovery{marker: filepath.Join(dir, recoveryFile)}
	_, err := os.Stat(r.marker)
	switch {
	case err == nil:
		r.active.Store(true)
	case !errors.Is(err, os.ErrNotExist):
		return nil, fmt.Errorf("data directory: %w", err)
	}
	return r, nil
}

// begin notes that a recovery begins, on the disk first.
func (r *recovery) begin() error {
	f, err := os.Create(r.marker)
	if err != nil {
		return fmt.Errorf("note a recovery: %w", err)
	}
	if err := errors.Join(f.Sync(), f.Close(), syncDir(filepath.Dir(r.marker))); err != nil {
		return fmt.Errorf("note a recovery: %w", err)
	}
	r.active.Store(true)
	return nil
}

// end gives the replica its vote back. Where the disk can't note that, the next start begins without a vote once more.
func (r *recovery) end() error {
	r.active.Store(false)
	if err := os.Remove(r.marker); err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("note the end of a recovery: %w", err)
	}
	return nil
}

// syncDir makes the names in a directory last.
func syncDir(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// firstMissing returns the first entry that a log lacks between a snapshot's last one and its own; 0 if none.
func firstMissing(logs raft.LogStore, snapshot uint64) (uint64, error) {
	first, err := logs.FirstIndex()
	if err != nil {
		return 0, fmt.Errorf("read log: %w", err)
	}
	last, err := logs.LastIndex()
	if err != nil {
		return 0, fmt.Errorf("read log: %w", err)
	}
	if first > snapshot+1 {
		return snapshot + 1, nil
	}
	for i := max(first, snapshot+1); i > 0 && i <= last; i++ {
		var entry raft.Log
		if err := logs.GetLog(i, &entry); errors.Is(err, raft.ErrLogNotFound) {
			return i, nil
		} else if err != nil {
			return 0, fmt.Errorf("read entry %d of the log: %w", i, err)
		}
	}
	return 0, nil
}

// repair looks for a hole in the replica's log. What is behind one is of no use, and is taken from the others: raft would end
// the process.
func (r *Replica) repair(snapshots raft.SnapshotStore) error {
	kept, err := snapshots.List()
	if err != nil {
		return fmt.Errorf("read snapshots: %w", err)
	}
	snapshot := uint64(0)
	if len(kept) > 0 {
		snapshot = kept[0].Index
	}
	missing, err := firstMissing(r.disk, snapshot)
	if err != nil || missing == 0 {
		return err
	}
	last, err := r.disk.LastIndex()
	if err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	if len(r.cfg.Peers) == 1 {
		return fmt.Errorf("%w: %s lacks entry %d of %d", ErrDamaged, r.cfg.DataDir, missing, last)
	}
	r.cfg.logger().Error("the log has a hole, what is behind it is taken from the other replicas", "missing", missing, "last", last)
	if err := r.recovery.begin(); err != nil {
		return err
	}
	if err := r.disk.DeleteRange(missing, last); err != nil {
		return fmt.Errorf("cut the log at its hole: %w", err)
	}
	return nil
}

// recovered gives the replica its vote back, once it has caught up.
func (r *Replica) recovered() {
	if !r.recovery.active.Load() {
		return
	}
	log := r.cfg.logger()
	if err := r.recovery.end(); err != nil {
		log.Error("the replica has caught up, and can't note it", "error", err)
	}
	log.Warn("the replica has caught up with the others and votes again")
}

// Recovering tells whether this replica may have lost what it had acknowledged, and is being brought up from the others.
func (r *Replica) Recovering() bool { return r.recovery.active.Load() }
