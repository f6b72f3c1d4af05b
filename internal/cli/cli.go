// Package cli is the command line.
package cli

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"lichenshelf/platform"
)

// Run runs the command line and returns the exit code.
func Run(args []string) int {
	log := logrus.New()
	log.SetOutput(os.Stderr)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "15:04:05.000"})
	if err := command(log).Run(context.Background(), args); err != nil {
		log.WithError(err).Error("lichenshelf ends")
		return 1
	}
	return 0
}

func command(log *logrus.Logger) *cli.Command {
	config := &cli.StringFlag{Name: "config", Usage: "the platform's configuration `FILE`",
		Sources: cli.EnvVars("ROUTER_CONFIG"), Required: true}
	level := &cli.StringFlag{Name: "log-level", Value: "info", Usage: "debug, info, warning or error"}
	return &cli.Command{
		Name:  "lichenshelf",
		Usage: "route model requests to readers and writers",
		Commands: []*cli.Command{
			{
				Name: "serve", Usage: "run the router until SIGTERM", Flags: []cli.Flag{config, level},
				Action: func(ctx context.Context, c *cli.Command) error {
					if err := setLevel(log, c.String("log-level")); err != nil {
						return err
					}
					cfg, err := platform.LoadConfig(c.String("config"), os.Getenv)
					if err != nil {
						return fmt.Errorf("load configuration: %w", err)
					}
					return serve(ctx, cfg, log)
				},
			},
			{
				Name: "check-config", Usage: "read the configuration and say what it holds", Flags: []cli.Flag{config},
				Action: func(_ context.Context, c *cli.Command) error {
					cfg, err := platform.LoadConfig(c.String("config"), os.Getenv)
					if err != nil {
						return fmt.Errorf("check configuration: %w", err)
					}
					_, err = fmt.Fprintf(c.Root().Writer, "%s listens on %s, discovery at %s, %d classes, %d workers known\n",
						cfg.Name, cfg.Listen, cfg.Discovery, len(cfg.Settings.Classes), len(cfg.Known.Instances))
					return err
				},
			},
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

func setLevel(log *logrus.Logger, name string) error {
	level, err := logrus.ParseLevel(name)
	if err != nil {
		return fmt.Errorf("log level: %w", err)
	}
	log.SetLevel(level)
	return nil
}

// version is what the build tells of itself.
func version() string {
	v := "lichenshelf (unknown build)"
	if info, ok := debug.ReadBuildInfo(); ok {
		v = "lichenshelf " + info.Main.Version + " " + info.GoVersion
	}
	return v
}
