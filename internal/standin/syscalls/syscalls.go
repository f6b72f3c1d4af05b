// Package syscalls makes selected system calls of another process fail with errors that Linux
// documents for them. The program itself is not modified: a seccomp filter on that process alone
// notifies the test of the selected calls, and the test lets each call through, returns an error
// instead, or delays it. No privileges are needed.
//
// The process has to install the filter itself before it executes the program under test. The test
// binary does this: its TestMain calls Launch first, and Command returns a command that starts the
// test binary again.
package syscalls

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// The numbers of the system calls that can be trapped, named as in section 2 of the manual.
const (
	Accept4   = unix.SYS_ACCEPT4
	Bind      = unix.SYS_BIND
	Connect   = unix.SYS_CONNECT
	Fdatasync = unix.SYS_FDATASYNC
	Fsync     = unix.SYS_FSYNC
	Listen    = unix.SYS_LISTEN
	Openat    = unix.SYS_OPENAT
	Ppoll     = unix.SYS_PPOLL
	Pwrite64  = unix.SYS_PWRITE64
	Socket    = unix.SYS_SOCKET
)

const (
	launchVariable = "LICHENSHELF_TEST_TRAP" // the numbers of the calls to trap, for Launch
	listenerFile   = 3                       // the descriptor over which Launch sends the listener
	pollIntervalMs = 50                      // the end of the process is noticed within this time

	offsetOfNumber   = 0 // offsets in struct seccomp_data
	offsetOfArch     = 4
	notifyReceive    = 0xc0502100 // SECCOMP_IOCTL_NOTIF_RECV
	notifySend       = 0xc0182101 // SECCOMP_IOCTL_NOTIF_SEND
	continueResponse = 1          // SECCOMP_USER_NOTIF_FLAG_CONTINUE
)

// notification is struct seccomp_notif.
type notification struct {
	ID                 uint64
	PID, Flags         uint32
	Number             int32
	Arch               uint32
	InstructionPointer uint64
	Arguments          [6]uint64
}

// response is struct seccomp_notif_resp.
type response struct {
	ID    uint64
	Value int64
	Error int32
	Flags uint32
}

// Fault defines the result of a trapped call.
type Fault struct {
	Errno syscall.Errno // the error that the call returns; 0: the call is let through
	Delay time.Duration // delay before the error or the call
}

// Decide returns the fault for a trapped call, given the number of the system call. It is called
// for one call at a time.
type Decide func(call int) Fault

// Faults responds to the trapped calls of one process. It is safe for concurrent use.
type Faults struct {
	mu     sync.Mutex
	decide Decide
	failed map[int]int
	asked  map[int]int
}

// Set replaces the function that decides; nil lets all calls through.
func (f *Faults) Set(decide Decide) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.decide = decide
}

// Failed returns how many calls of a number have been given an error.
func (f *Faults) Failed(call int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failed[call]
}

// Calls returns how many calls of a number have been trapped.
func (f *Faults) Calls(call int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.asked[call]
}

func (f *Faults) decideFault(call int) Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked[call]++
	if f.decide == nil {
		return Fault{}
	}
	fault := f.decide(call)
	if fault.Errno != 0 {
		f.failed[call]++
	}
	return fault
}

// Next returns a Decide that fails the next n calls of a number and lets all others through.
func Next(call, n int, errno syscall.Errno) Decide {
	return func(c int) Fault {
		if c != call || n == 0 {
			return Fault{}
		}
		n--
		return Fault{Errno: errno}
	}
}

// Always returns a Decide that fails all calls of the numbers.
func Always(errno syscall.Errno, calls ...int) Decide {
	return func(c int) Fault {
		if slices.Contains(calls, c) {
			return Fault{Errno: errno}
		}
		return Fault{}
	}
}

// hangDelay is longer than any test.
const hangDelay = time.Hour

// Hang returns a Decide that delays all calls of the numbers for longer than any test, as a disk
// that no longer responds does. Calls that already hang continue to hang when another Decide is
// set.
func Hang(calls ...int) Decide {
	return func(c int) Fault {
		if slices.Contains(calls, c) {
			return Fault{Delay: hangDelay}
		}
		return Fault{}
	}
}

// Command returns a command like exec.Command does, for a program whose calls of the given numbers
// are trapped and passed to the returned Faults. The caller's TestMain must call Launch. Variables
// may be added to the command's environment before it is started.
func Command(calls []int, program string, args ...string) (*exec.Cmd, *Faults, error) {
	ours, theirs, err := socketPair()
	if err != nil {
		return nil, nil, err
	}
	numbers := make([]string, len(calls))
	for i, c := range calls {
		numbers[i] = strconv.Itoa(c)
	}
	self, err := os.Executable()
	if err != nil {
		return nil, nil, fmt.Errorf("trap system calls: %w", err)
	}
	cmd := exec.Command(self, append([]string{program}, args...)...)
	cmd.Env = append(os.Environ(), launchVariable+"="+strings.Join(numbers, ","))
	cmd.ExtraFiles = []*os.File{theirs}
	f := &Faults{failed: map[int]int{}, asked: map[int]int{}}
	go f.serve(ours)
	return cmd, f, nil
}

