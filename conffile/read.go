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
	// readTimeout bounds the retries of a file that can't be read for now: a reloaded configuration
	// must be in use within 4 s of the signal.
	readTimeout   = 3 * time.Second
	retryInterval = 20 * time.Millisecond
)

// isTemporary reports whether an error of open or read may go away on a retry and does not concern
// the file itself.
func isTemporary(err error) bool { return transient.Is(err, syscall.EINTR, syscall.EIO) }

// ReadText reads a whole file. On a temporary error, such as a lack of file descriptors, it retries
// for up to readTimeout.
func ReadText(path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	var text []byte
	err := transient.Retry(ctx, retryInterval, isTemporary, func() (err error) {
		text, err = os.ReadFile(path)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	return text, nil
}
