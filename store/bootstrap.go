package store

import (
	"errors"
	"fmt"

	"github.com/hashicorp/raft"
)

// bootstrap writes a replica's initial configuration, unless it already has one. Raft writes the
// term before the configuration, so a first start may have ended between the two, by a kill or a
// full disk; the next start then writes the missing configuration. The entry is the same at every
// replica, so it does not matter which of them have written it already.
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
		return nil // the replica already has a configuration
	}
	entry := &raft.Log{Index: 1, Term: 1, Type: raft.LogConfiguration, Data: raft.EncodeConfiguration(first)}
	if err := r.disk.StoreLog(entry); err != nil {
		return fmt.Errorf("first configuration: %w", err)
	}
	return nil
}
