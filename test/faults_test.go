package test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lichenshelf/internal/standin/syscalls"
)

// running fails the test if the program has ended.
func (p *program) running() {
	p.t.Helper()
	select {
	case err := <-p.exit:
		p.t.Fatalf("the program has ended: %v", err)
	default:
	}
}

// Linux may answer an accept with an error of the network or of the machine's resources that is over a moment later. The
// listener goes on: none of them ends the router.
func TestARouterOutlivesFailedAccepts(t *testing.T) {
	r, w := pair(t, nil)
	p, faults, _ := platformTrapped(t, []int{syscalls.Accept4}, r, w)
	for _, errno := range []syscall.Errno{syscall.ECONNABORTED, syscall.EINTR, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTDOWN, syscall.EHOSTUNREACH, syscall.ENONET,
		syscall.ENOPROTOOPT, syscall.EOPNOTSUPP, syscall.ETIMEDOUT} {
		failed := faults.Failed(syscalls.Accept4)
		faults.Set(syscalls.Next(syscalls.Accept4, 3, errno))
		req := p.request("query", newID(), 3*time.Second)
		req.Close = true
		a := do(req)
		require.NoError(t, a.err, errno.Error())
		require.Equal(t, http.StatusOK, a.status, errno.Error())
		require.Greater(t, faults.Failed(syscalls.Accept4), failed, errno.Error())
		p.running()
	}
}

// A disk that takes no write for some seconds ends no router: the replica takes no write meanwhile and comes back by itself,
// with all that was acknowledged. The rest of the router goes on all the while.
func TestARouterOutlivesTheDiskOfItsStore(t *testing.T) {
	for name, down := range map[string]syscalls.Decide{
		"no sync":  syscalls.Always(syscall.EIO, syscalls.Fdatasync, syscalls.Fsync),
		"no space": syscalls.Always(syscall.ENOSPC, syscalls.Pwrite64),
	} {
		t.Run(name, func(t *testing.T) {
			b := newWorker(t, "m-a", "model", model)
			var disks []*syscalls.Faults
			programs, apis, front, _ := replicasStarted(t, backendFile(b), false, func(addr string, args ...string) *program {
				p, faults := startTrapped(t, []int{syscalls.Fdatasync, syscalls.Fsync, syscalls.Pwrite64}, addr, nil, args...)
				disks = append(disks, faults)
				return p
			})
			front.waitReady()
			a := &api{program: front}
			status, _ := storeCall(t, http.MethodPost, "http://"+apis[0]+"/v1/nodes/n", "0")
			require.Equal(t, http.StatusCreated, status)
			for i := range 10 {
				status, _ = storeCall(t, http.MethodPut, "http://"+apis[0]+"/v1/nodes/n", fmt.Sprint(i))
				require.Equal(t, http.StatusNoContent, status)
			}
			for _, d := range disks {
				d.Set(down)
			}
			var asked sync.WaitGroup
			for i := range 3 {
				asked.Go(func() {
					req, err := http.NewRequest(http.MethodPut, "http://"+apis[i]+"/v1/nodes/n", strings.NewReader("lost or not"))
					require.NoError(t, err)
					resp, err := shortTimeoutClient.Do(req)
					if err == nil {
						_, _ = io.Copy(io.Discard, resp.Body)
						_ = resp.Body.Close()
						require.NotEqual(t, http.StatusNoContent, resp.StatusCode, "acknowledged, and on no disk")
					}
				})
			}
			for end := time.Now().Add(4 * time.Second); time.Now().Before(end); {
				require.Equal(t, http.StatusOK, a.post(embedPath, "", embedBody).status)
				for _, p := range programs {
					p.running()
				}
				time.Sleep(50 * time.Millisecond)
			}
			asked.Wait()
			last := programs[2]
			last.signal(syscall.SIGTERM) // a replica that waits for its disk can be stopped
			last.waitExit()
			for _, d := range disks {
				d.Set(nil)
			}
			programs[2] = start(t, last.addr, nil, last.cmd.Args[2:]...)
			status, _ = storeCall(t, http.MethodPut, "http://"+apis[0]+"/v1/nodes/n", "after")
			require.Equal(t, http.StatusNoContent, status)
			for i := range 3 {
				eventually(t, func() bool {
					_, n := storeCall(t, http.MethodGet, "http://"+apis[i]+"/v1/nodes/n", "")
					return n["data"] == "after"
				}, "each replica has come back")
				programs[i].running()
			}
		})
	}
}

