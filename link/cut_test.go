package link

import (
	"bufio"
	"errors"
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/wire"
)

// TestCutAnswers guards against an answer that is taken for complete although the link ended at any byte of it.
func TestCutAnswers(t *testing.T) {
	is := is.New(t)
	answer, err := frame{Kind: kindAnswer, ID: 1, Body: []byte("the answer")}.encode()
	is.NoErr(err)
	for name, reset := range map[string]bool{"closed": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			for n := range len(answer) + 1 {
				body, err := callOver(t, answer[:n], reset)
				switch {
				case n < len(answer) && (!errors.Is(err, ErrLost) || body != nil):
					t.Errorf("%d of %d bytes: body %q, %v", n, len(answer), body, err)
				case n == len(answer) && (err != nil || string(body) != "the answer"):
					t.Errorf("whole answer: body %q, %v", body, err)
				}
			}
		})
	}
}

// callOver makes a call over a link whose other end answers with the given bytes and then ends.
func callOver(t *testing.T, answer []byte, reset bool) ([]byte, error) {
	t.Helper()
	near, far := tcpPair(t)
	c := New(near, Handlers{})
	defer c.Close()
	go func() { _ = c.Serve() }()
	go func() {
		defer far.Close()
		if _, err := wire.ReadFrame(bufio.NewReader(far)); err != nil {
			return
		}
		_, _ = far.Write(answer)
		if reset {
			_ = far.(*net.TCPConn).SetLinger(0)
		}
	}()
	return c.Call(t.Context(), []byte("call"), nil)
}
