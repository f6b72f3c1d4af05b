package cli

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pmezard/go-difflib/difflib"
	"github.com/urfave/cli/v3"

	"lichenshelf/front/modelapi"
	"lichenshelf/internal/daemon"
	"lichenshelf/store"
)

// configCommand publishes configurations in the store and shows which routers use or refuse them.
func configCommand() *cli.Command {
	request := &cli.StringFlag{Name: "request", Usage: "a `NAME` for this request; repeats under the same name count once (random by default)"}
	by := &cli.StringFlag{Name: "by", Usage: "who publishes", Sources: cli.EnvVars("USER")}
	sub := func(name, usage, args string, minArgs, maxArgs int, flags []cli.Flag, do func(c *cli.Command, s *store.Client, w io.Writer) error) *cli.Command {
		return &cli.Command{Name: name, Usage: usage, ArgsUsage: args, Flags: flags, Action: func(_ context.Context, c *cli.Command) error {
			if n := c.Args().Len(); n < minArgs || n > maxArgs {
				return fmt.Errorf("config %s takes %s", name, args)
			}
			client, err := storeClient(c)
			if err != nil {
				return err
			}
			return do(c, client, c.Root().Writer)
		}}
	}
	return &cli.Command{
		Name: "config", Usage: "publish the routers' configuration in the store, and show which router uses which version",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "at", Usage: "API `ADDRESS` of a replica; more than one may be given"},
			&cli.StringFlag{Name: "file", Value: defaultStore, Usage: "the store's `FILE`, whose peers are used without --at"},
			&cli.StringFlag{Name: "name", Value: modelapi.ConfigName, Usage: "which configuration"},
		},
		Commands: []*cli.Command{
			sub("publish", "check a file and make it the next version", "FILE", 1, 1, []cli.Flag{request, by,
				&cli.Uint64Flag{Name: "expect", Usage: "only if this `VERSION` is the latest; 0 is none"}}, publishFile),
			sub("show", "print a version's text, and which router uses which version", "[VERSION]", 0, 1, nil, showConfig),
			sub("diff", "compare two versions, or one with the latest", "VERSION [VERSION]", 1, 2, nil, diffConfig),
			sub("history", "list the versions that are kept", "", 0, 0, nil, func(c *cli.Command, s *store.Client, w io.Writer) error {
				list, err := s.Published(c.String("name"))
				if err != nil {
					return err
				}
				t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
				fmt.Fprintln(t, "VERSION\tAT\tBY\tREQUEST\tBYTES\tNOTE")
				for _, r := range list {
					note := ""
					if r.From > 0 {
						note = fmt.Sprintf("version %d again", r.From)
					}
					fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%d\t%s\n", r.Version, formatTime(r.TimeMs), r.By, r.Request, len(r.Text), note)
				}
				return t.Flush()
			}),
			sub("rollback", "publish an earlier version's text once more", "VERSION", 1, 1, []cli.Flag{request, by},
				func(c *cli.Command, s *store.Client, w io.Writer) error {
					to, err := versionOf(c.Args().First())
					if err != nil {
						return err
					}
					r, err := s.Publish(c.String("name"), nil, requestName(c), c.String("by"), nil, to)
					if err != nil {
						return err
					}
					_, err = fmt.Fprintf(w, "version %d, the text of version %d\n", r.Version, to)
					return err
				}),
		},
	}
}

// requestName returns the request's name. Without a flag it is random and therefore new.
func requestName(c *cli.Command) string {
	if name := c.String("request"); name != "" {
		return name
	}
	return rand.Text()
}

func formatTime(ms int64) string { return time.UnixMilli(ms).UTC().Format(time.RFC3339) }

func versionOf(text string) (uint64, error) {
	v, err := strconv.ParseUint(text, 10, 64)
	if err != nil || v == 0 {
		return 0, fmt.Errorf("version %q is not a positive number", text)
	}
	return v, nil
}

func publishFile(c *cli.Command, s *store.Client, w io.Writer) error {
	path := c.Args().First()
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("publish: %w", err)
	}
	// Check locally before anything is sent.
	if c.String("name") == modelapi.ConfigName {
		if err := modelapi.CheckText(text); err != nil {
			return fmt.Errorf("publish %s: %w", path, err)
		}
	}
	var expect *uint64
	if c.IsSet("expect") {
		v := c.Uint64("expect")
		expect = &v
	}
	name := requestName(c)
	r, err := s.Publish(c.String("name"), text, name, c.String("by"), expect, 0)
	if errors.Is(err, store.ErrUnknown) {
		return fmt.Errorf("%w; it can be repeated with --request %s", err, name)
	}
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "version %d\n", r.Version)
	return err
}

// findRevision returns a version that is still kept; 0 means the latest.
func findRevision(c *cli.Command, s *store.Client, version uint64) (store.Revision, error) {
	list, err := s.Published(c.String("name"))
	if err != nil {
		return store.Revision{}, err
	}
	for i := len(list) - 1; i >= 0; i-- {
		if list[i].Version == version || version == 0 {
			return list[i], nil
		}
	}
	if version == 0 {
		return store.Revision{}, fmt.Errorf("%w: nothing was published as %s", store.ErrNoRevision, c.String("name"))
	}
	return store.Revision{}, fmt.Errorf("%w: %d of %s is not kept", store.ErrNoRevision, version, c.String("name"))
}

func showConfig(c *cli.Command, s *store.Client, w io.Writer) error {
	version := uint64(0)
	if c.Args().Present() {
		var err error
		if version, err = versionOf(c.Args().First()); err != nil {
			return err
		}
	}
	r, err := findRevision(c, s, version)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w, "# %s, version %d, %s\n%s\n", c.String("name"), r.Version, formatTime(r.TimeMs), strings.TrimRight(r.Text, "\n")); err != nil {
		return err
	}
	parent := daemon.AckPath(c.String("name"), "")
	n, err := s.Node(parent)
	if errors.Is(err, store.ErrNoNode) {
		return nil
	}
	if err != nil {
		return err
	}
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "\nROUTER\tVERSION\tSAID AT\tFROM ITS NEXT START\tREFUSED")
	for _, name := range n.Children {
		node, err := s.Node(parent + "/" + name)
		if err != nil {
			return err
		}
		var a daemon.Ack
		if err := json.Unmarshal([]byte(node.Data), &a); err != nil {
			return fmt.Errorf("the acknowledgement of router %s is malformed: %w", name, err)
		}
		refused := ""
		if a.Refused > 0 {
			refused = fmt.Sprintf("%d: %s", a.Refused, a.Fault)
		}
		fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%s\n", name, a.Version, formatTime(a.TimeMs), strings.Join(a.Restart, ", "), refused)
	}
	return t.Flush()
}

func diffConfig(c *cli.Command, s *store.Client, w io.Writer) error {
	var pair [2]store.Revision
	for i := range pair {
		version := uint64(0)
		if i < c.Args().Len() {
			var err error
			if version, err = versionOf(c.Args().Get(i)); err != nil {
				return err
			}
		}
		var err error
		if pair[i], err = findRevision(c, s, version); err != nil {
			return err
		}
	}
	label := func(r store.Revision) string { return fmt.Sprintf("version %d", r.Version) }
	return difflib.WriteUnifiedDiff(w, difflib.UnifiedDiff{A: difflib.SplitLines(pair[0].Text), B: difflib.SplitLines(pair[1].Text),
		FromFile: label(pair[0]), ToFile: label(pair[1]), Context: 3})
}
