package wire

import (
	"bufio"
	"fmt"
	"net"
	"testing"

	"github.com/matryer/is"
)

// TestEarlierReplyRepeated guards against a reply that the peer writes once more and that is delivered to a later
// request, or blocks the connection.
func TestEarlierReplyRepeated(t *testing.T) {
	is := is.New(t)
	nc, peer := net.Pipe()
	c := NewConn(nc, echoHandler)
	go func() { _ = c.Serve() }()
	defer func() { _ = c.Close() }()
	go func() {
		defer func() { _ = peer.Close() }()
		r := bufio.NewReader(peer)
		var replies [][]byte
		for {
			payload, err := ReadFrame(r)
			if err != nil {
				return
			}
			var m message
			if err := Decode(payload, &m); err != nil {
				return
			}
			// Every second request fails: a repeated failure must not become that of the next request.
			reply := message{ID: m.ID, Reply: true, Body: m.Body}
			if m.ID%2 == 1 {
				reply.Err = fmt.Sprint("no ", m.ID)
			}
			b, err := encodeFrame(reply)
			if err != nil {
				return
			}
			replies = append(replies, b, b)
			for _, b := range replies { // all earlier ones first
				if _, err := peer.Write(b); err != nil {
					return
				}
			}
		}
	}()
	for i := range 10 {
		text := fmt.Sprint("request ", i)
		var out echo
		err := c.Call(t.Context(), "Echo", echo{text}, &out)
		if i%2 == 0 {
			is.True(err != nil)
			is.Equal(err.Error(), fmt.Sprintf("peer refused Echo: no %d", i+1))
			continue
		}
		is.NoErr(err)
		is.Equal(out.Text, text)
	}
}
