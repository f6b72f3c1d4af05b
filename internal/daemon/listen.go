package daemon

import (
	"context"
	"errors"
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

// openForClients opens the listener of a front.
func (d *daemon) openForClients(starting context.Context, addr string) (net.Listener, error) {
	l, err := d.open(starting, addr, downstream.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen for clients: %w", err)
	}
	return l, nil
}

// errStopping means that a component was not started since the process is stopping.
var errStopping = errors.New("the router is stopping")

// serve serves a front's clients.
func (d *daemon) serve(l net.Listener, f front, cfg downstream.Config) error {
	cfg.Core, cfg.Counters = f.core, d.counters
	f.server, f.log = downstream.NewServer(l, cfg), d.log
	if err := d.addFront(f); err != nil {
		return errors.Join(err, l.Close())
	}
	go func() {
		if err := f.server.Serve(); err != nil {
			d.failed <- err
		}
	}()
	d.log.WithFields(logrus.Fields{"listen": l.Addr().String(), "connections": cfg.MaxConns}).Info("serving")
	return nil
}

// serveBeside runs a server that the fronts don't need: an error that ends it is logged, and the
// process goes on.
func (d *daemon) serveBeside(name string, serve func() error) {
	go func() {
		if err := serve(); err != nil {
			d.log.WithError(err).WithField("component", name).Error("component ended, the router serves on without it")
		}
	}()
}
