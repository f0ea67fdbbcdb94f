package client

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

func (c *Client) emulateCommand() command {
	var listen, service, daemonAddr, long string
	var slots, conns int
	return command{
		name: "emulate", usage: "store|backend",
		short: "Run an emulated store or backend server until it is interrupted.",
		long:  "For tests and trials only: the emulated store keeps everything in memory.",
		flags: func(fs *flag.FlagSet) {
			fs.StringVar(&listen, "listen", "127.0.0.1:2379", "HOST:PORT to listen on")
			fs.StringVar(&service, "service", "", "backend: its service")
			fs.StringVar(&daemonAddr, "daemon", "127.0.0.1:7400", "backend: HTTP address of the daemon beside it")
			fs.StringVar(&long, "long", "/long", "backend: path prefix of long work")
			fs.IntVar(&slots, "slots", 9, "backend: calls that it runs at once")
			fs.IntVar(&conns, "conns", 120, "backend: connections that it accepts")
		},
		run: func(ctx context.Context, args []string) error {
			if err := checkArgs(args, "store|backend"); err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
			defer stop()
			switch args[0] {
			case "store":
				return c.emulateStore(ctx, listen)
			case "backend":
				cfg := emul.DefaultBackend()
				cfg.Addr, cfg.Service, cfg.Announce, cfg.LongPath = listen, ident.ServiceID(service), ident.Addr(daemonAddr), long
				cfg.Slots, cfg.Conns = ident.Units(slots), conns
				return c.emulateBackend(ctx, cfg)
			}
			return fmt.Errorf("%w: cannot emulate %q", errUsage, args[0])
		},
	}
}

func (c *Client) emulateStore(ctx context.Context, listen string) error {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return fmt.Errorf("emulated store: %w", err)
	}
	srv := &http.Server{Handler: emul.NewStore(emul.DefaultStoreConfig()).Handler(), ReadHeaderTimeout: 10 * time.Second}
	_, _ = fmt.Fprintf(c.stdout, "emulated store listens on %s\n", ln.Addr())
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(ln); err != nil && ctx.Err() == nil {
		return fmt.Errorf("emulated store: %w", err)
	}
	return nil
}

// drainTimeout limits how long a stopping emulated backend server waits for its calls in flight.
const drainTimeout = 30 * time.Second

func (c *Client) emulateBackend(ctx context.Context, cfg emul.BackendConfig) error {
	if cfg.Service == "" {
		return fmt.Errorf("%w: flag -service is required", errUsage)
	}
	b := emul.NewBackend(cfg)
	if err := b.Start(); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(c.stdout, "emulated backend server of %s listens on %s\n", cfg.Service, b.Addr())
	<-ctx.Done()
	drainCtx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	return b.Drain(drainCtx)
}
