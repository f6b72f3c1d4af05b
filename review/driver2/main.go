package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"
	"time"
)

// limit is the longest that a case may take.
const limit = 115 * time.Second

// cases are the cases by their folder, and further findings by their names.
var cases = map[string]func(*rig) error{
	"6":          registration,
	"7":          behind,
	"8":          sessions,
	"9":          rewatch,
	"10":         lateSlot,
	"rollback":   rollback,
	"made-again": madeAgain,
	"zone-word":  zoneWord,
}

// main plays the case of the folder in its argument, or the finding of the name in its first argument with
// the file in its second one as the record. The exit code is 1 if the rule was broken, 0 if
// it held, and 2 if the case could not run.
func main() {
	// The processes are bound to the thread that starts them, so that none outlives it.
	runtime.LockOSThread()
	os.Exit(play())
}

func play() int {
	name, record := "", ""
	switch len(os.Args) {
	case 2:
		name, record = filepath.Base(os.Args[1]), filepath.Join(os.Args[1], "record.txt")
	case 3:
		name, record = os.Args[1], os.Args[2]
	}
	if cases[name] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-driver2 FOLDER, or review-driver2 FINDING FILE")
		return 2
	}
	r, err := newRig(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.close()
	overtime := time.NewTimer(limit)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stop:
		case <-overtime.C:
			fmt.Fprintln(os.Stderr, "the case took too long")
		}
		r.close()
		os.Exit(2)
	}()
	err = cases[name](r)
	switch {
	case len(r.broken) > 0:
		for _, b := range r.broken {
			fmt.Println("broken:", b)
		}
		return 1
	case err != nil:
		r.note("error: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	r.note("the rule held")
	fmt.Println("held")
	return 0
}
