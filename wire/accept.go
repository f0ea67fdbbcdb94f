package wire

import (
	"errors"
	"net"
)

// RetryAccept returns a listener with which net/http's server retries each failed Accept, with a growing pause. By
// itself the server retries only at the limit of descriptors and ends at other errors, such as those of a kernel that is
// short of memory; the process would exit with all requests in flight.
func RetryAccept(ln net.Listener) net.Listener { return retryListener{ln} }

type retryListener struct {
	net.Listener
}

// Accept returns the next connection. Its errors are temporary, except that the listener is closed.
func (l retryListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil && !errors.Is(err, net.ErrClosed) {
		err = temporaryError{err}
	}
	return nc, err //nolint:wrapcheck // net/http checks its type
}

// temporaryError is a net.Error after which net/http retries.
type temporaryError struct {
	error
}

func (e temporaryError) Unwrap() error { return e.error }

// Timeout reports false.
func (temporaryError) Timeout() bool { return false }

// Temporary reports true.
func (temporaryError) Temporary() bool { return true }
