package zkfront

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-zookeeper/zk"
	"github.com/stretchr/testify/require"

	"lichenshelf/discovery/zkwire"
)

// BenchmarkCreate measures creates per second with three replicas and 64 sessions spread over them.
func BenchmarkCreate(b *testing.B) {
	c := newCluster(b)
	var conns []*zk.Conn
	for i := range 64 {
		conns = append(conns, c.dial(10*time.Second, i%3))
	}
	_, err := conns[0].Create("/b", nil, 0, openACL)
	require.NoError(b, err)
	var next, failed atomic.Int64
	b.ResetTimer()
	var wg sync.WaitGroup
	for _, conn := range conns {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := next.Add(1); i <= int64(b.N); i = next.Add(1) {
				if _, err := conn.Create(fmt.Sprintf("/b/n%08d", i), nil, 0, openACL); err != nil {
					failed.Add(1)
				}
			}
		}()
	}
	wg.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "creates/s")
	require.Zero(b, failed.Load())
}

// BenchmarkFanOut measures the time from a change until the last of 2,000 watching sessions has
// received the event, while 3,000 other sessions are idle.
func BenchmarkFanOut(b *testing.B) {
	const watching, idle = 2000, 3000
	c := newCluster(b)
	writer := c.dial(30*time.Second, 0)
	_, err := writer.Create("/f", nil, 0, openACL)
	require.NoError(b, err)
	type client struct {
		read func() error
		set  func() error
	}
	clients := make([]client, watching)
	var wg sync.WaitGroup
	slots := make(chan struct{}, 64)
	for i := range watching + idle {
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer wg.Done()
			raw, _ := c.hello(i%3, zkwire.ConnectRequest{TimeoutMs: 40000, Password: make([]byte, 16)})
			<-slots
			if i >= watching {
				return
			}
			clients[i] = client{
				read: func() error {
					if err := raw.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
						return err
					}
					_, err := zkwire.ReadFrame(raw, zkwire.MaxFrame)
					return err
				},
				set: func() error {
					_, err := raw.Write(zkwire.Append(nil, &zkwire.RequestHeader{Xid: 1, Op: zkwire.OpGetData}, &zkwire.PathWatch{Path: "/f", Watch: true}))
					return err
				},
			}
		}()
	}
	wg.Wait()
	all := func(f func(client) error) {
		var wg sync.WaitGroup
		for _, k := range clients {
			wg.Add(1)
			go func() {
				defer wg.Done()
				if err := f(k); err != nil {
					b.Error(err)
				}
			}()
		}
		wg.Wait()
	}
	b.ResetTimer()
	for range b.N {
		b.StopTimer()
		all(func(k client) error { return k.set() })
		all(func(k client) error { return k.read() })
		b.StartTimer()
		_, err := writer.Set("/f", nil, -1)
		require.NoError(b, err)
		all(func(k client) error { return k.read() })
	}
}