func socketPair() (ours *net.UnixConn, theirs *os.File, err error) {
	fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, nil, fmt.Errorf("trap system calls: %w", err)
	}
	file := os.NewFile(uintptr(fds[0]), "trap")
	defer file.Close()
	c, err := net.FileConn(file)
	if err != nil {
		return nil, nil, fmt.Errorf("trap system calls: %w", err)
	}
	return c.(*net.UnixConn), os.NewFile(uintptr(fds[1]), "trap"), nil
}

// serve receives the filter's listener from the launched process and responds to its trapped calls
// until the process has ended.
func (f *Faults) serve(from *net.UnixConn) {
	defer from.Close()
	control := make([]byte, unix.CmsgSpace(4))
	_, n, _, _, err := from.ReadMsgUnix(make([]byte, 1), control)
	if err != nil {
		return
	}
	messages, err := unix.ParseSocketControlMessage(control[:n])
	if err != nil || len(messages) == 0 {
		return
	}
	fds, err := unix.ParseUnixRights(&messages[0])
	if err != nil || len(fds) == 0 {
		return
	}
	defer unix.Close(fds[0])
	f.answer(fds[0])
}

func (f *Faults) answer(listener int) {
	for {
		ready := []unix.PollFd{{Fd: int32(listener), Events: unix.POLLIN}}
		if n, err := unix.Poll(ready, pollIntervalMs); n == 0 || errors.Is(err, unix.EINTR) {
			continue
		}
		if ready[0].Revents&unix.POLLIN == 0 {
			return // the process has ended
		}
		var call notification
		if errno := control(listener, notifyReceive, unsafe.Pointer(&call)); errno != 0 {
			continue // the calling thread has ended or was interrupted
		}
		fault := f.decideFault(int(call.Number))
		if fault.Delay == 0 {
			respond(listener, call.ID, fault.Errno)
			continue
		}
		time.AfterFunc(fault.Delay, func() { respond(listener, call.ID, fault.Errno) })
	}
}

func respond(listener int, id uint64, errno syscall.Errno) {
	r := response{ID: id, Flags: continueResponse}
	if errno != 0 {
		r = response{ID: id, Error: -int32(errno)}
	}
	// Fails if the calling thread has ended or was interrupted.
	_ = control(listener, notifySend, unsafe.Pointer(&r))
}

func control(fd int, request uintptr, argument unsafe.Pointer) syscall.Errno {
	_, _, errno := unix.Syscall(unix.SYS_IOCTL, uintptr(fd), request, uintptr(argument))
	return errno
}

// Launch installs the filter and executes the program passed to Command, if this process was
// started by such a command. Otherwise it returns at once. TestMain has to call Launch before
// anything else.
func Launch() {
	text := os.Getenv(launchVariable)
	if text == "" {
		return
	}
	if err := launch(text); err != nil {
		fmt.Fprintln(os.Stderr, "trap system calls:", err)
		os.Exit(1)
	}
}

func launch(text string) error {
	var calls []uint32
	for _, number := range strings.Split(text, ",") {
		n, err := strconv.ParseUint(number, 10, 32)
		if err != nil {
			return fmt.Errorf("%s: %w", launchVariable, err)
		}
		calls = append(calls, uint32(n))
	}
	runtime.LockOSThread() // the filter applies to one thread, which must be the one to call exec
	listener, err := installFilter(calls)
	if err != nil {
		return err
	}
	if err := unix.Sendmsg(listenerFile, []byte{0}, unix.UnixRights(listener), nil, 0); err != nil {
		return fmt.Errorf("send the listener: %w", err)
	}
	_ = unix.Close(listener)
	_ = unix.Close(listenerFile)
	env := slices.DeleteFunc(os.Environ(), func(v string) bool { return strings.HasPrefix(v, launchVariable+"=") })
	return fmt.Errorf("start %s: %w", os.Args[1], syscall.Exec(os.Args[1], os.Args[1:], env))
}

// installFilter traps the given calls of this thread, also after exec, and returns the descriptor
// of the listener that is notified of them.
func installFilter(calls []uint32) (listener int, err error) {
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return 0, fmt.Errorf("set no_new_privs: %w", err)
	}
	filter := program(calls)
	p := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	fd, _, errno := unix.Syscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER, unix.SECCOMP_FILTER_FLAG_NEW_LISTENER, uintptr(unsafe.Pointer(&p)))
	if errno != 0 {
		return 0, fmt.Errorf("install the filter: %w", errno)
	}
	return int(fd), nil
}

// program returns the BPF program of the filter: it traps the given calls and lets all others
// through.
func program(calls []uint32) []unix.SockFilter {
	load := func(at uint32) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: at}
	}
	ret := func(action uint32) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: action}
	}
	equal := func(to uint32, yes, no uint8) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: to, Jt: yes, Jf: no}
	}
	out := []unix.SockFilter{load(offsetOfArch), equal(auditArch, 1, 0), ret(unix.SECCOMP_RET_ALLOW), load(offsetOfNumber)}
	for _, c := range calls {
		out = append(out, equal(c, 0, 1), ret(unix.SECCOMP_RET_USER_NOTIF))
	}
	return append(out, ret(unix.SECCOMP_RET_ALLOW))
}
