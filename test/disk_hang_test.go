package test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"lichenshelf/internal/standin/syscalls"
)

// putWithinTimeout writes to the store and reports whether the write was acknowledged within the
// timeout of shortTimeoutClient.
func putWithinTimeout(t *testing.T, url, body string) bool {
	req, err := http.NewRequest(http.MethodPut, url, strings.NewReader(body))
	require.NoError(t, err)
	resp, err := shortTimeoutClient.Do(req)
	if err != nil {
		return false
	}
	require.NoError(t, resp.Body.Close())
	return resp.StatusCode == http.StatusNoContent
}

// Guards against a store that is blocked by a leader whose disk hangs. Another replica must take
// over and accept writes; the old leader must stop on SIGTERM, and have all writes after a restart
// on a disk that works.
func TestLeaderWithHungDiskIsReplaced(t *testing.T) {
	var disks []*syscalls.Faults
	programs, apis, _, _ := replicasStarted(t, "", false, func(addr string, args ...string) *program {
		p, faults := startWithFaults(t, []int{syscalls.Fdatasync}, addr, nil, args...)
		disks = append(disks, faults)
		return p
	})
	status, _ := storeCall(t, http.MethodPost, "http://"+apis[0]+"/v1/nodes/n", "before")
	require.Equal(t, http.StatusCreated, status)
	_, leaderInfo := storeCall(t, http.MethodGet, "http://"+apis[0]+"/v1/leader", "")
	leader := slices.Index([]string{"r0", "r1", "r2"}, fmt.Sprint(leaderInfo["leader"]))
	require.NotEqual(t, -1, leader, "%v", leaderInfo)

	disks[leader].Set(syscalls.Hang(syscalls.Fdatasync))
	require.False(t, putWithinTimeout(t, "http://"+apis[leader]+"/v1/nodes/n", "never"), "acknowledged, and on no disk")
	other := (leader + 1) % len(programs)
	eventually(t, func() bool { return putWithinTimeout(t, "http://"+apis[other]+"/v1/nodes/n", "meanwhile") }, "the other replicas accept writes")

	stuck := programs[leader]
	stuck.signal(syscall.SIGTERM)
	stuck.waitExit()
	programs[leader] = start(t, stuck.addr, nil, stuck.cmd.Args[2:]...)
	eventually(t, func() bool {
		_, n := storeCall(t, http.MethodGet, "http://"+apis[leader]+"/v1/nodes/n", "")
		return n["data"] == "meanwhile"
	}, "the write acknowledged meanwhile is present")
}

// A router whose store's disk hangs during the start must exit on SIGTERM.
func TestStartWithHungDiskCanBeStopped(t *testing.T) {
	var disks []*syscalls.Faults
	programs, _, _, _ := replicasStarted(t, "", false, func(addr string, args ...string) *program {
		p, faults := startWithFaults(t, []int{syscalls.Fdatasync}, addr, nil, args...)
		faults.Set(syscalls.Hang(syscalls.Fdatasync))
		disks = append(disks, faults)
		return p
	})
	for i, p := range programs {
		eventually(t, func() bool { return disks[i].Calls(syscalls.Fdatasync) > 0 }, "a sync has been attempted")
		p.signal(syscall.SIGTERM)
		p.waitExit()
	}
}
