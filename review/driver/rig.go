package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/BurntSushi/toml"
)

// rig holds what a case has started, and its record.
type rig struct {
	trouble bool
	dir     string // temporary files
	command string // the run line of the deploy file
	start   time.Time

	mu       sync.Mutex
	record   *os.File
	programs []*program
}

func newRig(record string, trouble bool) (*rig, error) {
	var deploy struct {
		Run string `toml:"run"`
	}
	if _, err := toml.DecodeFile("deploy/balancer.toml", &deploy); err != nil {
		return nil, fmt.Errorf("deploy file: %w", err)
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	return &rig{trouble: trouble, dir: dir, command: deploy.Run, start: time.Now(), record: f}, nil
}

// close ends all processes that were started, and removes the temporary files.
func (r *rig) close() {
	r.mu.Lock()
	programs := r.programs
	r.mu.Unlock()
	for _, p := range programs {
		p.kill()
	}
	_ = os.RemoveAll(r.dir)
	_ = r.record.Close()
}

// note writes a line to the record, with the seconds since the start.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// program is one process of the project.
type program struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

// run starts the program of the deploy file with more arguments. The same arguments start it again.
func (r *rig) run(name string, args ...string) (*program, error) {
	return r.runShell(name, r.command+" "+strings.Join(args, " "))
}

func (r *rig) runShell(name, command string) (*program, error) {
	tmp := filepath.Join(r.dir, name+"-tmp")
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(r.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Env = append(os.Environ(), "TMPDIR="+tmp)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &program{name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	r.mu.Lock()
	r.programs = append(r.programs, p)
	r.mu.Unlock()
	r.note("started %s: %s", name, strings.ReplaceAll(command, r.dir, "TMP"))
	return p, nil
}

// kill ends the process with SIGKILL and waits for its end.
func (p *program) kill() {
	select {
	case <-p.done:
		return
	default:
	}
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.done
}

// file writes a file among the temporary ones and returns its path.
func (r *rig) file(name, text string) (string, error) {
	path := filepath.Join(r.dir, name)
	return path, os.WriteFile(path, []byte(text), 0o600)
}

var lastAddr atomic.Int32

// freeAddrs returns loopback addresses that nothing listens on. Each has an IP address of its own,
// so that no connection of a client takes the port while a program is not running.
func freeAddrs(n int) ([]string, error) {
	var out []string
	for range n {
		own, pid := lastAddr.Add(1), os.Getpid()
		l, err := net.Listen("tcp4", fmt.Sprintf("127.%d.%d.%d:0", 64+pid%64, pid/64%250, 1+own%250))
		if err != nil {
			return nil, err
		}
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	return out, nil
}

// wait calls f until it returns true, for the given time.
func wait(what string, limit time.Duration, f func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if f() {
			return nil
		}
	}
	return errors.New("waited in vain: " + what)
}

var client = &http.Client{Timeout: 5 * time.Second}

// call makes one HTTP call and returns the status and the body; the status is 0 without an answer.
func call(method, url, body string, header ...string) (int, string) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(text)
}
