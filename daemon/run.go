package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/go-kratos/kratos/v2"
	klog "github.com/go-kratos/kratos/v2/log"
	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/guard"
	"github.com/marjoramcroft/marjoramcroft/peers"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// leaveTimeout bounds the announcement to other daemons that this one leaves.
const leaveTimeout = time.Second

// discardKratosLog discards the log of kratos, which has no numbered events. The logger is global and
// must not be replaced while an application runs.
var discardKratosLog = sync.OnceFunc(func() { klog.SetLogger(klog.NewStdLogger(io.Discard)) })

// controlServer adapts the control listener to the server interface of kratos.
type controlServer struct{ d *Daemon }

// Start serves control messages until Stop.
func (c controlServer) Start(context.Context) error { return c.d.controlListener.Serve() }

// Stop closes the listener and all control connections.
func (c controlServer) Stop(context.Context) error { return c.d.controlListener.Close() }

// Run runs the daemon until ctx ends or the process receives SIGTERM or SIGINT. It then stops it
// gracefully, so that calls in flight complete.
func (d *Daemon) Run(ctx context.Context) error {
	discardKratosLog()
	d.httpServer = khttp.NewServer(
		khttp.Listener(wire.RetryAccept(d.guard.Listener(d.httpListener))),
		khttp.Timeout(0), // calls have their own deadlines
		// Bypass the router, which would clean the paths of calls.
		khttp.Filter(func(http.Handler) http.Handler { return guard.Handler(d) }),
	)
	d.guard.Install(d.httpServer.Server)
	d.httpServer.MaxHeaderBytes = guard.ServerHeaderBytes(d.settings.Limits.HeaderBytes + hopHeaderBytes)
	app := kratos.New(
		kratos.Name("marjoramcroftd"),
		// The end of ctx starts a graceful stop below. If the application used ctx itself, it would
		// end at once.
		kratos.Context(context.WithoutCancel(ctx)),
		kratos.Signal(syscall.SIGTERM, syscall.SIGINT),
		kratos.Server(d.httpServer, controlServer{d}),
		kratos.StopTimeout(d.settings.Stop.Timeout),
		kratos.AfterStart(func(context.Context) error { d.start(); return nil }),
		kratos.BeforeStop(func(context.Context) error { d.drain(); return nil }),
		kratos.AfterStop(func(context.Context) error { d.close(); return nil }),
	)
	stopWatching := context.AfterFunc(ctx, func() { _ = app.Stop() })
	defer stopWatching()
	if err := app.Run(); err != nil && !errors.Is(err, context.Canceled) {
		d.log.Emit(event.DaemonFailed, "Error", err)
		return fmt.Errorf("run daemon: %w", err)
	}
	d.log.Emit(event.DaemonStopped)
	return nil
}

// Kill simulates a crash of the process: it closes all connections without notice to other daemons and
// without a handover. It is for tests and demonstrations. Run returns after it.
func (d *Daemon) Kill() {
	d.stopping.Store(true)
	d.cancel()
	_ = d.httpServer.Close()
	_ = d.controlListener.Close()
	d.conns.close()
}

// drain stops the daemon in an order that interrupts no call before Stop.Timeout: it announces the drain to
// the other daemons, refuses new calls as not run, waits for calls in flight, and then hands over its
// idempotency records and units.
func (d *Daemon) drain() {
	if !d.stopping.CompareAndSwap(false, true) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Stop.Timeout)
	defer cancel()
	d.publishState(peers.Draining)
	select {
	case <-time.After(d.settings.Stop.Notice):
	case <-ctx.Done():
	}
	// An error means that calls were still in flight at the timeout and were ended. If some still run at
	// the backend server, the next process starts as after a crash.
	if err := errors.Join(d.entry.Stop(ctx), d.target.Stop(ctx)); err != nil {
		d.log.Emit(event.DrainIncomplete, "Error", err)
	}
	d.leaveService()
	d.publishState(peers.Gone)
	leaveCtx, stop := context.WithTimeout(context.Background(), leaveTimeout)
	defer stop()
	d.agent.Leave(leaveCtx)
}

// leaveService ends the keeper and hands idempotency records and units over to other daemons.
func (d *Daemon) leaveService() {
	s := d.finalService()
	if s == nil {
		return
	}
	// End the keeper first, so that another daemon takes over at once and gets the notice of Leave.
	s.stopKeeper()
	s.keeperWG.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Stop.Handover)
	defer cancel()
	if err := s.table.Stop(ctx); err != nil {
		d.log.Emit(event.RecordsLeftBehind, "Service", s.id, "Error", err)
		return // without a handover of the records the next process must not count as a clean start
	}
	if _, err := s.holder.Leave(ctx, false); err != nil {
		d.log.Emit(event.LeaveFailed, "Service", s.id, "Error", err)
	}
}

// close stops all background goroutines and waits for them.
func (d *Daemon) close() {
	d.cancel()
	_ = d.controlListener.Close()
	d.conns.close()
	d.wg.Wait()
	if s := d.finalService(); s != nil {
		s.keeperWG.Wait()
		s.wg.Wait()
	}
}
