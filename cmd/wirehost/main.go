// Command wirehost serves the simulator's wire protocol on standard input and output.
package main

import (
	"fmt"
	"os"

	"lichenshelf/logic"
	"lichenshelf/wire"
)

func main() {
	host := wire.NewHost(func(s logic.Settings, seed uint64) logic.Decider { return logic.New(s, seed) })
	if err := host.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}
