// Command marjoramcroftd is the daemon that runs beside a backend server. With the argument "platform" it runs
// the variant for the users' platform.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/marjoramcroft/marjoramcroft/daemon"
	"github.com/marjoramcroft/marjoramcroft/platform"
)

func main() {
	// A write to a log whose reader is gone must not end the process: its requests would get no answer.
	signal.Ignore(syscall.SIGPIPE)
	ctx, args := context.Background(), os.Args[1:]
	if len(args) > 0 && args[0] == "platform" {
		os.Exit(platform.Main(ctx, args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(daemon.Main(ctx, args, os.Stdout, os.Stderr))
}
