// Command lichenlab runs the laboratory: emulated workers, routers and clients on loopback.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"

	"lichenshelf/internal/cli"
	"lichenshelf/lab/command"
)

func main() {
	// A demonstration starts this program again as its routers, in the role of lichenshelf.
	if len(os.Args) > 1 && os.Args[1] == command.AsRouter {
		os.Exit(cli.Run(append([]string{"lichenshelf"}, os.Args[2:]...)))
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := command.New().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "lichenlab:", err)
		os.Exit(1)
	}
}
