package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"lichenshelf/membership"
	"lichenshelf/store"
	"lichenshelf/storesource"
)

// shortestSession leaves room for a few touches that come late.
const shortestSession = 300 * time.Millisecond

// registerCommand keeps a backend registered for as long as it runs: it is meant
// to be started beside the backend, and to end with it.
func registerCommand(log *logrus.Logger) *cli.Command {
	return &cli.Command{
		Name: "register", Usage: "keep a backend registered in the store until SIGTERM",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "store", Usage: "API `ADDRESS` of a replica; more than one may be given", Required: true},
			&cli.StringFlag{Name: "name", Usage: "the backend's `NAME`", Required: true},
			&cli.StringFlag{Name: "addr", Usage: "the backend's `ADDRESS`", Required: true},
			&cli.IntFlag{Name: "cell", Usage: "its cell"},
			&cli.DurationFlag{Name: "timeout", Value: 5 * time.Second, Usage: "how long it may be silent before it counts as gone"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			data, err := json.Marshal(storesource.Registration{Addr: c.String("addr"), Cell: c.Int("cell"),
				StartedAtMs: time.Now().UnixMilli()})
			if err != nil {
				return fmt.Errorf("encode registration: %w", err)
			}
			if _, err := storesource.Parse(c.String("name"), data, membership.Entry{}); err != nil {
				return err
			}
			if c.Duration("timeout") < shortestSession {
				return errors.New("the time-out is too short")
			}
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			store.NewClient(c.StringSlice("store")...).Register(ctx, storesource.BackendsPath+"/"+c.String("name"), data,
				c.Duration("timeout"), func(err error) { log.WithError(err).Warn("not registered, trying again") })
			return nil
		},
	}
}
