// Package cli implements the command line of the router.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"lichenshelf/discovery/sources"
	"lichenshelf/fleet/agent"
	"lichenshelf/front/modelapi"
	"lichenshelf/front/platform"
	"lichenshelf/internal/daemon"
	"lichenshelf/internal/logwriter"
	"lichenshelf/store"
)

const (
	// logQueueBytes bounds the log bytes that are not yet written: about ten seconds of a router
	// that logs heavily.
	logQueueBytes = 256 << 10
	// logFlushTimeout is how long the program waits at its end for the last log lines to be
	// written: less than the time between the last step of a shutdown and the platform's kill.
	logFlushTimeout = 100 * time.Millisecond
)

// Run runs the command line and returns the exit code.
func Run(args []string) int {
	log := logrus.New()
	format := &logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "15:04:05.000"}
	out := logwriter.New(os.Stderr, logQueueBytes, func(entries int) []byte {
		entry := log.WithField("entries", entries).WithTime(time.Now())
		entry.Level, entry.Message = logrus.WarnLevel, "log entries were dropped here: the queue was full while the log could not be written"
		text, _ := format.Format(entry)
		return text
	})
	defer out.Flush(logFlushTimeout)
	log.SetOutput(out)
	log.SetFormatter(format)
	if err := command(log).Run(context.Background(), args); err != nil {
		log.WithError(err).Error("lichenshelf ends")
		return 1
	}
	return 0
}

func command(log *logrus.Logger) *cli.Command {
	flags := []cli.Flag{
		&cli.StringFlag{Name: "config", Usage: "the platform's configuration `FILE`; without it the platform's front is off",
			Sources: cli.EnvVars("ROUTER_CONFIG")},
		&cli.StringFlag{Name: "modelapi", Value: defaultModelAPI, Usage: "the model API's `FILE`"},
		&cli.StringFlag{Name: "store", Value: defaultStore, Usage: "the replicated store's `FILE`"},
		&cli.StringFlag{Name: "sources", Value: defaultSources, Usage: "the `FILE` of further sources of workers"},
		&cli.StringFlag{Name: "fleet", Value: defaultFleet, Usage: "the `FILE` that names the other routers of the fleet"},
		&cli.StringFlag{Name: "log-level", Value: "info", Usage: "debug, info, warning or error",
			Sources: cli.EnvVars("LICHENSHELF_LOG_LEVEL")},
	}
	return &cli.Command{
		Name:  "lichenshelf",
		Usage: "route model requests to readers and writers",
		Commands: []*cli.Command{
			{
				Name: "serve", Usage: "run the router until SIGTERM", Flags: flags,
				Action: func(ctx context.Context, c *cli.Command) error {
					if err := setLevel(log, c); err != nil {
						return err
					}
					return daemon.Serve(ctx, files(c), log)
				},
			},
			{
				Name: "check-config", Usage: "read the files that serve would read, and print a summary", Flags: flags,
				Action: func(_ context.Context, c *cli.Command) error { return check(c.Root().Writer, files(c)) },
			},
			membersCommand(log, flags),
			registerCommand(log),
			storeCommand(),
			configCommand(),
			auditCommand(),
			fleetCommand(), zoneCommand(),
			{
				Name: "version", Usage: "print the version",
				Action: func(_ context.Context, c *cli.Command) error {
					_, err := fmt.Fprintln(c.Root().Writer, version())
					return err
				},
			},
		},
	}
}

// The default configuration files, relative to the root of the repository.
const (
	defaultModelAPI = "deploy/modelapi.toml"
	defaultStore    = "deploy/store.toml"
	defaultSources  = "deploy/sources.toml"
	defaultFleet    = "deploy/fleet.toml"
)

// files returns the paths of the configuration files. A file whose flag is not set may be missing.
func files(c *cli.Command) daemon.Files {
	named := func(flag string) string {
		path := c.String(flag)
		if _, err := os.Stat(path); errors.Is(err, os.ErrNotExist) && !c.IsSet(flag) {
			return ""
		}
		return path
	}
	return daemon.Files{Platform: c.String("config"), ModelAPI: named("modelapi"), Store: named("store"), Sources: named("sources"),
		Fleet: named("fleet")}
}

// check reads all files and prints a summary of each.
func check(w io.Writer, paths daemon.Files) error {
	printLine := func(format string, args ...any) error {
		_, err := fmt.Fprintf(w, format+"\n", args...)
		return err
	}
	if paths.Platform != "" {
		c, err := platform.LoadConfig(paths.Platform, os.Getenv)
		if err != nil {
			return fmt.Errorf("platform: %w", err)
		}
		if err := printLine("platform: %s listens on %s, discovery at %s, %d classes, %d workers known", c.Name, c.Listen,
			c.Discovery, len(c.Settings.Classes), len(c.Known.Instances)); err != nil {
			return err
		}
		for _, line := range c.Describe() {
			if err := printLine("  %s", line); err != nil {
				return err
			}
		}
		for _, warning := range daemon.ConfigWarnings(c) {
			if err := printLine("  warning: %s", warning); err != nil {
				return err
			}
		}
	}
	if paths.ModelAPI != "" {
		c, err := modelapi.LoadConfig(paths.ModelAPI)
		if err != nil {
			return fmt.Errorf("model API: %w", err)
		}
		if err := printLine("model API: %s, %d accounts, %d backends", orOff(c.Listen), len(c.Accounts), len(c.Backends)); err != nil {
			return err
		}
	}
	if paths.Store != "" {
		c, err := store.LoadConfig(paths.Store)
		if err != nil {
			return fmt.Errorf("store: %w", err)
		}
		if err := printLine("store: %s, %d replicas", orOff(c.ID), len(c.Peers)); err != nil {
			return err
		}
	}
	if paths.Fleet != "" {
		c, err := agent.LoadConfig(paths.Fleet)
		if err != nil {
			return fmt.Errorf("fleet: %w", err)
		}
		line := "fleet: off"
		if c.Fleet != "" {
			line = fmt.Sprintf("fleet: %s, %d routers, this is %s at %s, operators at %s; leases of %v over floors of %g", c.Fleet,
				len(c.Routers), c.Self, c.Listen, orOff(c.Operator), c.Lease.Duration, c.Floor)
		}
		if err := printLine("%s", line); err != nil {
			return err
		}
	}
	if paths.Sources != "" {
		c, err := sources.LoadConfig(paths.Sources)
		if err != nil {
			return fmt.Errorf("sources: %w", err)
		}
		if len(c.Sources) == 0 {
			return printLine("sources: off")
		}
		for _, s := range c.Sources {
			if err := printLine("source %s: %s, for %s", s.Name, s.Kind, strings.Join(s.Fronts, " and ")); err != nil {
				return err
			}
		}
	}
	return nil
}

func orOff(s string) string {
	if s == "" {
		return "off"
	}
	return s
}

// version returns the version recorded in the build.
func version() string {
	v := "lichenshelf (unknown build)"
	if info, ok := debug.ReadBuildInfo(); ok {
		v = "lichenshelf " + info.Main.Version + " " + info.GoVersion
	}
	return v
}
