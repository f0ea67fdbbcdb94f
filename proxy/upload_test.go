package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/refuse"
)

// TestUploadStops guards against a call that ends without an answer, since the rest of an upload is awaited for as long as
// its refusal may be written.
func TestUploadStops(t *testing.T) {
	is := is.New(t)
	g := newRigOn(emul.NewLoopback(), t, 1, nil) // a Read that waits holds a lock, so that virtual time would stand still
	defer g.close()
	c, err := g.net.Dial(t.Context(), "tcp", "entry")
	is.NoErr(err)
	defer c.Close()
	_, err = fmt.Fprintf(c, "POST /once HTTP/1.1\r\nHost: x\r\n%s: office\r\n%s: r\r\nContent-Length: %d\r\n\r\n%s",
		HeaderMember, emul.HeaderRequest, 4*MaxReplay, strings.Repeat("b", 2*MaxReplay))
	is.NoErr(err)
	is.NoErr(c.SetReadDeadline(time.Now().Add(10 * time.Second)))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err) // without an answer, the connection ends
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	t.Log(resp.StatusCode, refuse.FromResponse(resp.Header))
	is.True(refuse.FromResponse(resp.Header).Ran == refuse.RanUnknown)
}
