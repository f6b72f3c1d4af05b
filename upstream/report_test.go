package upstream

import (
	"errors"
	"io"
	"net"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"lichenshelf/logic"
)

// withReports makes the client parse reports that consist of one number.
func withReports(c *Client) *Client {
	c.cfg.LoadHeader = "X-Load"
	c.cfg.Report = func(text string) (logic.Load, error) {
		v, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return logic.Load{}, errors.New("malformed")
		}
		return logic.Load{HasMemory: true, MemoryShare: v}, nil
	}
	return c
}

func TestReportsInAnswerHeadsAndAtStreamEnds(t *testing.T) {
	const event = "data: {}\n\n"
	chunk := func(s string) string { return strconv.FormatInt(int64(len(s)), 16) + "\r\n" + s + "\r\n" }
	stream := func(head, end string) string {
		return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" + head + "\r\n" +
			chunk(event) + chunk(event+end) + "0\r\n\r\n"
	}
	for _, tc := range []struct {
		name, answer     string
		begin, end       float64 // 0: none
		read, unreadable int64
		ended            logic.Status // of a response that is no stream
	}{
		{"a read prompt", "HTTP/1.1 202 Accepted\r\nX-Load: 0.25\r\nContent-Length: 0\r\n\r\n", 0, 0.25, 1, 0, logic.PromptRead},
		{"a refusal", "HTTP/1.1 503 No\r\nx-load: 0.9\r\nContent-Length: 0\r\n\r\n", 0, 0.9, 1, 0, logic.ServerError},
		{"malformed", "HTTP/1.1 202 Accepted\r\nX-Load: a\r\nContent-Length: 0\r\n\r\n", 0, 0, 0, 1, logic.PromptRead},
		{"none at all", stream("", ""), 0, 0, 0, 0, logic.Served},
		{"in the head alone", stream("X-Load: 0.5\r\n", ""), 0.5, 0.5, 1, 0, logic.Served},
		{"at the end", stream("", ": X-Load: 0.75\n\n"), 0, 0.75, 1, 0, logic.Served},
		{"in both", stream("X-Load: 0.5\r\n", ": X-Load: 0.75\n\n"), 0.5, 0.75, 2, 0, logic.Served},
		{"several at the end, the last one counts", stream("", ": x-load: 0.1\r\n: X-Load: 0.2\r\n"), 0, 0.2, 1, 0, logic.Served},
		{"cut off at the end", stream("X-Load: 0.5\r\n", ": X-Load: 0.7"), 0.5, 0.5, 1, 0, logic.Served},
		{"malformed at the end", stream("X-Load: 0.5\r\n", ": X-Load: ?\n"), 0.5, 0.5, 1, 1, logic.Served},
		{"in an event's text", stream("", "data: X-Load: 0.7\n"), 0, 0, 0, 0, logic.Served},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, w, counters := startWorker(t, func(nc net.Conn) {
				request(nc)
				_, _ = nc.Write([]byte(tc.answer))
			})
			e, _ := send(withReports(c), w, true)
			if tc.ended != logic.Served {
				o := <-e.outcomes
				require.Equal(t, tc.ended, o.Status)
				require.Equal(t, tc.end, o.Load.MemoryShare)
			} else {
				a := <-e.answers
				require.Equal(t, tc.begin, a.Load().MemoryShare)
				text, err := io.ReadAll(a)
				require.NoError(t, err)
				require.Contains(t, string(text), event)
				require.Equal(t, tc.end, a.Load().MemoryShare)
				require.Equal(t, tc.end > 0, a.Load().HasMemory)
			}
			require.Equal(t, tc.read, counters.Get("reports_read"))
			require.Equal(t, tc.unreadable, counters.Get("reports_unreadable"))
		})
	}
}

// The report is read at the end of a stream. A stream that breaks off has none, whatever its last
// line.
func TestBrokenStreamHasNoReport(t *testing.T) {
	c, w, counters := startWorker(t, func(nc net.Conn) {
		request(nc)
		_, _ = nc.Write([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: x\n\n\r\n10\r\n: X-Load: 0.75\n\n\r\n"))
		_ = nc.Close()
	})
	e, _ := send(withReports(c), w, true)
	a := <-e.answers
	_, err := io.ReadAll(a)
	require.Error(t, err)
	require.False(t, a.Load().HasMemory)
	require.Zero(t, counters.Get("reports_read"))
}
