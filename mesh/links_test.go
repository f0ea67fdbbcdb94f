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
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/link"
	"github.com/marjoramcroft/marjoramcroft/refuse"
	"github.com/marjoramcroft/marjoramcroft/stats"
	"github.com/marjoramcroft/marjoramcroft/wire"
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

// TestLinksOfOneDaemon guards against a daemon that counts as gone while a link to it is open, and against one that counts
// as linked for good after its last link was closed.
func TestLinksOfOneDaemon(t *testing.T) {
	is := is.New(t)
	n := New(Deps{Self: "self", Config: DefaultConfig(), Log: event.Discard(), Stats: stats.New()})
	n.updatePeer(Peer{Addr: "a", Life: 1}, true)
	n.updatePeer(Peer{Addr: "b", Life: 1}, true)
	linked := func(addr ident.Addr) bool { return n.peers.peers[addr].linked }
	first, second, unidentified := linkTo(n, "a"), linkTo(n, "a"), linkTo(n, "")
	n.identifyConn(first, "a") // its state arrives again
	n.removeConn(unidentified)
	n.removeConn(first)
	n.removeConn(first)
	is.True(linked("a"))
	n.identifyConn(second, "b") // another daemon has taken over its address
	is.True(!linked("a"))
	n.removeConn(second)
	is.True(!linked("b"))
	is.Equal(len(n.conns), 0)
}

// linkTo returns a link of n whose other daemon is at addr; empty: not known yet.
func linkTo(n *Node, addr ident.Addr) *link.Conn {
	c := link.New(nil, link.Handlers{})
	n.addConn(c)
	if addr != "" {
		n.identifyConn(c, addr)
	}
	return c
}

// BenchmarkLinksLost measures the end of the links to all other daemons.
func BenchmarkLinksLost(b *testing.B) {
	for _, daemons := range []int{300, 3000} {
		b.Run(fmt.Sprint(daemons), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				n := New(Deps{Self: "self", Config: DefaultConfig(), Log: event.Discard(), Stats: stats.New()})
				conns := make([]*link.Conn, daemons)
				for i := range conns {
					conns[i] = linkTo(n, ident.Addr(fmt.Sprint("10.0.0.", i)))
				}
				b.StartTimer()
				for _, c := range conns {
					n.removeConn(c)
				}
			}
		})
	}
}

// TestTooManyCallsReply guards against a reply to calls above the limit from which the other daemon can't tell that they
// have not run.
func TestTooManyCallsReply(t *testing.T) {
	is := is.New(t)
	n := New(Deps{Self: "self", Config: DefaultConfig(), Log: event.Discard(), Stats: stats.New()})
	var r reply
	is.NoErr(wire.Decode(n.handlers().Busy, &r))
	is.Equal(r.Outcome, rejected)
	is.Equal(r.Reason, refuse.QueueFull)
}

// TestNoticeOverEndingLink guards against a link that is closed before the other daemon has read all, and is reset with the
// answers on it, because a change arrives while a stop awaits the end of the link.
func TestNoticeOverEndingLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := New(Deps{Config: DefaultConfig(), Log: event.Discard(), Stats: stats.New()})
		network := emul.NewNetwork()
		var c *link.Conn
		network.Listen("node", here, func(nc net.Conn) {
			c = link.New(nc, n.handlers())
			go n.serveLink(c)
		})
		network.Listen("other", here, func(net.Conn) {})
		nc, err := network.Dial(t.Context(), "other", "node")
		is.NoErr(err)
		n.subs.followers[c] = false
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			c.Shutdown(t.Context())
		}()
		time.Sleep(time.Second)
		n.confirmFollowers()
		time.Sleep(time.Second)
		select {
		case <-ended:
			t.Error("closed before the other daemon has closed")
		default:
		}
		is.NoErr(nc.Close())
		<-ended
	})
}
