// Command lichenplot draws diagrams from routers' event logs.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"lichenshelf/fleet/eventlog"
	"lichenshelf/internal/plots"
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "lichenplot:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	out := &cli.StringFlag{Name: "out", Value: "lag.svg", Usage: "the `FILE` to write (.svg, .png or .pdf)"}
	return &cli.Command{Name: "lichenplot", Usage: "draw diagrams from routers' event logs (trails)", Commands: []*cli.Command{
		{Name: "lag", Usage: "draw by how many versions each router lagged behind the newest, over the order of records", ArgsUsage: "DIR...",
			Flags: []cli.Flag{out}, Action: func(_ context.Context, c *cli.Command) error {
				if c.Args().Len() == 0 {
					return fmt.Errorf("lag takes DIR..., one directory for each router")
				}
				trails, err := eventlog.ReadAll(c.Args().Slice())
				if err != nil {
					return fmt.Errorf("lag: %w", err)
				}
				return plots.Lag(trails, c.String("out"))
			}},
	}}
}
