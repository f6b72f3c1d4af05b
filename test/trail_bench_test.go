package test

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// BenchmarkTrailAtFullLoad sends requests through a router that 32 clients keep busy, once without
// and once with an event log. It reports the program's processor time per request and the time
// between two answers.
func BenchmarkTrailAtFullLoad(b *testing.B) {
	plain := filepath.Join(b.TempDir(), "lichenshelf")
	out, err := exec.Command("go", "build", "-o", plain, "lichenshelf/cmd/lichenshelf").CombinedOutput()
	require.NoError(b, err, string(out))
	backend := &http.Server{Handler: http.HandlerFunc(model), ReadHeaderTimeout: time.Minute}
	addrs := func(n int) (all []string) {
		for i := range n {
			all = append(all, fmt.Sprintf("127.78.%d.%d:%d", b.N%200, 1+i, 20000+i))
		}
		return all
	}
	at := addrs(4)
	l, err := net.Listen("tcp4", at[0])
	require.NoError(b, err)
	go func() { _ = backend.Serve(l) }()
	defer backend.Close()
	for _, trail := range []string{"", b.TempDir()} {
		b.Run(map[bool]string{true: "with a trail", false: "without"}[trail != ""], func(b *testing.B) {
			dir := b.TempDir()
			write := func(name, text string) string {
				path := filepath.Join(dir, name)
				require.NoError(b, os.WriteFile(path, []byte(text), 0o600))
				return path
			}
			cmd := exec.Command(plain, "serve", "--log-level", "error",
				"--modelapi", write("modelapi.toml", fmt.Sprintf("listen = %q\n[[backend]]\nname = \"m-a\"\naddr = %q\n", at[1], at[0])),
				"--fleet", write("fleet.toml", fmt.Sprintf("fleet = \"f\"\nself = \"r\"\ntrail = %q\n[[router]]\nname = \"r\"\naddr = %q\n", trail, at[2])))
			require.NoError(b, cmd.Start())
			defer func() {
				_ = cmd.Process.Signal(os.Interrupt)
				_ = cmd.Wait()
				b.ReportMetric(float64((cmd.ProcessState.UserTime()+cmd.ProcessState.SystemTime()).Nanoseconds())/float64(b.N), "cpu-ns/op")
			}()
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 10 * time.Second}
			post := func() bool {
				resp, err := client.Post("http://"+at[1]+embedPath, "application/json", strings.NewReader(embedBody))
				if err != nil {
					return false
				}
				defer resp.Body.Close()
				return resp.StatusCode == http.StatusOK
			}
			for !post() {
				time.Sleep(pollInterval)
			}
			b.ResetTimer()
			var all sync.WaitGroup
			work := make(chan struct{}, b.N)
			for range b.N {
				work <- struct{}{}
			}
			close(work)
			for range 32 {
				all.Go(func() {
					for range work {
						post()
					}
				})
			}
			all.Wait()
		})
	}
}
