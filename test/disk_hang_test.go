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

// hastyPut writes to the store, and tells whether that was acknowledged in hasty's time.
func hastyPut(t *testing.T, url, body string) bool {
	req, err := http.NewRequest(http.MethodPut, url, strings.NewReader(body))
	require.NoError(t, err)
	resp, err := shortTimeoutClient.Do(req)
	if err != nil {
		return false
	}
	require.NoError(t, resp.Body.Close())
	return resp.StatusCode == http.StatusNoContent
}

// A leader whose disk no longer answers gives way: the others go on taking writes. It can be stopped, and has all of them once it
// runs again on a disk that answers.
func TestALeaderWhoseDiskHangsGivesWay(t *testing.T) {
	var disks []*syscalls.Faults
	programs, apis, _, _ := replicasStarted(t, "", false, func(addr string, args ...string) *program {
		p, faults := startTrapped(t, []int{syscalls.Fdatasync}, addr, nil, args...)
		disks = append(disks, faults)
		return p
	})
	status, _ := storeCall(t, http.MethodPost, "http://"+apis[0]+"/v1/nodes/n", "before")
	require.Equal(t, http.StatusCreated, status)
	_, told := storeCall(t, http.MethodGet, "http://"+apis[0]+"/v1/leader", "")
	leader := slices.Index([]string{"r0", "r1", "r2"}, fmt.Sprint(told["leader"]))
	require.NotEqual(t, -1, leader, "%v", told)

	disks[leader].Set(syscalls.Hang(syscalls.Fdatasync))
	require.False(t, hastyPut(t, "http://"+apis[leader]+"/v1/nodes/n", "never"), "acknowledged, and on no disk")
	other := (leader + 1) % len(programs)
	eventually(t, func() bool { return hastyPut(t, "http://"+apis[other]+"/v1/nodes/n", "beside") }, "the others take writes")

	stuck := programs[leader]
	stuck.signal(syscall.SIGTERM)
	stuck.waitExit()
	programs[leader] = start(t, stuck.addr, nil, stuck.cmd.Args[2:]...)
	eventually(t, func() bool {
		_, n := storeCall(t, http.MethodGet, "http://"+apis[leader]+"/v1/nodes/n", "")
		return n["data"] == "beside"
	}, "what was acknowledged meanwhile is there")
}

// A router whose store's disk does not answer as it starts can be stopped.
func TestAStartOnADiskThatHangsCanBeStopped(t *testing.T) {
	var disks []*syscalls.Faults
	programs, _, _, _ := replicasStarted(t, "", false, func(addr string, args ...string) *program {
		p, faults := startTrapped(t, []int{syscalls.Fdatasync}, addr, nil, args...)
		faults.Set(syscalls.Hang(syscalls.Fdatasync))
		disks = append(disks, faults)
		return p
	})
	for i, p := range programs {
		eventually(t, func() bool { return disks[i].Calls(syscalls.Fdatasync) > 0 }, "the disk was asked")
		p.signal(syscall.SIGTERM)
		p.waitExit()
	}
}
