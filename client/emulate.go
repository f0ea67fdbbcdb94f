package client

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/guard"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/origin"
	"github.com/marjoramcroft/marjoramcroft/stats"
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
	g := emulateGuard(math.MaxInt64)
	stopGuard := make(chan struct{})
	defer close(stopGuard)
	go g.Run(stopGuard)
	srv := &http.Server{Handler: limitBodies(emul.NewStore(emul.DefaultStoreConfig()).Handler()), ReadHeaderTimeout: emulateTimeout}
	g.Install(srv)
	_, _ = fmt.Fprintf(c.stdout, "emulated store listens on %s\n", ln.Addr())
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(g.Listener(ln)); err != nil && ctx.Err() == nil {
		return fmt.Errorf("emulated store: %w", err)
	}
	return nil
}

const (
	// emulateMemory is what an emulated process may take for connections, headers and bodies, by the shares of package guard.
	emulateMemory = 128 << 20
	// emulateTimeout limits the time of a header, and emulateIdleTimeout that without one: above the idle timeouts of the
	// project's clients.
	emulateTimeout     = 10 * time.Second
	emulateIdleTimeout = 2 * time.Minute
	// maxEmulateBody is above the longest request of a client of the store: a value of 1 MB in base64, in JSON.
	maxEmulateBody = 2 << 20
)

// emulateGuard returns the limits of the listener of an emulated process, which serves at most conns connections.
func emulateGuard(conns int64) *guard.Guard {
	vm := guard.VM{Memory: emulateMemory}
	return guard.New(guard.Config{
		Name: "Clients", Conns: min(conns, vm.CallerConns()),
		HeaderBytes: func() int { return guard.DefaultHeaderBytes }, HeaderMemory: vm.HeaderMemory(),
		HeaderTimeout: func() time.Duration { return emulateTimeout },
		IdleTimeout:   func() time.Duration { return emulateIdleTimeout },
	}, event.Discard(), stats.New())
}

// limitBodies returns a handler that passes on requests with bodies up to maxEmulateBody, as long as memory is available.
func limitBodies(next http.Handler) http.Handler {
	memory := origin.NewBodyBudget(guard.VM{Memory: emulateMemory}.RequestMemory())
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m := memory.Hold()
		defer m.Release()
		body, err := m.Read(http.MaxBytesReader(w, r.Body, maxEmulateBody), origin.BodyChunkBytes, maxEmulateBody+1)
		if err != nil {
			status := http.StatusServiceUnavailable
			var over *http.MaxBytesError
			if errors.As(err, &over) {
				status = http.StatusRequestEntityTooLarge
			}
			w.Header().Set("Connection", "close")
			http.Error(w, "the body cannot be read: "+err.Error(), status)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}

// drainTimeout limits how long a stopping emulated backend server waits for its calls in flight.
const drainTimeout = 30 * time.Second

func (c *Client) emulateBackend(ctx context.Context, cfg emul.BackendConfig) error {
	if cfg.Service == "" {
		return fmt.Errorf("%w: flag -service is required", errUsage)
	}
	// Fewer than the backend server accepts, so that idle connections are closed before new ones are refused.
	g := emulateGuard(int64(max(1, cfg.Conns-cfg.Conns/16-1)))
	stopGuard := make(chan struct{})
	defer close(stopGuard)
	go g.Run(stopGuard)
	cfg.Guard = func(s *http.Server, ln net.Listener) net.Listener {
		g.Install(s)
		return g.Listener(ln)
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
