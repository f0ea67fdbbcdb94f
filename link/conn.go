package link

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marjoramcroft/marjoramcroft/wire"
)

const (
	// pingAfter is the silence after which a daemon that owes an answer is asked for a sign of life. It is
	// several round trips between regions, so that most calls need none.
	pingAfter = 250 * time.Millisecond
	// deadAfter is the silence after which a connection counts as silent. A processor quota stops a
	// daemon for up to 100 ms, and a lost packet delays it for 200 ms and more.
	deadAfter = 900 * time.Millisecond
	// watchEvery is the period of the check of outstanding calls.
	watchEvery = 150 * time.Millisecond
	// maxQueued bounds the bytes that wait to be written: beyond, the other daemon does not read.
	maxQueued = 16 << 20
	// writeTimeout bounds one write to a daemon that does not read.
	writeTimeout = 5 * time.Second
	// lateReply is how long a cancelled call waits for what became of it: a round trip between regions and
	// a stop of 100 ms by a processor quota.
	lateReply = 150 * time.Millisecond
	// maxHandled bounds the calls of one daemon that are handled at once.
	maxHandled = 1024
)

// Handlers take what the other side sends. Call runs in a goroutine of its own; its context ends when
// the caller cancels or the connection ends. Notice runs in the order of arrival.
type Handlers struct {
	Call   func(ctx context.Context, c *Conn, body []byte) []byte
	Notice func(c *Conn, body []byte)
}

// outgoing is a frame that waits to be written.
type outgoing struct {
	frame []byte
	id    uint64 // of a call; zero for others
}

// waiter is a call that waits for its answer.
type waiter struct {
	answer  chan []byte // closed without a value when the connection ends
	sent    bool        // the write has begun
	patient bool        // waits although the connection is silent
}

// Conn is one connection between two daemons.
type Conn struct {
	nc   net.Conn
	h    Handlers
	ctx  context.Context
	stop context.CancelFunc

	mu      sync.Mutex
	wake    *sync.Cond
	queue   []outgoing
	queued  int
	nextID  uint64
	waiting map[uint64]*waiter
	running map[uint64]context.CancelFunc
	closed  bool
	pinged  bool
	silent  bool
	since   time.Time    // when something began to be expected
	timer   *time.Timer  // checks for silence while calls wait
	heard   atomic.Int64 // when the last frame arrived, since start
	start   time.Time
}

// New returns a Conn over nc. Serve must run.
func New(nc net.Conn, h Handlers) *Conn {
	ctx, stop := context.WithCancel(context.Background())
	c := &Conn{
		nc: nc, h: h, ctx: ctx, stop: stop, start: time.Now(),
		waiting: map[uint64]*waiter{}, running: map[uint64]context.CancelFunc{},
	}
	c.wake = sync.NewCond(&c.mu)
	c.timer = time.AfterFunc(time.Hour, c.watch)
	c.timer.Stop()
	return c
}

// Done is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.ctx.Done() }

// RemoteAddr returns the address of the other side.
func (c *Conn) RemoteAddr() net.Addr { return c.nc.RemoteAddr() }

// Close ends the connection. Waiting calls return ErrLost or ErrNotSent.
func (c *Conn) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	c.stop()
	c.timer.Stop()
	_ = c.nc.Close()
	for id, w := range c.waiting {
		close(w.answer)
		delete(c.waiting, id)
	}
	c.queue = nil
	c.wake.Broadcast()
}

// Serve reads and writes until the connection ends, and returns why reading ended.
func (c *Conn) Serve() error {
	defer c.Close()
	go c.write()
	r := bufio.NewReaderSize(c.nc, 8<<10)
	for {
		payload, err := wire.ReadFrame(r)
		if err != nil {
			return err
		}
		c.heard.Store(int64(time.Since(c.start)))
		var f frame
		if err := wire.Decode(payload, &f); err != nil {
			return err
		}
		c.take(f)
	}
}

func (c *Conn) take(f frame) {
	switch f.Kind {
	case kindCall:
		c.accept(f)
	case kindAnswer:
		c.mu.Lock()
		w := c.waiting[f.ID]
		delete(c.waiting, f.ID)
		c.mu.Unlock()
		if w != nil {
			w.answer <- f.Body
		}
	case kindCancel:
		c.mu.Lock()
		cancel := c.running[f.ID]
		c.mu.Unlock()
		if cancel != nil {
			cancel()
		}
	case kindNotice:
		if c.h.Notice != nil {
			c.h.Notice(c, f.Body)
		}
	case kindPing:
		c.enqueue(frame{Kind: kindPong}, 0)
	case kindPong:
	}
}

