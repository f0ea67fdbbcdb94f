// Command platform plays the cases of the review: it starts daemons as the deploy file does, with stand-ins for the store,
// the targets, the clients and the operator.
//
//	platform CASE REPOSITORY FOLDER
//
// It writes FOLDER/record.txt and exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

// play plays a case. trouble tells whether the disruption happens.
type play struct {
	places []place
	slots  int
	config map[string]any
	run    func(c *cluster, trouble bool) (verdict, error)
}

var cases = map[string]play{}

// timeLimit ends a case that hangs.
const timeLimit = 115 * time.Second

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: platform CASE REPOSITORY FOLDER")
		return exitNotRun
	}
	p, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		return exitNotRun
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.log("case %s, disruption: %v", os.Args[1], trouble)
	c, err := newCluster(rec, os.Args[2], p.slots, p.places, p.config)
	if c != nil {
		defer c.close()
	}
	if err != nil {
		rec.log("the case cannot run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	type result struct {
		v   verdict
		err error
	}
	results := make(chan result, 1)
	go func() {
		v, err := p.run(c, trouble)
		results <- result{v, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case r := <-results:
		if r.err != nil {
			rec.log("the case cannot run: %v", r.err)
			fmt.Fprintln(os.Stderr, r.err)
			return exitNotRun
		}
		rec.log("result: broken: %v; %s", r.v.broken, r.v.text)
		fmt.Println(r.v.text)
		if r.v.broken {
			return exitBroken
		}
		return exitHeld
	case <-time.After(timeLimit - time.Since(rec.start)):
		rec.log("the case cannot run: time limit")
		return exitNotRun
	case <-signals:
		rec.log("the case cannot run: stopped by a signal")
		return exitNotRun
	}
}