// Syncs that fail now and then, a few at a time, while each replica is written to, end no router and lose nothing that was
// acknowledged; a router that is started again afterwards has all of it.
func TestSyncsThatFailNowAndThenEndNoRouter(t *testing.T) {
	const lasts, mostFailing = 8 * time.Second, 8 // syncs in a row
	var disks []*syscalls.Faults
	programs, apis, _, _ := replicasStarted(t, "", false, func(addr string, args ...string) *program {
		p, faults := startTrapped(t, []int{syscalls.Fdatasync}, addr, nil, args...)
		disks = append(disks, faults)
		return p
	})
	for i := range 3 {
		status, _ := storeCall(t, http.MethodPost, "http://"+apis[i]+fmt.Sprintf("/v1/nodes/n%d", i), "0")
		require.Equal(t, http.StatusCreated, status)
	}
	until := time.Now().Add(lasts)
	var all sync.WaitGroup
	acknowledged := make([]int, 3)
	for i := range 3 {
		all.Go(func() {
			for n := 1; time.Now().Before(until); n++ {
				req, err := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s/v1/nodes/n%d", apis[i], i), strings.NewReader(fmt.Sprint(n)))
				require.NoError(t, err)
				if resp, err := shortTimeoutClient.Do(req); err == nil {
					_ = resp.Body.Close()
					if resp.StatusCode == http.StatusNoContent {
						acknowledged[i] = n
					}
				}
			}
		})
		all.Go(func() {
			rng := rand.New(rand.NewPCG(1, uint64(i)))
			for time.Now().Before(until) {
				time.Sleep(time.Duration(rng.IntN(500)) * time.Millisecond)
				disks[i].Set(syscalls.Next(syscalls.Fdatasync, 1+rng.IntN(mostFailing), syscall.EIO))
			}
			disks[i].Set(nil)
		})
	}
	all.Wait()
	for _, p := range programs {
		p.running()
	}
	again := programs[2]
	again.signal(syscall.SIGTERM)
	again.waitExit()
	programs[2] = start(t, again.addr, nil, again.cmd.Args[2:]...)
	for i := range 3 {
		for at := range 3 {
			eventually(t, func() bool {
				_, node := storeCall(t, http.MethodGet, fmt.Sprintf("http://%s/v1/nodes/n%d", apis[at], i), "")
				text, _ := node["data"].(string)
				n, err := strconv.Atoi(text)
				return err == nil && n >= acknowledged[i] // a write without an answer may be there as well
			}, fmt.Sprintf("what was acknowledged last (%d) is at replica %d", acknowledged[i], at))
		}
		require.Positive(t, disks[i].Failed(syscalls.Fdatasync))
	}
	t.Logf("acknowledged %v", acknowledged)
}

// backendFile is what a model API's file says of a backend.
func backendFile(b *worker) string {
	return fmt.Sprintf("[[backend]]\nname = %q\naddr = %q\n", b.name, b.Listener.Addr())
}

// What the router's own machine lacks for a moment is no fault of the worker to which a connection was being opened.
func TestAFailedDialForLackOfItsOwnIsNoFaultOfAWorker(t *testing.T) {
	r, w := pair(t, nil)
	p, faults, _ := platformTrapped(t, []int{syscalls.Connect, syscalls.Socket}, r, w)
	for call, errnos := range map[int][]syscall.Errno{
		syscalls.Connect: {syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENETUNREACH, syscall.EAGAIN, syscall.EPERM},
		syscalls.Socket:  {syscall.ENOBUFS, syscall.ENOMEM, syscall.ENFILE, syscall.EMFILE},
	} {
		for _, errno := range errnos {
			r.CloseClientConnections()
			w.CloseClientConnections()
			time.Sleep(20 * time.Millisecond) // the router has seen them end
			failed := faults.Failed(call)
			faults.Set(syscalls.Next(call, 2, errno))
			require.Equal(t, http.StatusOK, p.ask("query", newID(), 3*time.Second).status, errno.Error())
			require.Equal(t, failed+2, faults.Failed(call), errno.Error())
		}
	}
	require.False(t, p.logged("outcome=connect_failed"), "a worker was blamed")
}

