package eventlog

import (
	"archive/tar"
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"lichenshelf/fleet/audit"
)

// An event log can be archived while it is written. The copy holds all records noted before the
// flush that precedes it.
func TestArchiveOfOpenLog(t *testing.T) {
	dir, other := t.TempDir(), filepath.Join(t.TempDir(), "copy")
	w, _ := open(t, dir, 1, segmentCount*maxRecordBytes)
	for i := range 400 { // over several segments
		w.Note(audit.Record{Kind: audit.Taken, Part: "config", Version: uint64(i + 1), Number: uint64(i + 1)})
		w.Sent("w", 5)
	}
	w.Flush()
	var text bytes.Buffer
	require.NoError(t, Archive(dir, &text))
	n, err := Unpack(bytes.NewReader(text.Bytes()), other, 1<<20)
	require.NoError(t, err)
	require.Greater(t, n, 1)
	a, b := read(t, dir), read(t, other)
	require.Empty(t, b.Damages)
	require.Len(t, b.Entries, len(a.Entries))
	require.Equal(t, uint64(400), b.Entries[len(b.Entries)-1].Number, "the last sends are included")
	require.NoError(t, w.Close())
	w.Flush() // after Close it must return at once

	// A truncated archive is an error.
	cut := bytes.Clone(text.Bytes()[:text.Len()/2])
	_, err = Unpack(bytes.NewReader(cut), filepath.Join(t.TempDir(), "cut"), 1<<20)
	require.Error(t, err)
}

func TestInvalidArchives(t *testing.T) {
	as := func(name string, size int) []byte {
		var text bytes.Buffer
		w := tar.NewWriter(&text)
		require.NoError(t, w.WriteHeader(&tar.Header{Name: name, Size: int64(size), Mode: 0o600}))
		_, err := w.Write(make([]byte, size))
		require.NoError(t, err)
		require.NoError(t, w.Close())
		return text.Bytes()
	}
	for what, text := range map[string][]byte{
		"another place": as("../00000000000000000001.trail", 8), "another file": as("passwd", 8),
		"too much": as("00000000000000000001.trail", 2000), "random bytes": bytes.Repeat([]byte{7}, 1024),
	} {
		dir := filepath.Join(t.TempDir(), "x")
		_, err := Unpack(bytes.NewReader(text), dir, 1000)
		require.ErrorIs(t, err, ErrArchive, what)
		left, err := os.ReadDir(dir)
		require.NoError(t, err)
		require.Empty(t, left, what)
	}
	require.Error(t, Archive(filepath.Join(t.TempDir(), "none"), &bytes.Buffer{}))
}
