package mesh

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/stats"
)

// shortListener fails to accept a number of times, as at the limit of descriptors.
type shortListener struct {
	net.Listener
	failures int
}

func (l *shortListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, fmt.Errorf("accept: %w", syscall.EMFILE)
	}
	return l.Listener.Accept()
}

// TestServeLinksOutOfDescriptors guards against a daemon that ends, and cuts all its calls, since it could not accept a
// link for a moment.
func TestServeLinksOutOfDescriptors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := New(Deps{Config: DefaultConfig(), Log: event.Discard(), Stats: stats.New()})
		network := emul.NewNet()
		ln, err := network.Listen("node")
		is.NoErr(err)
		served := make(chan struct{})
		go func() {
			defer close(served)
			n.ServeLinks(&shortListener{Listener: ln, failures: 12})
		}()
		synctest.Wait()
		select {
		case <-served:
			t.Fatal("the daemon accepts no more links")
		default:
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		nc, err := network.Dial(ctx, "tcp", "node")
		is.NoErr(err)
		_, err = nc.Read(make([]byte, 1)) // the daemon's own state
		is.NoErr(err)
		is.NoErr(nc.Close())
		is.NoErr(ln.Close())
		<-served
		n.stop()
	})
}
