package store

import (
	"net"
	"path/filepath"
	"testing"
	"time"

	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"github.com/stretchr/testify/require"
)

// A first start that ends between its two writes, the term and the initial configuration, is
// completed by the next start.
func TestInterruptedFirstStartIsResumed(t *testing.T) {
	free := func() string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer l.Close()
		return l.Addr().String()
	}
	cfg := Config{ID: "a", DataDir: t.TempDir(), HeartbeatTimeout: 50 * time.Millisecond, Peers: []Peer{{ID: "a", Raft: free(), API: free()}}}
	logs, err := raftboltdb.NewBoltStore(filepath.Join(cfg.DataDir, "raft.db"))
	require.NoError(t, err)
	require.NoError(t, logs.SetUint64([]byte("CurrentTerm"), 1))
	require.NoError(t, logs.Close())
	r, err := Open(cfg)
	require.NoError(t, err)
	defer r.Close()
	require.Eventually(t, r.IsLeader, 10*time.Second, time.Millisecond)
	require.NoError(t, r.Create("/n", nil, ""))
}
