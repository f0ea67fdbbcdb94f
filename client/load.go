package client

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

func (c *Client) loadCommand() command {
	var mixPath string
	cfg := emul.DefaultLoad()
	return command{
		name:  "load",
		short: "Send an open-loop load to the daemons of the setting Daemons and report.",
		long:  "The mix is a JSON file: a list of {Member, Weight, Method, Path, Body, Long, Once, Keyed}.",
		flags: func(fs *flag.FlagSet) {
			fs.StringVar(&mixPath, "mix", "", "JSON file with the mix of calls")
			fs.Float64Var(&cfg.Rate, "rate", cfg.Rate, "calls per second")
			fs.DurationVar(&cfg.For, "for", cfg.For, "duration")
			fs.Uint64Var(&cfg.Seed, "seed", 1, "seed of the arrivals")
			fs.Float64Var(&cfg.Swing, "swing", cfg.Swing, "share of the rate by which it swings, 0 to 1")
			fs.DurationVar(&cfg.Period, "period", cfg.Period, "period of a swing")
			fs.Float64Var(&cfg.Repeat, "repeat", cfg.Repeat, "share of keyed calls that are sent again")
			fs.DurationVar(&cfg.Timeout, "deadline", cfg.Timeout, "deadline of a call; 0: that of its route")
		},
		run: func(ctx context.Context, args []string) error {
			if err := checkArgs(args); err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
			defer stop()
			return c.load(ctx, mixPath, cfg)
		},
	}
}

func (c *Client) load(ctx context.Context, mixPath string, cfg emul.LoadConfig) error {
	if mixPath != "" {
		data, err := os.ReadFile(mixPath)
		if err != nil {
			return fmt.Errorf("read mix: %w", err)
		}
		cfg.Mix = nil
		if err := json.Unmarshal(data, &cfg.Mix); err != nil {
			return fmt.Errorf("%w: mix %s: %w", errUsage, mixPath, err)
		}
	}
	if cfg.For <= 0 || cfg.For > 24*time.Hour {
		return fmt.Errorf("%w: duration %s must be above 0 and at most 24h", errUsage, cfg.For)
	}
	for _, d := range c.settings.Daemons {
		cfg.Entries = append(cfg.Entries, ident.Addr(d))
	}
	r, err := emul.NewLoad(cfg).Run(ctx)
	if err != nil {
		return err
	}
	return c.print(r, func(w io.Writer) { err = r.Write(w) })
}
