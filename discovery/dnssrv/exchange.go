// Package dnssrv follows a DNS SRV name: it queries name servers over UDP and TCP and reports to a
// sink which workers the name lists. Package dnsrule interprets the answers, and package membership
// decides what follows from the reports.
package dnssrv

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"time"

	"github.com/miekg/dns"

	"lichenshelf/discovery/dnsrule"
)

// exchange sends one question to one name server, over UDP and, if the answer is truncated, over
// TCP. Each of the two has the full time-out, within ctx.
func exchange(ctx context.Context, server string, q dnsrule.Question, timeout time.Duration) (dnsrule.Answer, error) {
	m, err := overUDP(ctx, server, q, timeout)
	if err != nil {
		return dnsrule.Answer{}, fmt.Errorf("ask %s for %v: %w", server, q, err)
	}
	a, err := dnsrule.Read(m, q)
	if errors.Is(err, dnsrule.ErrTruncated) {
		if m, err = overTCP(ctx, server, q, timeout); err != nil {
			return dnsrule.Answer{}, fmt.Errorf("ask %s over TCP for %v: %w", server, q, err)
		}
		a, err = dnsrule.Read(m, q)
	}
	if err != nil {
		return dnsrule.Answer{}, fmt.Errorf("%s said of %v: %w", server, q, err)
	}
	return a, nil
}

// dial connects a socket and returns a function that closes it. A connected socket has a random
// port of its own and receives nothing from other addresses.
func dial(ctx context.Context, network, server string, timeout time.Duration) (net.Conn, func(), error) {
	d := net.Dialer{Timeout: timeout}
	c, err := d.DialContext(ctx, network, server)
	if err != nil {
		return nil, nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(timeout)); err != nil {
		stop()
		return nil, nil, errors.Join(err, c.Close())
	}
	return c, func() { stop(); _ = c.Close() }, nil
}

// newQuery returns a packed query with an unpredictable id.
func newQuery(q dnsrule.Question) (id uint16, wire []byte, err error) {
	id = uint16(rand.Uint32()) // unpredictable: ChaCha8, seeded by the system
	wire, err = q.Message(id).Pack()
	return id, wire, err
}

func overUDP(ctx context.Context, server string, q dnsrule.Question, timeout time.Duration) (*dns.Msg, error) {
	id, wire, err := newQuery(q)
	if err != nil {
		return nil, err
	}
	c, done, err := dial(ctx, "udp", server, timeout)
	if err != nil {
		return nil, err
	}
	defer done()
	if _, err := c.Write(wire); err != nil {
		return nil, err
	}
	buf := make([]byte, 4096)
	for {
		n, err := c.Read(buf)
		if err != nil {
			return nil, err
		}
		m, err := dnsrule.Parse(buf[:n], q, id)
		if err == nil {
			return m, nil
		} // otherwise ignored: the right answer may still arrive
	}
}

func overTCP(ctx context.Context, server string, q dnsrule.Question, timeout time.Duration) (*dns.Msg, error) {
	id, wire, err := newQuery(q)
	if err != nil {
		return nil, err
	}
	c, done, err := dial(ctx, "tcp", server, timeout)
	if err != nil {
		return nil, err
	}
	defer done()
	if _, err := c.Write(append(binary.BigEndian.AppendUint16(nil, uint16(len(wire))), wire...)); err != nil {
		return nil, err
	}
	var size [2]byte
	if _, err := io.ReadFull(c, size[:]); err != nil {
		return nil, err
	}
	answer := make([]byte, binary.BigEndian.Uint16(size[:]))
	if _, err := io.ReadFull(c, answer); err != nil {
		return nil, err
	}
	return dnsrule.Parse(answer, q, id)
}
