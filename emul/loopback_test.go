package emul

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// TestLoopbackHost guards against an address on which no process can listen, or which all processes share.
func TestLoopbackHost(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", net.JoinHostPort(LoopbackHost(), "0"))
	is.NoErr(err)
	is.NoErr(ln.Close())
	is.True(LoopbackHost() != "127.0.0.1")
	is.True(loopbackHost(1) != loopbackHost(2))
	is.Equal(loopbackHost(0), "127.64.0.0")
	is.Equal(loopbackHost(1<<22-1), "127.127.255.255")
}
