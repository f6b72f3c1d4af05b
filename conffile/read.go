package conffile

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"syscall"
	"time"
)

const (
	// readWait bounds how long a file is tried that the system can't read for now: what a reload brings must be in hand 4 s
	// after the signal.
	readWait  = 3 * time.Second
	readAgain = 20 * time.Millisecond
)

// passing are the errors of open and read that may be over a moment later, and say nothing of the file.
var passing = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM, syscall.EAGAIN, syscall.EINTR, syscall.EIO}

// ReadText reads a file whole. Where the system lacks something for it, as descriptors, it is tried again for readWait.
func ReadText(path string) ([]byte, error) {
	for until := time.Now().Add(readWait); ; time.Sleep(readAgain) {
		text, err := os.ReadFile(path)
		if err == nil {
			return text, nil
		}
		passes := slices.ContainsFunc(passing, func(e error) bool { return errors.Is(err, e) })
		if !passes || time.Now().After(until) {
			return nil, fmt.Errorf("read configuration: %w", err)
		}
	}
}
