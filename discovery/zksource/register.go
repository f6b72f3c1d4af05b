package zksource

import (
	"context"
	"errors"
	"fmt"
	"path"
	"strings"
	"time"

	"github.com/go-zookeeper/zk"

	"lichenshelf/internal/transient"
)

// Register maintains an ephemeral node with the given data until ctx ends, and removes it then. It
// creates missing parents, and opens a new session and recreates the node whenever a session is
// lost. Errors meanwhile are passed to reportError.
func Register(ctx context.Context, servers []string, node string, data []byte, timeout time.Duration, reportError func(error)) error {
	events := eventQueue{ready: make(chan struct{}, 1)}
	conn, _, err := zk.Connect(servers, timeout, zk.WithLogInfo(false), zk.WithLogger(discardLogger{}), zk.WithEventCallback(events.add))
	if err != nil {
		return fmt.Errorf("servers %v: %w", servers, err)
	}
	defer conn.Close() // ends the session, and the node with it
	retryBackoff := transient.NewBackoff(retryMin, retryMax)
	check := time.NewTicker(timeout / 2) // polls instead of watching; for the reason see Source.Run
	defer check.Stop()
	for {
		var retry <-chan time.Time
		if conn.State() == zk.StateHasSession {
			if err := ensureNode(conn, node, data); err != nil {
				reportError(err)
				retry = time.After(retryBackoff.NextBackOff())
			} else {
				retryBackoff.Reset()
			}
		}
		select {
		case <-events.ready:
			events.take() // there may be a new session
		case <-check.C:
		case <-retry:
		case <-ctx.Done():
			return nil
		}
	}
}

// ensureNode creates the node unless it already exists and belongs to the current session.
func ensureNode(conn *zk.Conn, node string, data []byte) error {
	exists, stat, err := conn.Exists(node)
	switch {
	case err != nil:
		return fmt.Errorf("check %s: %w", node, err)
	case exists && stat.EphemeralOwner == conn.SessionID():
		return nil
	case exists:
		// The node usually belongs to an earlier session of this process that has not timed out
		// yet. It is deleted in the same transaction that creates the new one, so that readers
		// never find the node missing.
		_, err = conn.Multi(&zk.DeleteRequest{Path: node, Version: stat.Version},
			&zk.CreateRequest{Path: node, Data: data, Acl: zk.WorldACL(zk.PermAll), Flags: zk.FlagEphemeral})
	default:
		if err := createParents(conn, path.Dir(node)); err != nil {
			return err
		}
		_, err = conn.Create(node, data, zk.FlagEphemeral, zk.WorldACL(zk.PermAll))
	}
	if err != nil {
		return fmt.Errorf("create %s: %w", node, err)
	}
	return nil
}

// createParents creates a persistent node and all its ancestors where they are missing.
func createParents(conn *zk.Conn, node string) error {
	current := ""
	for _, name := range strings.Split(strings.TrimPrefix(node, "/"), "/") {
		current += "/" + name
		if _, err := conn.Create(current, nil, 0, zk.WorldACL(zk.PermAll)); err != nil && !errors.Is(err, zk.ErrNodeExists) {
			return fmt.Errorf("create %s: %w", current, err)
		}
	}
	return nil
}
