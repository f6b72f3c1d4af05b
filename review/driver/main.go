// Command driver plays the cases of the review: it starts the project's own programs as separate
// processes, acts as their clients, servers and platform, and checks what these can see.
//
//	driver CASE RECORD    (from the root of the repository)
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
// TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// runLimit ends a case that hangs, before the 120 seconds that a case may take.
const runLimit = 110 * time.Second

// errBroken is returned by a case that saw its rule broken.
var errBroken = errors.New("the rule was broken")

// cases are the cases by their folders; the others are findings beside them, see REPORT.md.
var cases = map[string]func(*rig) error{"1": platformSurvivesStore, "2": repeatInWindow, "3": storeAppliesOnce,
	"accounts": configurationNotOlder, "holder": oneHolder, "refused": refusedVersion}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver CASE RECORD")
		return 2
	}
	r, err := newRig(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.close()
	result := make(chan error, 1)
	go func() { result <- cases[os.Args[1]](r) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case err = <-result:
	case <-signals:
		err = errors.New("ended by a signal")
	case <-time.After(runLimit):
		err = errors.New("not done in time")
	}
	switch {
	case errors.Is(err, errBroken):
		r.note("verdict: %v", err)
		return 1
	case err != nil:
		r.note("could not run: %v", err)
		return 2
	}
	r.note("verdict: the rule held")
	return 0
}
