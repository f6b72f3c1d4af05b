package link

import (
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// Under Fault.Blackhole the far end acknowledges nothing and no connection to it is established;
// when the fault ends, data sent meanwhile arrives.
func TestBlackholedPeerAcknowledgesNothing(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	received := make(chan string, 4)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			b := make([]byte, 16)
			for n, err := c.Read(b); err == nil; n, err = c.Read(b) {
				received <- string(b[:n])
			}
		}
	}()
	r, err := New(l.Addr().String())
	require.NoError(t, err)
	defer r.Close()
	c, err := net.Dial("tcp4", r.Addr())
	require.NoError(t, err)
	defer c.Close()
	_, err = c.Write([]byte("here"))
	require.NoError(t, err)
	require.Equal(t, "here", <-received)
	r.Set(Fault{Blackhole: true})
	_, err = c.Write([]byte("gone"))
	require.NoError(t, err, "the sender has not noticed the fault yet")
	_, err = net.DialTimeout("tcp4", r.Addr(), 100*time.Millisecond)
	require.Error(t, err)
	raw, err := c.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) {
		n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		require.NoError(t, err)
		require.Equal(t, len("gone"), n)
	}))
	require.Empty(t, received)
	r.Set(Fault{})
	require.Equal(t, "gone", <-received)
}

// Under Fault.Heals, data that the far end sends during the fault is delayed and not lost.
func TestDataSentBackDuringHealingCutIsDelayed(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	r, err := New(l.Addr().String())
	require.NoError(t, err)
	defer r.Close()
	c, err := net.Dial("tcp4", r.Addr())
	require.NoError(t, err)
	defer c.Close()
	far, err := l.Accept()
	require.NoError(t, err)
	defer far.Close()
	b := make([]byte, 16)
	send := func(text string) {
		_, err := far.Write([]byte(text))
		require.NoError(t, err)
	}
	send("one")
	n, err := c.Read(b)
	require.NoError(t, err)
	require.Equal(t, "one", string(b[:n]))
	r.Set(Fault{Blackhole: true, Heals: true})
	send("two")
	require.NoError(t, c.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = c.Read(b)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	r.Set(Fault{})
	require.NoError(t, c.SetReadDeadline(time.Time{}))
	n, err = c.Read(b)
	require.NoError(t, err)
	require.Equal(t, "two", string(b[:n]))
}
