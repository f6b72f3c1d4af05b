package daemon

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"lichenshelf/front/modelapi"
	"lichenshelf/front/zkfront"
	"lichenshelf/internal/transient"
	"lichenshelf/store"
)

const (
	storeStartTimeout  = 30 * time.Second
	storeRetryInterval = 200 * time.Millisecond
	followPollInterval = 500 * time.Millisecond // for a store without a replica in this process
)

// startStore starts this router's replica, or follows those of others. starting ends when the
// program receives a stop signal during the start.
func (d *daemon) startStore(starting context.Context, cfg *store.Config) error {
	if len(cfg.Follow) > 0 {
		f := store.NewFollower(cfg.Name, followPollInterval, cfg.Follow...)
		d.storeClient = f
		go f.Run(d.ctx, modelapi.ConfigName)
		d.log.WithField("name", cfg.Name).WithField("follow", cfg.Follow).Info("following the store")
	}
	if cfg.ID == "" {
		return nil
	}
	cfg.Log = d.log.Out
	l, err := d.open(starting, cfg.Self().API, listenTCP)
	if err != nil {
		return fmt.Errorf("listen for store API clients: %w", err)
	}
	if d.replica, err = d.openReplica(starting, *cfg); err != nil {
		return errors.Join(err, l.Close())
	}
	d.storeClient = ownReplica{d.replica}
	d.api = store.NewAPI(d.replica, storeChecks)
	d.serveBeside("store", func() error { return d.api.Serve(l) })
	d.log.WithFields(logrus.Fields{"id": cfg.ID, "api": cfg.Self().API}).Info("store open")
	if cfg.ZooKeeper == "" {
		return nil
	}
	clients, err := d.open(starting, cfg.ZooKeeper, listenTCP)
	if err != nil {
		return fmt.Errorf("listen for ZooKeeper clients: %w", err)
	}
	d.zk = zkfront.New(d.replica, zkfront.Config{Self: cfg.ID, Log: d.log})
	d.serveBeside("zookeeper", func() error { return d.zk.Serve(clients) })
	d.log.WithField("zookeeper", cfg.ZooKeeper).Info("serving ZooKeeper clients")
	return nil
}

// openReplica opens the replica. A disk that temporarily rejects writes does not fail the start:
// opening is retried for storeStartTimeout. If the disk does not answer within that time,
// openReplica abandons the call, and the process exits.
func (d *daemon) openReplica(starting context.Context, cfg store.Config) (*store.Replica, error) {
	ctx, cancel := context.WithTimeout(starting, storeStartTimeout)
	defer cancel()
	type opened struct {
		replica *store.Replica
		err     error
	}
	done := make(chan opened, 1)
	go func() {
		var o opened
		o.err = transient.Retry(ctx, storeRetryInterval, isTransientDiskError, func() (err error) {
			if o.replica, err = store.Open(cfg); err != nil && isTransientDiskError(err) {
				d.log.WithError(err).Error("store directory is not writable, retrying")
			}
			return err
		})
		done <- o
	}()
	select {
	case o := <-done:
		return o.replica, o.err
	case <-ctx.Done():
	}
	// The replica may have been opened just as the start was cancelled; it is returned so that the
	// caller can close it.
	select {
	case o := <-done:
		return o.replica, o.err
	case <-time.After(storeRetryInterval):
		return nil, fmt.Errorf("open the store directory: %w", ctx.Err())
	}
}

// isTransientDiskError reports whether an error comes from the disk and may be temporary.
func isTransientDiskError(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EIO) || errors.Is(err, syscall.EDQUOT)
}

func (d *daemon) closeStore() {
	if d.replica == nil {
		return
	}
	if d.zk != nil {
		d.zk.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := errors.Join(d.api.Close(ctx), d.replica.Close()); err != nil {
		d.log.WithError(err).Warn("store did not close cleanly")
	}
}
