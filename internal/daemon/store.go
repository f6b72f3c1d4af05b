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
	storeWait   = 30 * time.Second
	settleAgain = 200 * time.Millisecond
	followPace  = 500 * time.Millisecond // of looks at a store without a replica here
)

// startStore starts this router's replica, or follows others'; starting ends when the program is told to stop meanwhile.
func (d *daemon) startStore(starting context.Context) error {
	cfg, err := store.LoadConfig(d.files.Store)
	if err == nil && len(cfg.Follow) > 0 {
		f := store.NewFollower(cfg.Name, followPace, cfg.Follow...)
		d.records = f
		go f.Run(d.ctx, modelapi.ConfigName)
		d.log.WithField("name", cfg.Name).WithField("follow", cfg.Follow).Info("following the store")
	}
	if err != nil || cfg.ID == "" {
		return err
	}
	cfg.Log = d.log.Out
	l, err := d.open(starting, cfg.Self().API, listenTCP)
	if err != nil {
		return fmt.Errorf("listen for the store's clients: %w", err)
	}
	if d.replica, err = d.openReplica(starting, *cfg); err != nil {
		return errors.Join(err, l.Close())
	}
	d.records = ownReplica{d.replica}
	d.api = store.NewAPI(d.replica, storeChecks)
	go func() {
		if err := d.api.Serve(l); err != nil {
			d.failed <- err
		}
	}()
	d.log.WithFields(logrus.Fields{"id": cfg.ID, "api": cfg.Self().API}).Info("store open")
	if cfg.ZooKeeper == "" {
		return nil
	}
	clients, err := d.open(starting, cfg.ZooKeeper, listenTCP)
	if err != nil {
		return fmt.Errorf("listen for ZooKeeper clients: %w", err)
	}
	d.zk = zkfront.New(d.replica, zkfront.Config{Self: cfg.ID, Log: d.log})
	go func() {
		if err := d.zk.Serve(clients); err != nil {
			d.failed <- err
		}
	}()
	d.log.WithField("zookeeper", cfg.ZooKeeper).Info("serving ZooKeeper clients")
	return nil
}

// openReplica opens the replica. A disk that takes no writes for a while does not end the start: it is tried again, for
// storeWait in all. One that does not answer is waited for as long; what hangs then is left behind by the process, which ends.
func (d *daemon) openReplica(starting context.Context, cfg store.Config) (*store.Replica, error) {
	ctx, cancel := context.WithTimeout(starting, storeWait)
	defer cancel()
	type opened struct {
		replica *store.Replica
		err     error
	}
	done := make(chan opened, 1)
	go func() {
		var o opened
		o.err = transient.Retry(ctx, settleAgain, diskFault, func() (err error) {
			if o.replica, err = store.Open(cfg); err != nil && diskFault(err) {
				d.log.WithError(err).Error("the store's folder can't be written, tried again")
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
	// A start that was ended just as the replica was open has a replica to close.
	select {
	case o := <-done:
		return o.replica, o.err
	case <-time.After(settleAgain):
		return nil, fmt.Errorf("open the store's folder: %w", ctx.Err())
	}
}

// diskFault tells whether an error is the disk's, and may pass.
func diskFault(err error) bool {
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
		d.log.WithError(err).Warn("store not closed in good order")
	}
}
