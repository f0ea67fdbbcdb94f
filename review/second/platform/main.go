// review-standin-2 plays the cases of review/ that need a script: it starts the project's daemons, stand-ins of the store, of targets
// and of clients, and checks one rule.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// record writes record.txt: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// verdict logs and prints the outcome.
func (r *record) verdict(text string) {
	r.log("verdict   %s", text)
	fmt.Println(text)
}

var errBroken = errors.New("rule broken")

// cases holds the cases by name. A case writes its files into dir and returns nil if the rule held, errBroken if it was broken, or
// another error if it could not run.
var cases = map[string]func(rec *record, dir string, trouble bool) error{}

// config returns the operator's configuration. Each route is NAME, host, prefix, kind, service.
func config(version int, services []string, routes [][5]string) []byte {
	var rs, ss []map[string]any
	for _, r := range routes {
		rs = append(rs, map[string]any{
			"name": r[0], "host": r[1], "prefix": r[2], "kind": r[3], "service": r[4], "timeout_s": 1.2, "goal_s": 0.3, "priority": 1, "max_attempts": 2,
		})
	}
	for _, s := range services {
		ss = append(ss, map[string]any{"name": s, "health_path": "/healthz", "max_conns": 120, "protocol": "h1", "tls": false})
	}
	b, _ := json.Marshal(map[string]any{
		"version": version, "routes": rs, "services": ss,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
	})
	return b
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin-2 CASE RECORD")
		os.Exit(exitFailed)
	}
	f, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	rec := &record{f: f, start: time.Now()}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	err = cases[os.Args[1]](rec, dir, os.Getenv("TROUBLE") != "0")
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println("logs in", dir)
	}
	switch {
	case err == nil:
		rec.verdict("held")
		os.Exit(exitHeld)
	case errors.Is(err, errBroken):
		rec.verdict(err.Error())
		os.Exit(exitBroken)
	default:
		rec.verdict("could not run: " + err.Error())
		os.Exit(exitFailed)
	}
}
