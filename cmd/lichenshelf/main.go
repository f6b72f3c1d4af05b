// Command lichenshelf is the router daemon.
package main

import (
	"os"

	"lichenshelf/internal/cli"
)

func main() { os.Exit(cli.Run(os.Args)) }
