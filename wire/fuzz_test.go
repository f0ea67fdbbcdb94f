package wire

import (
	"context"
	"io"
	"net"
	"testing"
	"time"
)

// FuzzConn guards against messages that crash a daemon or keep a connection open after its end.
// The fuzz input is a sequence of payloads, each preceded by its length in one byte; the test
// sends them in valid frames. The seed corpus is in testdata/fuzz/FuzzConn.
func FuzzConn(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		near, far := net.Pipe()
		c := NewConn(near, func(_ context.Context, _ *Conn, _ Type, body []byte) ([]byte, error) { return body, nil })
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = c.Serve()
		}()
		go func() { _, _ = io.Copy(io.Discard, far) }()
		for len(data) > 0 {
			n := min(int(data[0]), len(data)-1)
			frame, err := AppendFrame(nil, data[1:1+n])
			if err != nil {
				t.Fatal(err)
			}
			if _, err := far.Write(frame); err != nil {
				break // the peer has closed the connection
			}
			data = data[1+n:]
		}
		_ = far.Close()
		select {
		case <-done:
		case <-time.After(10 * time.Second):
			t.Fatal("connection still open after its end")
		}
	})
}
