// Package clock steps the wall clock of another process, forward or back, while its monotonic clock runs on, as the clock of
// a machine may be stepped under a running program. The program is the real one, unchanged: a small library is loaded into
// it. No rights are needed, and no other process's clock changes.
package clock

import (
	_ "embed"
	"encoding/binary"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"
)

//go:embed library/shift.c
var source string

// fileSize is a page, which the library maps.
const fileSize = 4096

// Library is the library, built.
type Library string

// Build builds the library in a directory, with the C compiler that the race detector needs as well.
func Build(dir string) (Library, error) {
	path := filepath.Join(dir, "shift.c")
	if err := os.WriteFile(path, []byte(source), 0o600); err != nil {
		return "", fmt.Errorf("build the clock's library: %w", err)
	}
	out := filepath.Join(dir, "shift.so")
	if text, err := exec.Command("cc", "-O2", "-shared", "-fPIC", "-o", out, path).CombinedOutput(); err != nil {
		return "", fmt.Errorf("build the clock's library: %w: %s", err, text)
	}
	return Library(out), nil
}

// Clock is one process's wall clock.
type Clock struct {
	library Library
	path    string
}

// New returns a clock that goes right; its file is made in dir.
func (l Library) New(dir string) (*Clock, error) {
	c := &Clock{library: l, path: filepath.Join(dir, "clock")}
	if err := os.WriteFile(c.path, make([]byte, fileSize), 0o600); err != nil {
		return nil, fmt.Errorf("clock: %w", err)
	}
	return c, nil
}

// Env is what the environment of the process must hold.
func (c *Clock) Env() []string {
	return []string{"LD_PRELOAD=" + string(c.library), "LICHENSHELF_TEST_CLOCK=" + c.path}
}

// Set makes the clock go wrong by so much from now on.
func (c *Clock) Set(by time.Duration) error {
	f, err := os.OpenFile(c.path, os.O_WRONLY, 0)
	if err != nil {
		return fmt.Errorf("step the clock: %w", err)
	}
	defer f.Close()
	var text [8]byte
	binary.NativeEndian.PutUint64(text[:], uint64(by))
	if _, err := f.WriteAt(text[:], 0); err != nil {
		return fmt.Errorf("step the clock: %w", err)
	}
	return nil
}
