package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"lichenshelf/store"
)

// watchPollWait is the duration of one long poll of a watch; it is shorter than the client's
// time-out.
const watchPollWait = 4 * time.Second

// storeCommand reads and changes the store, for operators.
func storeCommand() *cli.Command {
	version := &cli.Int64Flag{Name: "version", Value: store.AnyVersion, Usage: "only if the node's data are at this `VERSION`"}
	sub := func(name, usage, args string, argCount int, flags []cli.Flag, do func(context.Context, *cli.Command, *store.Client, io.Writer) error) *cli.Command {
		return &cli.Command{Name: name, Usage: usage, ArgsUsage: args, Flags: flags,
			Action: func(ctx context.Context, c *cli.Command) error {
				if c.Args().Len() != argCount {
					return fmt.Errorf("store %s takes %s", name, args)
				}
				client, err := storeClient(c)
				if err != nil {
					return err
				}
				return do(ctx, c, client, c.Root().Writer)
			}}
	}
	return &cli.Command{
		Name: "store", Usage: "read and change the replicated store",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "at", Usage: "API `ADDRESS` of a replica; more than one may be given"},
			&cli.StringFlag{Name: "file", Value: defaultStore, Usage: "the store's `FILE`, whose peers are used without --at"},
		},
		Commands: []*cli.Command{
			sub("ls", "list the names below a node", "PATH", 1, nil, func(_ context.Context, c *cli.Command, s *store.Client, w io.Writer) error {
				n, err := s.Node(c.Args().First())
				for _, name := range n.Children {
					if _, err := fmt.Fprintln(w, name); err != nil {
						return err
					}
				}
				return err
			}),
			sub("get", "print a node's data", "PATH", 1, nil, func(_ context.Context, c *cli.Command, s *store.Client, w io.Writer) error {
				n, err := s.Node(c.Args().First())
				if err != nil {
					return err
				}
				_, err = fmt.Fprintln(w, n.Data)
				return err
			}),
			sub("stat", "print a node's metadata", "PATH", 1, nil, func(_ context.Context, c *cli.Command, s *store.Client, w io.Writer) error {
				n, err := s.Node(c.Args().First())
				if err != nil {
					return err
				}
				e := json.NewEncoder(w)
				e.SetIndent("", "  ")
				return e.Encode(n.Stat)
			}),
			sub("set", "set a node's data, creating the node if it is missing", "PATH DATA", 2, []cli.Flag{version},
				func(_ context.Context, c *cli.Command, s *store.Client, _ io.Writer) error {
					path, data := c.Args().Get(0), []byte(c.Args().Get(1))
					if _, err := s.Node(path); errors.Is(err, store.ErrNoNode) && !c.IsSet("version") {
						return s.Create(path, data)
					}
					return s.Set(path, data, c.Int64("version"))
				}),
			sub("rm", "remove a node that has no children", "PATH", 1, []cli.Flag{version},
				func(_ context.Context, c *cli.Command, s *store.Client, _ io.Writer) error {
					return s.Delete(c.Args().First(), c.Int64("version"))
				}),
			{Name: "leader", Usage: "print which replica is the leader, or transfer the leadership", Flags: []cli.Flag{
				&cli.StringFlag{Name: "to", Usage: "the `ID` of the replica that becomes the leader, for use before the current leader is stopped"}},
				Action: func(_ context.Context, c *cli.Command) error {
					client, err := storeClient(c)
					if err != nil {
						return err
					}
					if to := c.String("to"); to != "" {
						return client.TransferLeadership(to)
					}
					leader, err := client.Leader()
					if err != nil {
						return err
					}
					_, err = fmt.Fprintln(c.Root().Writer, leader)
					return err
				}},
			sub("watch", "print a node, and again whenever it or its list of children changes, until SIGTERM", "PATH", 1, nil, watchNode),
		},
	}
}

// storeClient returns a client for the replicas given by flag, or for those of the file.
func storeClient(c *cli.Command) (*store.Client, error) {
	at := c.StringSlice("at")
	if len(at) == 0 {
		cfg, err := store.LoadConfig(c.String("file"))
		if err != nil {
			return nil, err
		}
		for _, p := range cfg.Peers {
			at = append(at, p.API)
		}
	}
	if len(at) == 0 {
		return nil, errors.New("no replica given: use --at, or --file with a file that has peers")
	}
	return store.NewClient(at...), nil
}

func watchNode(ctx context.Context, c *cli.Command, s *store.Client, w io.Writer) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	path := c.Args().First()
	n, err := s.Node(path)
	out := json.NewEncoder(w)
	for {
		switch {
		case errors.Is(err, store.ErrNoNode):
			if _, err := fmt.Fprintln(w, "null"); err != nil {
				return err
			}
			return nil
		case err != nil:
			return err
		}
		if err := out.Encode(n); err != nil {
			return err
		}
		for seen := false; !seen; {
			if ctx.Err() != nil {
				return nil
			}
			var next store.Node
			if next, seen, err = s.Next(path, n.Stat.Version, n.Stat.Children, watchPollWait); err != nil {
				break
			}
			if seen {
				n = next
			}
		}
	}
}