// A client that leaves behind more than is read ahead is seen to leave, also where the look at its connection is interrupted.
func TestAnInterruptedLookMissesNoLeaving(t *testing.T) {
	for _, ahead := range []int{280 << 10, 400 << 10} { // just more than is read ahead, and much more
		t.Run(fmt.Sprint(ahead), func(t *testing.T) { leaveBehind(t, ahead) })
	}
}

func leaveBehind(t *testing.T, ahead int) {
	ended := make(chan struct{})
	k := newWorker(t, "s-00000001", "mixed", func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(ended)
	})
	p, faults, _ := platformTrapped(t, []int{syscalls.Ppoll}, k)
	c, err := net.Dial("tcp", p.addr)
	require.NoError(t, err)
	require.NoError(t, p.request("file", newID(), 30*time.Second).Write(c))
	eventually(t, func() bool { return len(k.got(http.MethodPost)) == 1 }, "it is in hand")
	_, err = c.Write(make([]byte, ahead))
	require.NoError(t, err)
	time.Sleep(100 * time.Millisecond) // it is read ahead, and looked at from then on
	faults.Set(syscalls.Next(syscalls.Ppoll, 1, syscall.EINTR))
	require.NoError(t, c.Close())
	select {
	case <-ended:
	case <-time.After(loaded):
		t.Fatal("the attempt goes on for a client that has gone")
	}
	require.Equal(t, 1, faults.Failed(syscalls.Ppoll))
}

// A replica whose disk takes no writes as its router starts is waited for: the start does not end, and goes on with the disk.
func TestAStartOutlivesTheDiskOfItsStore(t *testing.T) {
	own := filepath.Join(t.TempDir(), "store.toml")
	api := ownAddr(t)
	text := fmt.Sprintf("id = \"r0\"\ndata_dir = %q\n[[peer]]\nid = \"r0\"\nraft = %q\napi = %q\n", filepath.Join(t.TempDir(), "data"), ownAddr(t), api)
	require.NoError(t, os.WriteFile(own, []byte(text), 0o600))
	cmd, disk, err := syscalls.Command([]int{syscalls.Pwrite64}, binary, "serve", "--store", own)
	require.NoError(t, err)
	disk.Set(syscalls.Always(syscall.ENOSPC, syscalls.Pwrite64))
	p := startCommand(t, cmd, api, nil)
	eventually(t, func() bool { return disk.Failed(syscalls.Pwrite64) > 1 }, "it has tried more than once")
	p.running()
	disk.Set(nil)
	status, _ := storeCall(t, http.MethodPost, "http://"+api+"/v1/nodes/n", "0")
	require.Equal(t, http.StatusCreated, status)
	p.signal(syscall.SIGTERM)
	p.waitExit()
}

// A look at a connection that fails for want of memory does not make a client look gone that is still there: it has its answer.
func TestAFailedLookEndsNobodysRequest(t *testing.T) {
	more := make(chan struct{})
	k := newWorker(t, "s-00000001", "mixed", func(w http.ResponseWriter, r *http.Request) {
		<-more
		write(w, r)
	})
	p, faults, _ := platformTrapped(t, []int{syscalls.Ppoll}, k)
	c, err := net.Dial("tcp", p.addr)
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, p.request("file", newID(), 10*time.Second).Write(c))
	eventually(t, func() bool { return len(k.got(http.MethodPost)) == 1 }, "it is in hand")
	faults.Set(syscalls.Next(syscalls.Ppoll, 3, syscall.ENOMEM))
	_, err = c.Write(make([]byte, 280<<10)) // more than is read ahead: the connection is looked at from then on
	require.NoError(t, err)
	eventually(t, func() bool { return faults.Failed(syscalls.Ppoll) > 0 }, "a look has failed")
	time.Sleep(50 * time.Millisecond)
	close(more)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(patient)))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, events+rest, string(body))
}
