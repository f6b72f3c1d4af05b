// Package command provides the command line of the laboratory.
package command

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"lichenshelf/lab/demo"
)

// AsRouter is the first argument that makes the program run as a router.
const AsRouter = "router"

// New returns the command line.
func New() *cli.Command {
	return &cli.Command{Name: "lichenlab", Usage: "try the router out against emulated workers, on loopback only", Commands: []*cli.Command{
		{Name: "demo", Usage: "start workers, routers and clients, and show what happens", Flags: []cli.Flag{
			&cli.IntFlag{Name: "routers", Value: 3, Usage: "number of routers, 1 to 16"},
			&cli.DurationFlag{Name: "for", Value: 15 * time.Second, Usage: "how long clients send requests"},
			&cli.FloatFlag{Name: "rate", Value: 15, Usage: "requests a second"},
			&cli.StringFlag{Name: "fault", Usage: "fault to inject for a while: worker, router or link"},
			&cli.BoolFlag{Name: "alone", Usage: "routers share nothing, as on the platform"},
			&cli.StringFlag{Name: "plot", Value: "lichenlab-demo.png", Usage: "write a plot to `FILE`; empty for none"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "random seed of the clients' requests"},
		}, Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() > 0 {
				return fmt.Errorf("demo: unexpected argument %q", c.Args().First())
			}
			self, err := os.Executable()
			if err != nil {
				return fmt.Errorf("demo: %w", err)
			}
			dir, err := os.MkdirTemp("", "lichenlab-")
			if err != nil {
				return fmt.Errorf("demo: %w", err)
			}
			defer os.RemoveAll(dir)
			_, err = demo.Run(ctx, demo.Config{Routers: c.Int("routers"), For: c.Duration("for"), Rate: c.Float("rate"), Fault: c.String("fault"),
				Alone: c.Bool("alone"), Seed: c.Uint64("seed"), Plot: c.String("plot"), Dir: dir, Router: []string{self, AsRouter}}, c.Root().Writer)
			return err
		}},
	}}
}
