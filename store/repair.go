package store

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"

	"github.com/hashicorp/raft"
)

// recoveryFile exists in the data directory while the replica may have lost acknowledged entries,
// so that the recovery continues after a restart.
const recoveryFile = "recovering"

// ErrDamaged means that the log of the only replica has a gap, so that the missing entries are
// lost.
var ErrDamaged = errors.New("the log has a gap, and no other replica has the missing entries")

// recovery suspends the vote of a replica that may have lost acknowledged entries. The entries may
// have been committed by a majority that included this replica: a leader elected with its vote
// might not have them. The replica accepts entries as usual, and votes again once it has caught up
// with a leader that the others have elected.
type recovery struct {
	marker string // path of the recovery file
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

// begin starts a recovery, after recording it on disk.
func (r *recovery) begin() error {
	f, err := os.Create(r.marker)
	if err != nil {
		return fmt.Errorf("record the start of a recovery: %w", err)
	}
	if err := errors.Join(f.Sync(), f.Close(), syncDir(filepath.Dir(r.marker))); err != nil {
		return fmt.Errorf("record the start of a recovery: %w", err)
	}
	r.active.Store(true)
	return nil
}

// end restores the replica's vote. If the recovery file can't be removed, the next start begins
// another recovery.
func (r *recovery) end() error {
	r.active.Store(false)
	if err := os.Remove(r.marker); err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("record the end of a recovery: %w", err)
	}
	return nil
}

// syncDir makes changes of names in a directory durable.
func syncDir(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// firstMissing returns the first entry that is missing between the snapshot's last entry and the
// end of the log; 0 if none is.
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

// repairLog checks the replica's log for a gap, which would make raft end the process. It deletes
// the entries after the gap, which are fetched from the other replicas again.
func (r *Replica) repairLog(snapshots raft.SnapshotStore) error {
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
		return fmt.Errorf("%w: %s lacks entry %d, its last entry is %d", ErrDamaged, r.cfg.DataDir, missing, last)
	}
	r.cfg.logger().Error("the log has a gap, fetching the entries after it from the other replicas", "missing", missing, "last", last)
	if err := r.recovery.begin(); err != nil {
		return err
	}
	if err := r.disk.DeleteRange(missing, last); err != nil {
		return fmt.Errorf("truncate the log at its gap: %w", err)
	}
	return nil
}

// endRecovery ends a recovery, if one is active, once the replica has caught up.
func (r *Replica) endRecovery() {
	if !r.recovery.active.Load() {
		return
	}
	log := r.cfg.logger()
	if err := r.recovery.end(); err != nil {
		log.Error("the replica has caught up, but can't record the end of its recovery", "error", err)
	}
	log.Warn("the replica has caught up with the others and votes again")
}

// Recovering reports whether this replica may have lost acknowledged entries and is catching up
// from the others.
func (r *Replica) Recovering() bool { return r.recovery.active.Load() }
