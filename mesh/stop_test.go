package mesh

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/refuse"
)

// slowListener accepts connections whose writes take the time of delay, in nanoseconds.
type slowListener struct {
	net.Listener
	delay *atomic.Int64
}

func (l *slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowConn{TCPConn: c.(*net.TCPConn), delay: l.delay}, nil
}

type slowConn struct {
	*net.TCPConn
	delay *atomic.Int64
}

func (c *slowConn) Write(b []byte) (int, error) {
	time.Sleep(time.Duration(c.delay.Load()))
	return c.TCPConn.Write(b)
}

// stopNode stops n as platform does, with limits for Drain and for Close.
func stopNode(n *testNode, drain, end time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), drain)
	defer cancel()
	n.Drain(ctx)
	_ = n.ln.Close()
	ctx, cancel = context.WithTimeout(context.Background(), end)
	defer cancel()
	n.Close(ctx)
}

// callOther starts an unsafe call through a that runs at the other daemon b until the returned function is called.
func callOther(t *testing.T, a, b *testNode) (answer chan *Answer, release func()) {
	t.Helper()
	a.heartbeat(Draining)
	b.waitForServers(t, "s", 1)
	a.waitForServers(t, "s", 1)
	hold := make(chan struct{})
	b.backend.set(func(w http.ResponseWriter, _ *http.Request) {
		<-hold
		w.WriteHeader(http.StatusOK)
	})
	answer = make(chan *Answer, 1)
	go func() { answer <- a.call(t.Context(), "/s/buy/") }()
	eventually(t, "a call runs", func() bool { return b.backend.total.Load() == 1 })
	return answer, func() { close(hold) }
}

// TestStopWritesAnswers guards against a stopping daemon that closes its links while the answer to another daemon's call
// is still queued, so that its caller gets 502 though the call has run.
func TestStopWritesAnswers(t *testing.T) {
	is := is.New(t)
	_, a, b := twoNodes(t)
	answer, release := callOther(t, a, b)
	b.writeDelay.Store(int64(300 * time.Millisecond))
	release()
	stopNode(b, 5*time.Second, time.Second)
	ans := <-answer
	is.Equal(ans.Refusal, nil)
	is.Equal(ans.Status, 200)
}

// TestStopRefusesQueuedCalls guards against calls of other daemons that wait for a slot when their links are closed: the
// callers get 502, though the calls have not run.
func TestStopRefusesQueuedCalls(t *testing.T) {
	is := is.New(t)
	_, a, b := twoNodes(t)
	first, release := callOther(t, a, b)
	defer release()
	answers := make(chan *Answer, 8)
	for range 8 { // the backend server has four slots
		go func() { answers <- a.call(t.Context(), "/s/buy/") }()
	}
	eventually(t, "calls wait", func() bool { return b.slots.Status().Waiting > 0 })
	waiting := b.slots.Status().Waiting
	stopNode(b, 10*time.Millisecond, 100*time.Millisecond)
	all := []*Answer{<-first}
	for range 8 {
		all = append(all, <-answers)
	}
	unknown := 0
	for _, ans := range all {
		is.True(ans.Refusal != nil)
		if ans.Refusal.Ran == refuse.RanUnknown {
			unknown++
		}
	}
	t.Logf("%d waited, %d ran", waiting, b.backend.total.Load())
	is.Equal(unknown, int(b.backend.total.Load()))
}

// TestStopAwaitsSentCalls guards against a stopping daemon that closes a link over which it has sent a caller's request,
// so that the backend server's work is dropped and the caller gets 502.
func TestStopAwaitsSentCalls(t *testing.T) {
	is := is.New(t)
	_, a, b := twoNodes(t)
	answer, release := callOther(t, a, b)
	time.AfterFunc(200*time.Millisecond, release)
	stopNode(a, 10*time.Millisecond, 2*time.Second)
	ans := <-answer
	is.Equal(ans.Refusal, nil)
	is.Equal(ans.Status, 200)
}

// TestStopBesideCalls guards against calls that reach a link at the moment at which it is closed: they get 502, though
// they have not run.
func TestStopBesideCalls(t *testing.T) {
	is := is.New(t)
	_, a, b := twoNodes(t)
	a.heartbeat(Draining)
	a.waitForServers(t, "s", 1)
	var unknown, ran, stopped atomic.Int32
	var wg sync.WaitGroup
	for range 4 { // as many as slots
		wg.Go(func() {
			for stopped.Load() == 0 {
				switch ans := a.call(t.Context(), "/s/buy/"); {
				case ans.Refusal == nil:
					ran.Add(1)
				case ans.Refusal.Ran == refuse.RanUnknown:
					unknown.Add(1)
				}
			}
		})
	}
	eventually(t, "calls run", func() bool { return ran.Load() > 100 })
	_ = b.ln.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	b.Close(ctx) // without Drain, after which the other daemon sends no calls
	stopped.Store(1)
	wg.Wait()
	is.Equal(unknown.Load(), int32(0))
	is.Equal(ran.Load(), b.backend.total.Load())
}

// TestCallAfterEndCalls guards against a call that is sent although all calls have been ended, and is cut at the backend
// server at once.
func TestCallAfterEndCalls(t *testing.T) {
	is := is.New(t)
	_, a, b := twoNodes(t)
	a.waitForServers(t, "s", 2)
	a.EndCalls(time.Second)
	for range 200 {
		ans := a.call(t.Context(), "/s/buy/")
		is.True(ans.Refusal != nil)
		is.Equal(ans.Refusal.Ran, refuse.RanNo)
		is.Equal(ans.RetryAfter, time.Second)
	}
	is.Equal(a.backend.total.Load()+b.backend.total.Load(), int32(0))
}
