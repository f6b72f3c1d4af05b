package modelapi

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"lichenshelf/logic"
	"lichenshelf/metrics"
	"lichenshelf/router"
	"lichenshelf/store"
)

// lists is a decider that only notes the lists of members.
type lists chan []logic.Member

func (l lists) Handle(_ logic.Time, events []logic.Event, actions []logic.Action) []logic.Action {
	for _, e := range events {
		l <- e.Members
	}
	return actions
}

// A registration that makes no sense must not take away a backend that serves.
func TestFleetFollowsTheStore(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	replica, err := store.Open(store.Config{ID: "r", DataDir: t.TempDir(), Pace: 100 * time.Millisecond,
		Peers: []store.Peer{{ID: "r", Raft: l.Addr().String()}}})
	require.NoError(t, err)
	defer func() { require.NoError(t, replica.Close()) }()
	require.Eventually(t, func() bool { return replica.Create(BackendsPath, nil, "") == nil }, 20*time.Second, time.Millisecond)

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	seen, counters, log := make(lists, 16), &metrics.Set{}, logrus.New()
	log.SetOutput(io.Discard)
	cfg := defaults()
	core := router.New(router.Config{Decider: seen, Transport: NewTransport(&cfg, 1, counters), Counters: counters})
	go core.Run(ctx)
	fleet := NewFleet(core, log)
	require.NoError(t, fleet.SetFile([]Backend{{Name: "f", Addr: "h:1"}}))
	require.Len(t, <-seen, 1)
	go fleet.Follow(ctx, replica)
	require.Len(t, <-seen, 1)
	const node = BackendsPath + "/m"
	require.NoError(t, replica.Create(node, []byte(`{"addr":"h:2"}`), ""))
	require.Len(t, <-seen, 2)
	require.NoError(t, replica.Set(node, []byte(`{"addr":"nowhere"}`), 0))
	require.Len(t, <-seen, 2)
	require.NoError(t, replica.Set(node, []byte(`{"addr":"h:2","draining":true}`), 1))
	list := <-seen
	require.Len(t, list, 2)
	require.Equal(t, logic.Draining, list[1].Health)
	require.NoError(t, replica.Delete(node, 2))
	require.Len(t, <-seen, 1)
	require.Error(t, fleet.SetFile([]Backend{{Name: "f", Addr: "nowhere"}}))
	require.True(t, fleet.Ready(), "the old list stays")
}
