package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os/signal"
	"path"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"lichenshelf/discovery/membership"
	"lichenshelf/discovery/storesource"
	"lichenshelf/discovery/zkrule"
	"lichenshelf/discovery/zksource"
	"lichenshelf/store"
)

// minSessionTimeout leaves room for a few late heartbeats.
const minSessionTimeout = 300 * time.Millisecond

// registerCommand keeps a backend registered while the command runs: it is meant to be started and
// stopped together with the backend.
func registerCommand(log *logrus.Logger) *cli.Command {
	return &cli.Command{
		Name: "register", Usage: "keep a backend registered in the store until SIGTERM",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "store", Usage: "`ADDRESS` of a replica's API or, with --protocol zk, of a server; more than one may be given", Required: true},
			&cli.StringFlag{Name: "protocol", Value: "http", Usage: "http, the store's API, or zk, that of ZooKeeper"},
			&cli.StringFlag{Name: "path", Value: storesource.BackendsPath, Usage: "the parent `NODE` of the registration"},
			&cli.StringFlag{Name: "name", Usage: "the backend's `NAME`", Required: true},
			&cli.StringFlag{Name: "addr", Usage: "the backend's `ADDRESS`", Required: true},
			&cli.IntFlag{Name: "cell", Usage: "its cell"},
			&cli.DurationFlag{Name: "timeout", Value: 5 * time.Second, Usage: "time without heartbeats after which the registration expires"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			data, err := json.Marshal(zkrule.Registration{Addr: c.String("addr"), Cell: c.Int("cell"),
				StartedAtMs: time.Now().UnixMilli()})
			if err != nil {
				return fmt.Errorf("encode registration: %w", err)
			}
			if _, err := storesource.Parse(c.String("name"), data, membership.Entry{}); err != nil {
				return err
			}
			if c.Duration("timeout") < minSessionTimeout {
				return errors.New("--timeout is too short: it must be 300ms or longer")
			}
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			node := path.Join(c.String("path"), c.String("name"))
			problem := func(err error) { log.WithError(err).Warn("registration failed, retrying") }
			switch protocol := c.String("protocol"); protocol {
			case "http":
				store.NewClient(c.StringSlice("store")...).Register(ctx, node, data, c.Duration("timeout"), problem)
				return nil
			case "zk":
				return zksource.Register(ctx, c.StringSlice("store"), node, data, c.Duration("timeout"), problem)
			default:
				return fmt.Errorf("protocol %q is neither http nor zk", protocol)
			}
		},
	}
}
