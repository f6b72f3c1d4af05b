package eventlog

import (
	"archive/tar"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
)

// Flush writes all records noted so far, as far as the disk accepts them. It waits for the writing
// goroutine and so must not be called on the path of requests.
func (w *Writer) Flush() {
	done := make(chan struct{})
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return
	}
	w.flushSends()
	w.mu.Unlock()
	select {
	case w.flushes <- done:
		<-done
	case <-w.stopped:
	}
}

// Archive writes the segments of an event log as a tar archive, each with the size that it has
// when it is reached. A segment that is being written may end in a torn record, which Read reports.
// A segment that is removed in the meantime is left out.
func Archive(dir string, to io.Writer) error {
	names, err := Segments(dir)
	if err != nil {
		return err
	}
	t := tar.NewWriter(to)
	for _, name := range names {
		if err := archiveSegment(t, name); err != nil && !errors.Is(err, os.ErrNotExist) {
			return fmt.Errorf("trail: archive %s: %w", filepath.Base(name), err)
		}
	}
	return t.Close()
}

func archiveSegment(t *tar.Writer, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return err
	}
	if err := t.WriteHeader(&tar.Header{Name: filepath.Base(name), Mode: 0o600, Size: info.Size()}); err != nil {
		return err
	}
	_, err = io.CopyN(t, f, info.Size())
	return err
}

// ErrArchive is returned for an invalid archive of an event log.
var ErrArchive = errors.New("trail archive")

// Unpack writes the segments of an archive into dir, which it creates if needed, up to maxBytes in
// all. Existing segments are replaced. It returns the number of segments written.
func Unpack(from io.Reader, dir string, maxBytes int64) (int, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return 0, fmt.Errorf("trail: %w", err)
	}
	t, n := tar.NewReader(from), 0
	for {
		h, err := t.Next()
		if errors.Is(err, io.EOF) {
			return n, nil
		}
		if err != nil {
			return n, fmt.Errorf("%w: %w", ErrArchive, err)
		}
		if h.Typeflag != tar.TypeReg || h.Name != filepath.Base(h.Name) || !strings.HasSuffix(h.Name, segmentSuffix) {
			return n, fmt.Errorf("%w: %q is not a segment", ErrArchive, h.Name)
		}
		if maxBytes -= h.Size; maxBytes < 0 {
			return n, fmt.Errorf("%w: %s exceeds the limit of bytes", ErrArchive, h.Name)
		}
		if err := unpackSegment(t, filepath.Join(dir, h.Name)); err != nil {
			return n, err
		}
		n++
	}
}

func unpackSegment(from io.Reader, path string) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("trail: %w", err)
	}
	_, err = io.Copy(f, from)
	if err := errors.Join(err, f.Close()); err != nil {
		return fmt.Errorf("trail: write %s: %w", path, err)
	}
	return nil
}