// accept handles a call of the other side.
func (c *Conn) accept(f frame) {
	ctx, cancel := context.WithCancel(c.ctx)
	c.mu.Lock()
	if c.closed || len(c.running) >= maxHandled || c.h.Call == nil {
		c.mu.Unlock()
		cancel()
		c.Close() // a caller that overruns a daemon is cut off rather than left to wait
		return
	}
	c.running[f.ID] = cancel
	c.mu.Unlock()
	go func() {
		body := c.h.Call(ctx, c, f.Body)
		cancel()
		c.mu.Lock()
		delete(c.running, f.ID)
		c.mu.Unlock()
		c.enqueue(frame{Kind: kindAnswer, ID: f.ID, Body: body}, 0)
	}()
}

// Notify sends a notice. It is lost if the connection ends.
func (c *Conn) Notify(body []byte) { c.enqueue(frame{Kind: kindNotice, Body: body}, 0) }

// enqueue queues f for writing and reports whether the connection takes it.
func (c *Conn) enqueue(f frame, id uint64) bool {
	b, err := f.encode()
	if err != nil {
		return false // above the frame size, which callers check
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.queued+len(b) > maxQueued {
		return false
	}
	c.queue = append(c.queue, outgoing{frame: b, id: id})
	c.queued += len(b)
	c.wake.Signal()
	return true
}

// write writes queued frames, all that wait at once.
func (c *Conn) write() {
	defer c.Close()
	var buf []byte
	for {
		c.mu.Lock()
		for len(c.queue) == 0 && !c.closed {
			c.wake.Wait()
		}
		if c.closed {
			c.mu.Unlock()
			return
		}
		buf = buf[:0]
		n := 0
		for _, o := range c.queue {
			if len(buf) > 0 && len(buf)+len(o.frame) > 64<<10 {
				break
			}
			if w := c.waiting[o.id]; w != nil {
				w.sent = true
			}
			buf = append(buf, o.frame...)
			c.queued -= len(o.frame)
			n++
		}
		c.queue = append(c.queue[:0], c.queue[n:]...)
		c.mu.Unlock()
		if err := c.nc.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return
		}
		if _, err := c.nc.Write(buf); err != nil {
			return
		}
	}
}

// Call sends a call and returns the body of its answer. The end of ctx cancels the call at the other
// side, which still says what became of it if it can at once. A patient call waits for its answer although the connection is silent, others end then. The error is
// ErrNotSent if nothing of the call was written, else ErrLost.
func (c *Conn) Call(ctx context.Context, body []byte, patient bool) ([]byte, error) {
	w := &waiter{answer: make(chan []byte, 1), patient: patient}
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, fmt.Errorf("%w: connection closed", ErrNotSent)
	}
	c.nextID++
	id := c.nextID
	if len(c.waiting) == 0 {
		c.since, c.pinged = time.Now(), false
		c.timer.Reset(pingAfter)
	}
	c.waiting[id] = w
	c.mu.Unlock()
	if !c.enqueue(frame{Kind: kindCall, ID: id, Body: body}, id) {
		c.forget(id)
		return nil, fmt.Errorf("%w: connection takes no frame", ErrNotSent)
	}
	select {
	case b, ok := <-w.answer:
		if ok {
			return b, nil
		}
		if !c.wasSent(w) {
			return nil, fmt.Errorf("%w: connection ended", ErrNotSent)
		}
		return nil, fmt.Errorf("%w: connection ended", ErrLost)
	case <-ctx.Done():
	}
	if c.withdraw(id, w) {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, ctx.Err())
	}
	c.enqueue(frame{Kind: kindCancel, ID: id}, 0)
	t := time.NewTimer(lateReply)
	defer t.Stop()
	select {
	case b, ok := <-w.answer:
		if ok {
			return b, nil
		}
	case <-t.C:
	}
	c.forget(id)
	return nil, fmt.Errorf("%w: %w", ErrLost, ctx.Err())
}

func (c *Conn) wasSent(w *waiter) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return w.sent
}

func (c *Conn) forget(id uint64) {
	c.mu.Lock()
	delete(c.waiting, id)
	c.mu.Unlock()
}

// withdraw removes a call that is still unwritten, and reports whether it was.
func (c *Conn) withdraw(id uint64, w *waiter) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w.sent {
		return false
	}
	delete(c.waiting, id)
	for i, o := range c.queue {
		if o.id == id {
			c.queued -= len(o.frame)
			c.queue = append(c.queue[:i], c.queue[i+1:]...)
			break
		}
	}
	return true
}
