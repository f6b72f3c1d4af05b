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

// requireRunning fails the test if the program has exited.
func (p *program) requireRunning() {
	p.t.Helper()
	select {
	case err := <-p.exit:
		p.t.Fatalf("the program has exited: %v", err)
	default:
	}
}

// Guards against a router that exits because accept failed. Linux reports temporary errors of the
// network and of the machine's resources from accept; the listener must continue after all of them.
func TestRouterSurvivesFailedAccepts(t *testing.T) {
	r, w := pair(t, nil)
	p, faults, _ := startPlatformWithFaults(t, []int{syscalls.Accept4}, r, w)
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
		p.requireRunning()
	}
}

// Guards against a router that exits when the disk of its store rejects writes for some seconds.
// The replica must acknowledge no write meanwhile and recover by itself with all acknowledged data;
// the rest of the router must continue to serve.
func TestRouterSurvivesStoreDiskFailure(t *testing.T) {
	for name, down := range map[string]syscalls.Decide{
		"no sync":  syscalls.Always(syscall.EIO, syscalls.Fdatasync, syscalls.Fsync),
		"no space": syscalls.Always(syscall.ENOSPC, syscalls.Pwrite64),
	} {
		t.Run(name, func(t *testing.T) {
			b := newWorker(t, "m-a", "model", model)
			var disks []*syscalls.Faults
			programs, apis, front, _ := replicasStarted(t, backendFile(b), false, func(addr string, args ...string) *program {
				p, faults := startWithFaults(t, []int{syscalls.Fdatasync, syscalls.Fsync, syscalls.Pwrite64}, addr, nil, args...)
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
					p.requireRunning()
				}
				time.Sleep(50 * time.Millisecond)
			}
			asked.Wait()
			last := programs[2]
			last.signal(syscall.SIGTERM) // a replica that waits for its disk must stop on SIGTERM
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
				}, "each replica has recovered")
				programs[i].requireRunning()
			}
		})
	}
}

// Guards against exits and lost data when up to 8 syncs in a row fail at random while all replicas
// are written to. No router may exit, and all replicas, one of them restarted, must have every
// acknowledged write.
func TestRouterSurvivesIntermittentSyncFailures(t *testing.T) {
	const duration, maxFailing = 8 * time.Second, 8 // syncs in a row
	var disks []*syscalls.Faults
	programs, apis, _, _ := replicasStarted(t, "", false, func(addr string, args ...string) *program {
		p, faults := startWithFaults(t, []int{syscalls.Fdatasync}, addr, nil, args...)
		disks = append(disks, faults)
		return p
	})
	for i := range 3 {
		status, _ := storeCall(t, http.MethodPost, "http://"+apis[i]+fmt.Sprintf("/v1/nodes/n%d", i), "0")
		require.Equal(t, http.StatusCreated, status)
	}
	until := time.Now().Add(duration)
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
				disks[i].Set(syscalls.Next(syscalls.Fdatasync, 1+rng.IntN(maxFailing), syscall.EIO))
			}
			disks[i].Set(nil)
		})
	}
	all.Wait()
	for _, p := range programs {
		p.requireRunning()
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
				// An unanswered write may be stored as well.
				return err == nil && n >= acknowledged[i]
			}, fmt.Sprintf("the last acknowledged write (%d) is at replica %d", acknowledged[i], at))
		}
		require.Positive(t, disks[i].Failed(syscalls.Fdatasync))
	}
	t.Logf("acknowledged %v", acknowledged)
}

// backendFile returns the part of a model API's configuration file that describes a backend.
func backendFile(b *worker) string {
	return fmt.Sprintf("[[backend]]\nname = %q\naddr = %q\n", b.name, b.Listener.Addr())
}

// A connect or socket call that fails because the router's own machine lacks resources must not
// count as a failure of the worker.
func TestLocalDialFailureDoesNotCountAgainstWorker(t *testing.T) {
	r, w := pair(t, nil)
	p, faults, _ := startPlatformWithFaults(t, []int{syscalls.Connect, syscalls.Socket}, r, w)
	for call, errnos := range map[int][]syscall.Errno{
		syscalls.Connect: {syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENETUNREACH, syscall.EAGAIN, syscall.EPERM},
		syscalls.Socket:  {syscall.ENOBUFS, syscall.ENOMEM, syscall.ENFILE, syscall.EMFILE},
	} {
		for _, errno := range errnos {
			r.CloseClientConnections()
			w.CloseClientConnections()
			time.Sleep(20 * time.Millisecond) // the router notices the closes meanwhile
			failed := faults.Failed(call)
			faults.Set(syscalls.Next(call, 2, errno))
			require.Equal(t, http.StatusOK, p.ask("query", newID(), 3*time.Second).status, errno.Error())
			require.Equal(t, failed+2, faults.Failed(call), errno.Error())
		}
	}
	require.False(t, p.logged("outcome=connect_failed"), "a local failure was counted against a worker")
}

