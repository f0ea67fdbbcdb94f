package wire

import (
	"context"
	"errors"
	"log"
	"net"

	"github.com/marjoramcroft/marjoramcroft/delay"
)

// RetryAccept returns a listener for net/http's server that retries each failed Accept, with a growing pause. The server
// itself retries only at the limit of descriptors and ends at other errors, such as those of a kernel that is short of
// memory; the process would exit with all requests in flight. Its Shutdown also waits for the end of the server's own
// pause, while Close of this listener ends the pause at once.
func RetryAccept(ln net.Listener) net.Listener {
	l := &retryListener{Listener: ln}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l
}

type retryListener struct {
	net.Listener

	ctx    context.Context // ends with Close
	cancel context.CancelFunc
}

// Accept returns the next connection. It fails only if the listener is closed.
func (l *retryListener) Accept() (net.Conn, error) {
	for pause := acceptPause; ; pause = min(maxAcceptPause, 2*pause) {
		nc, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return nc, err //nolint:wrapcheck // net/http checks its type
		}
		log.Printf("accept: %v; next attempt in %v", err, pause)
		if !delay.Sleep(l.ctx, pause) {
			return nil, net.ErrClosed
		}
	}
}

// Close stops accepting, and ends a pause.
func (l *retryListener) Close() error {
	l.cancel()
	return l.Listener.Close() //nolint:wrapcheck // net/http passes it on
}
