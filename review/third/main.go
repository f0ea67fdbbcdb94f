// Program third plays the cases of the third review: it starts daemons as the deploy file does, beside stand-ins of the
// store, the targets and the clients, and checks one rule.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2 // the case could not run
)

// maxRun ends a case that hangs. A script may run for 120 s.
const maxRun = 110 * time.Second

// errBroken means that a rule was broken.
var errBroken = errors.New("the rule was broken")

var cases = map[string]func(f *fleet, trouble bool) error{
	"departed": playDeparted,
	"bodies":   playBodies,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: third CASE RECORD")
		return exitFailed
	}
	play := cases[args[0]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", args[0])
		return exitFailed
	}
	f, err := newFleet(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer f.close()
	played := make(chan error, 1)
	go func() { played <- play(f, os.Getenv("TROUBLE") != "0") }()
	select {
	case err = <-played:
	case <-time.After(maxRun):
		err = errors.New("the case did not end in time")
	}
	switch {
	case err == nil:
		f.rec.logf("held")
		return exitHeld
	case errors.Is(err, errBroken):
		f.rec.logf("BROKEN: %v", err)
		return exitBroken
	}
	f.rec.logf("could not run: %v", err)
	return exitFailed
}
