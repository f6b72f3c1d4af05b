// Package clock steps the wall clock of another process forward or back while its monotonic clock
// continues unchanged, as when the clock of a machine is stepped under a running program. The
// program itself is not modified: a small library is loaded into it. No privileges are needed, and
// no other process is affected.
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

// fileSize is the size in bytes of the file with the offset: one page, which the library maps.
const fileSize = 4096

// Library is the path of the built library.
type Library string

// Build builds the library in a directory with the C compiler, which the race detector requires as
// well.
func Build(dir string) (Library, error) {
	path := filepath.Join(dir, "shift.c")
	if err := os.WriteFile(path, []byte(source), 0o600); err != nil {
		return "", fmt.Errorf("build the clock library: %w", err)
	}
	out := filepath.Join(dir, "shift.so")
	if text, err := exec.Command("cc", "-O2", "-shared", "-fPIC", "-o", out, path).CombinedOutput(); err != nil {
		return "", fmt.Errorf("build the clock library: %w: %s", err, text)
	}
	return Library(out), nil
}

// Clock controls the wall clock of one process.
type Clock struct {
	library Library
	path    string
}

// New returns a clock without an offset. The file that contains the offset is created in dir.
func (l Library) New(dir string) (*Clock, error) {
	c := &Clock{library: l, path: filepath.Join(dir, "clock")}
	if err := os.WriteFile(c.path, make([]byte, fileSize), 0o600); err != nil {
		return nil, fmt.Errorf("create the clock file: %w", err)
	}
	return c, nil
}

// Env returns the variables that must be set in the environment of the process.
func (c *Clock) Env() []string {
	return []string{"LD_PRELOAD=" + string(c.library), "LICHENSHELF_TEST_CLOCK=" + c.path}
}

// Set sets the offset of the process's wall clock from the real time.
func (c *Clock) Set(offset time.Duration) error {
	f, err := os.OpenFile(c.path, os.O_WRONLY, 0)
	if err != nil {
		return fmt.Errorf("step the clock: %w", err)
	}
	defer f.Close()
	var encoded [8]byte
	binary.NativeEndian.PutUint64(encoded[:], uint64(offset))
	if _, err := f.WriteAt(encoded[:], 0); err != nil {
		return fmt.Errorf("step the clock: %w", err)
	}
	return nil
}
