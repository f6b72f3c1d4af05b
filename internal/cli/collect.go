package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"lichenshelf/fleet/eventlog"
)

// defaultCollectTimeout is the default time limit for the event log of one router.
const defaultCollectTimeout = time.Minute

// collectCommand copies the event logs of running routers.
func collectCommand() *cli.Command {
	return &cli.Command{Name: "collect", Usage: "copy the event logs (trails) of running routers into a directory, one subdirectory each; routers that fail are reported, the others are kept",
		ArgsUsage: "DIR", Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "operator", Usage: "a router's operator `ADDRESS`, as its fleet.toml names it; may be repeated", Required: true},
			&cli.DurationFlag{Name: "timeout", Usage: "`TIME` for each router", Value: defaultCollectTimeout},
			&cli.Int64Flag{Name: "bytes", Usage: "maximum `BYTES` of one trail", Value: 1 << 30},
		}, Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return fmt.Errorf("audit collect: %d directories given, one is needed", c.Args().Len())
			}
			var all error
			for _, addr := range c.StringSlice("operator") {
				dir := filepath.Join(c.Args().First(), strings.NewReplacer(":", "_", "/", "_").Replace(addr))
				n, err := collect(ctx, c, addr, dir)
				if err != nil {
					all = errors.Join(all, fmt.Errorf("audit collect: %s: %w", addr, err))
					continue
				}
				if _, err := fmt.Fprintf(c.Root().Writer, "%s: %d segments in %s\n", addr, n, dir); err != nil {
					return err
				}
			}
			return all
		}}
}

// collect copies the event log of one router. An earlier copy is replaced only once the new one is
// complete.
func collect(ctx context.Context, c *cli.Command, addr, dir string) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/fleet/trail", nil)
	if err != nil {
		return 0, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return 0, errors.New("this router keeps no event log")
	default:
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
		return 0, fmt.Errorf("%s: %s", resp.Status, strings.TrimSpace(string(text)))
	}
	part := dir + ".part"
	if err := os.RemoveAll(part); err != nil {
		return 0, err
	}
	n, err := eventlog.Unpack(resp.Body, part, c.Int64("bytes"))
	if err != nil {
		return n, err
	}
	if err := os.RemoveAll(dir); err != nil {
		return n, err
	}
	return n, os.Rename(part, dir)
}
