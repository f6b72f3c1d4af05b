package zksource

import (
	"context"
	"errors"
	"fmt"
	"path"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-zookeeper/zk"
)

// Register keeps an ephemeral node with the data until ctx ends, over as many
// sessions as it takes, and removes it then. Parents that are missing are made.
// What goes wrong meanwhile is told to problem.
func Register(ctx context.Context, servers []string, node string, data []byte, timeout time.Duration, problem func(error)) error {
	events := events{more: make(chan struct{}, 1)}
	conn, _, err := zk.Connect(servers, timeout, zk.WithLogInfo(false), zk.WithLogger(quiet{}), zk.WithEventCallback(events.add))
	if err != nil {
		return fmt.Errorf("servers %v: %w", servers, err)
	}
	defer conn.Close() // ends the session, and the node with it
	again := backoff.NewExponentialBackOff()
	again.InitialInterval, again.MaxInterval = retryMin, retryMax
	look := time.NewTicker(timeout / 2) // without a watch: see Source.Run
	defer look.Stop()
	for {
		var retry <-chan time.Time
		if conn.State() == zk.StateHasSession {
			if err := keep(conn, node, data); err != nil {
				problem(err)
				retry = time.After(again.NextBackOff())
			} else {
				again.Reset()
			}
		}
		select {
		case <-events.more:
			events.take() // a new session, it may be
		case <-look.C:
		case <-retry:
		case <-ctx.Done():
			return nil
		}
	}
}

// keep sees to it that the node is there, with our data and of our session.
func keep(conn *zk.Conn, node string, data []byte) error {
	there, stat, err := conn.Exists(node)
	switch {
	case err != nil:
		return fmt.Errorf("look at %s: %w", node, err)
	case there && stat.EphemeralOwner == conn.SessionID():
		return nil
	case there:
		// Of an earlier session of ours, as a rule, which has yet to time out: it
		// gives way in the one step that makes the new one.
		_, err = conn.Multi(&zk.DeleteRequest{Path: node, Version: stat.Version},
			&zk.CreateRequest{Path: node, Data: data, Acl: zk.WorldACL(zk.PermAll), Flags: zk.FlagEphemeral})
	default:
		if err := parents(conn, path.Dir(node)); err != nil {
			return err
		}
		_, err = conn.Create(node, data, zk.FlagEphemeral, zk.WorldACL(zk.PermAll))
	}
	if err != nil {
		return fmt.Errorf("create %s: %w", node, err)
	}
	return nil
}

// parents makes a node that does not vanish, and those above it.
func parents(conn *zk.Conn, node string) error {
	at := ""
	for _, name := range strings.Split(strings.TrimPrefix(node, "/"), "/") {
		at += "/" + name
		if _, err := conn.Create(at, nil, 0, zk.WorldACL(zk.PermAll)); err != nil && !errors.Is(err, zk.ErrNodeExists) {
			return fmt.Errorf("create %s: %w", at, err)
		}
	}
	return nil
}