// Guards against a missed disconnect: once a client has sent more than the router reads ahead, the
// router polls the connection to notice the close, and a poll that fails with EINTR must be
// repeated.
func TestInterruptedPollDetectsDisconnect(t *testing.T) {
	// Slightly more than the router reads ahead, and much more.
	for _, ahead := range []int{280 << 10, 400 << 10} {
		t.Run(fmt.Sprint(ahead), func(t *testing.T) { testDisconnectAfterWrites(t, ahead) })
	}
}

func testDisconnectAfterWrites(t *testing.T, ahead int) {
	ended := make(chan struct{})
	k := newWorker(t, "s-00000001", "mixed", func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(ended)
	})
	p, faults, _ := startPlatformWithFaults(t, []int{syscalls.Ppoll}, k)
	c, err := net.Dial("tcp", p.addr)
	require.NoError(t, err)
	require.NoError(t, p.request("file", newID(), 30*time.Second).Write(c))
	eventually(t, func() bool { return len(k.received(http.MethodPost)) == 1 }, "the worker has the request")
	_, err = c.Write(make([]byte, ahead))
	require.NoError(t, err)
	// The router has read ahead and polls the connection from then on.
	time.Sleep(100 * time.Millisecond)
	faults.Set(syscalls.Next(syscalls.Ppoll, 1, syscall.EINTR))
	require.NoError(t, c.Close())
	select {
	case <-ended:
	case <-time.After(loadTolerance):
		t.Fatal("the attempt continues after its client has disconnected")
	}
	require.Equal(t, 1, faults.Failed(syscalls.Ppoll))
}

// A router whose store can't write to its disk at the start must wait and retry, and continue once
// the disk accepts writes.
func TestStartWaitsForStoreDisk(t *testing.T) {
	own := filepath.Join(t.TempDir(), "store.toml")
	api := ownAddr(t)
	text := fmt.Sprintf("id = \"r0\"\ndata_dir = %q\n[[peer]]\nid = \"r0\"\nraft = %q\napi = %q\n", filepath.Join(t.TempDir(), "data"), ownAddr(t), api)
	require.NoError(t, os.WriteFile(own, []byte(text), 0o600))
	cmd, disk, err := syscalls.Command([]int{syscalls.Pwrite64}, binary, "serve", "--store", own)
	require.NoError(t, err)
	disk.Set(syscalls.Always(syscall.ENOSPC, syscalls.Pwrite64))
	p := startCommand(t, cmd, api, nil)
	eventually(t, func() bool { return disk.Failed(syscalls.Pwrite64) > 1 }, "the write was retried")
	p.requireRunning()
	disk.Set(nil)
	status, _ := storeCall(t, http.MethodPost, "http://"+api+"/v1/nodes/n", "0")
	require.Equal(t, http.StatusCreated, status)
	p.signal(syscall.SIGTERM)
	p.waitExit()
}

// A poll of a connection that fails with ENOMEM must not count as a disconnect: the client, which
// is still connected, must receive its answer.
func TestFailedPollDoesNotEndRequest(t *testing.T) {
	more := make(chan struct{})
	k := newWorker(t, "s-00000001", "mixed", func(w http.ResponseWriter, r *http.Request) {
		<-more
		serveStream(w, r)
	})
	p, faults, _ := startPlatformWithFaults(t, []int{syscalls.Ppoll}, k)
	c, err := net.Dial("tcp", p.addr)
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, p.request("file", newID(), 10*time.Second).Write(c))
	eventually(t, func() bool { return len(k.received(http.MethodPost)) == 1 }, "the worker has the request")
	faults.Set(syscalls.Next(syscalls.Ppoll, 3, syscall.ENOMEM))
	// More than the router reads ahead: it polls the connection from then on.
	_, err = c.Write(make([]byte, 280<<10))
	require.NoError(t, err)
	eventually(t, func() bool { return faults.Failed(syscalls.Ppoll) > 0 }, "a poll has failed")
	time.Sleep(50 * time.Millisecond)
	close(more)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(eventualTimeout)))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, streamStart+streamEnd, string(body))
}
