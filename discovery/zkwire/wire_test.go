package zkwire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"
)

func samples() []Record {
	stat := Stat{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11}
	acl := []ACL{{31, "world", "anyone"}}
	create := &CreateRequest{"/a", []byte("x"), acl, FlagEphemeral | FlagSequence}
	return []Record{
		&ConnectRequest{0, 7, 4000, 9, []byte("secret"), true, true}, &ConnectRequest{TimeoutMs: 1, Password: []byte{}},
		&ConnectResponse{0, 4000, 9, []byte("secret"), false, true}, &RequestHeader{3, OpCloseSession},
		&ReplyHeader{3, 1 << 40, ErrNoNode}, &stat, create, &PathVersion{"/a", -1}, &PathWatch{"/a", true},
		&SetDataRequest{"/a", nil, 4}, &Path{"/a"}, &PathStat{"/a", stat}, &DataStat{[]byte{}, stat},
		&Children{[]string{"a", ""}}, &ChildrenStat{nil, stat}, &SetWatches{5, []string{"/a"}, nil, []string{"/b", "/c"}},
		&WatcherEvent{EventDeleted, StateConnected, "/a"}, &Auth{0, "digest", []byte("a:b")},
		&Multi{[]MultiOp{{OpCreate, create}, {OpCheck, &PathVersion{"/a", 1}}, {OpSetData, &SetDataRequest{"/a", []byte("y"), 1}}, {OpDelete, &PathVersion{"/a", 2}}}},
		&MultiResults{[]MultiResult{{OpCreate, 0, &Path{"/a"}}, {OpCreate2, 0, &PathStat{"/a", stat}}, {OpSetData, 0, &stat}, {OpDelete, 0, nil}, {OpError, ErrNoNode, nil}}},
	}
}

func fresh(r Record) Record { return reflect.New(reflect.TypeOf(r).Elem()).Interface().(Record) }

func TestRecordsRoundTrip(t *testing.T) {
	for _, r := range samples() {
		frame := Append([]byte("before"), r)[6:]
		body, err := ReadFrame(bytes.NewReader(frame), MaxFrame)
		require.NoError(t, err)
		got := fresh(r)
		require.NoError(t, DecodeAll(body, got), "%T", r)
		require.Equal(t, r, got)
		// A body truncated at any byte fails to decode, except where only the optional last field
		// is missing.
		for n := range body {
			cut := fresh(r)
			if err := DecodeAll(body[:n], cut); err == nil {
				require.Contains(t, []any{"*zkwire.ConnectRequest", "*zkwire.ConnectResponse"}, reflect.TypeOf(r).String())
			} else {
				require.True(t, errors.Is(err, ErrShort) || errors.Is(err, ErrSize), "%T: %v", r, err)
			}
		}
		require.ErrorIs(t, DecodeAll(append(append([]byte{}, body...), 1, 2), fresh(r)), ErrLong)
	}
}

// Encodes known messages; the bytes are written by hand from the protocol's description.
func TestKnownBytes(t *testing.T) {
	require.Equal(t, []byte{0, 0, 0, 15, 0, 0, 0, 5, 0, 0, 0, 4, 0, 0, 0, 2, '/', 'a', 1},
		Append(nil, &RequestHeader{5, OpGetData}, &PathWatch{"/a", true}))
	require.Equal(t, []byte{0, 0, 0, 16, 0xff, 0xff, 0xff, 0xfe, 0, 0, 0, 0, 0, 0, 0, 9, 0, 0, 0, 0},
		Append(nil, &ReplyHeader{XidPing, 9, OK}))
}

// Lengths that exceed the limit or the received message are rejected, so that a peer can't cause
// large allocations.
func TestInvalidLengthsAreRejected(t *testing.T) {
	for _, n := range []uint32{1 << 31, 0xffffffff, 1<<31 - 1, MaxFrame + 1} {
		_, err := ReadFrame(bytes.NewReader(binary.BigEndian.AppendUint32(nil, n)), MaxFrame)
		require.ErrorIs(t, err, ErrFrame)
	}
	_, err := ReadFrame(bytes.NewReader([]byte{0, 0, 0, 9, 1, 2}), MaxFrame)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	_, err = ReadFrame(bytes.NewReader(nil), MaxFrame)
	require.True(t, errors.Is(err, io.EOF))
	for _, n := range []uint32{1 << 30, 1 << 31, 0xfffffffe} {
		body := binary.BigEndian.AppendUint32(nil, n)
		for _, r := range []Record{&Path{}, &Children{}, &Auth{}} {
			if _, ok := r.(*Auth); ok {
				body = append([]byte{0, 0, 0, 0}, body...)
			}
			require.ErrorIs(t, DecodeAll(body, r), ErrSize)
		}
	}
	var many Multi
	for range MaxMulti + 1 {
		many.Ops = append(many.Ops, MultiOp{OpCheck, &PathVersion{"/", 0}})
	}
	require.ErrorIs(t, DecodeAll(Append(nil, &many)[4:], &Multi{}), ErrSize)
}

// FuzzRecords decodes arbitrary bytes as each type of record: a decoded record must stay the same
// when it is encoded and decoded again.
func FuzzRecords(f *testing.F) {
	for i, r := range samples() {
		f.Add(byte(i), Append(nil, r)[4:])
	}
	kinds := samples()
	f.Fuzz(func(t *testing.T, kind byte, body []byte) {
		r := fresh(kinds[int(kind)%len(kinds)])
		if DecodeAll(body, r) != nil {
			return
		}
		again := fresh(r)
		require.NoError(t, DecodeAll(Append(nil, r)[4:], again))
		require.Equal(t, r, again)
	})
}

// FuzzFrame reads frames from arbitrary bytes; no frame may exceed the limit.
func FuzzFrame(f *testing.F) {
	f.Add([]byte{0, 0, 0, 1, 7})
	f.Add([]byte{0xff, 0, 0, 0})
	f.Fuzz(func(t *testing.T, in []byte) {
		r := bytes.NewReader(in)
		for {
			body, err := ReadFrame(r, 64)
			if err != nil {
				return
			}
			require.LessOrEqual(t, len(body), 64)
		}
	})
}
