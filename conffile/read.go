package conffile

import (
	"context"
	"fmt"
	"os"
	"syscall"
	"time"

	"lichenshelf/internal/transient"
)

const (
	// readWait bounds how long a file is tried that the system can't read for now: what a reload brings must be in hand 4 s
	// after the signal.
	readWait  = 3 * time.Second
	readAgain = 20 * time.Millisecond
)

// mayReadLater tells whether open and read may succeed a moment later: such errors say nothing of the file.
func mayReadLater(err error) bool { return transient.Is(err, syscall.EINTR, syscall.EIO) }

// ReadText reads a file whole. Where the system lacks something for it, as descriptors, it is tried again for readWait.
func ReadText(path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), readWait)
	defer cancel()
	var text []byte
	err := transient.Retry(ctx, readAgain, mayReadLater, func() (err error) {
		text, err = os.ReadFile(path)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	return text, nil
}
