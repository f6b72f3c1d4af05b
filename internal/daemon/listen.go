package daemon

import (
	"context"
	"fmt"
	"net"

	"github.com/sirupsen/logrus"

	"lichenshelf/downstream"
	"lichenshelf/internal/listener"
)

// open opens a listener at an address. A temporary shortage of system resources, or an address that
// is not free yet, delays the start but does not fail it.
func (d *daemon) open(starting context.Context, addr string, listen func(addr string) (net.Listener, error)) (net.Listener, error) {
	return listener.Open(starting, func() (net.Listener, error) { return listen(addr) }, func(err error) {
		d.log.WithError(err).WithField("listen", addr).Warn("address not available yet, retrying")
	})
}

func listenTCP(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

func (d *daemon) listen(starting context.Context, addr string, f front, cfg downstream.Config) error {
	l, err := d.open(starting, addr, downstream.Listen)
	if err != nil {
		return fmt.Errorf("listen for clients: %w", err)
	}
	cfg.Core, cfg.Counters = f.core, d.counters
	server := downstream.NewServer(l, cfg)
	f.server, f.log = server, d.log
	d.frontsMu.Lock()
	d.fronts = append(d.fronts, f)
	d.frontsMu.Unlock()
	go func() {
		if err := server.Serve(); err != nil {
			d.failed <- err
		}
	}()
	d.log.WithFields(logrus.Fields{"listen": addr, "connections": cfg.MaxConns}).Info("serving")
	return nil
}
