// Program review-standin-3 plays a case of the third review: it starts daemons with the command of the deploy file beside
// stand-ins of the store, the targets, the clients and the platform, and checks one rule.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
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

// cases play a case, with the disruption if trouble is set. An error that wraps errBroken means that the rule was broken, any
// other one that the case could not run.
var cases = map[string]func(f *fleet, trouble bool) error{
	"departed": playDeparted,
	"doubted":  playDoubted,
	"bodies":   playBodies,
	"options":  playOptions,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: review-standin-3 CASE RECORD")
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
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	played := make(chan error, 1)
	go func() { played <- play(f, os.Getenv("TROUBLE") != "0") }()
	select {
	case err = <-played:
	case s := <-signals:
		err = fmt.Errorf("signal %v", s)
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
