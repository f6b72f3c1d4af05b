package store

import (
	"errors"
	"fmt"

	"github.com/hashicorp/raft"
)

// bootstrap gives a replica its first configuration, unless it has had one. Raft writes the term first and the
// configuration then: a start that ended in between, killed or for want of room, is taken up where it was. The same entry is
// the first one at every replica, so it does not matter which of them were in time.
func (r *Replica) bootstrap(rc *raft.Config, snapshots raft.SnapshotStore, first raft.Configuration) error {
	err := raft.BootstrapCluster(rc, r.disk, r.disk, snapshots, r.network, first)
	if err == nil {
		return nil
	}
	if !errors.Is(err, raft.ErrCantBootstrap) {
		return fmt.Errorf("first configuration: %w", err)
	}
	last, err := r.disk.LastIndex()
	if err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	kept, err := snapshots.List()
	if err != nil {
		return fmt.Errorf("read snapshots: %w", err)
	}
	if last > 0 || len(kept) > 0 {
		return nil // it goes on from where it was
	}
	entry := &raft.Log{Index: 1, Term: 1, Type: raft.LogConfiguration, Data: raft.EncodeConfiguration(first)}
	if err := r.disk.StoreLog(entry); err != nil {
		return fmt.Errorf("first configuration: %w", err)
	}
	return nil
}
