package client

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/marjoramcroft/marjoramcroft/demo"
	"github.com/marjoramcroft/marjoramcroft/event"
)

func (c *Client) tryCommand() command {
	var seed uint64
	var level string
	return command{
		name:  "try",
		short: "Run two example deployments in this process and print what they show.",
		long: "Each has two regions with two data centres, three services and an emulated store. A sheet is uploaded,\n" +
			"calls are sent, a correction is applied, one backend server is drained and another slowed. It takes about\n" +
			"15 s. The exit code is 8 if an invariant broke.",
		flags: func(fs *flag.FlagSet) {
			fs.Uint64Var(&seed, "seed", 1, "seed of the load and of service times")
			fs.StringVar(&level, "log.level", "error", "lowest level of the events printed")
		},
		run: func(ctx context.Context, args []string) error {
			if err := checkArgs(args); err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
			defer stop()
			return demo.Run(ctx, c.stdout, seed, event.New(c.stderr, level))
		},
	}
}
