package link

import (
	"bufio"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/wire"
)

// TestEarlierAnswerRepeated guards against an answer that the other daemon writes once more and that is delivered to
// a later call, or blocks the connection.
func TestEarlierAnswerRepeated(t *testing.T) {
	is := is.New(t)
	nc, other := tcpPair(t)
	c := New(nc, Handlers{})
	go func() { _ = c.Serve() }()
	defer c.Close()
	go func() {
		defer other.Close()
		r := bufio.NewReader(other)
		var answers [][]byte
		for {
			payload, err := wire.ReadFrame(r)
			if err != nil {
				return
			}
			var f frame
			if err := wire.Decode(payload, &f); err != nil {
				return
			}
			answer, err := frame{Kind: kindAnswer, ID: f.ID, Body: []byte("answer to " + string(f.Body))}.encode()
			if err != nil {
				return
			}
			answers = append(answers, answer, answer)
			for _, b := range answers { // all earlier ones first
				if _, err := other.Write(b); err != nil {
					return
				}
			}
		}
	}()
	for i := range 10 {
		call := fmt.Sprint("call ", i)
		b, err := c.Call(t.Context(), []byte(call), nil)
		is.NoErr(err)
		is.Equal(string(b), "answer to "+call)
		if i%2 == 0 {
			time.Sleep(time.Millisecond) // the repeated answers arrive while no call waits
		}
	}
}
