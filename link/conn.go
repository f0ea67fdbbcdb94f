package link

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marjoramcroft/marjoramcroft/pace"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

const (
	// pingDelay is the silence after which a daemon with an outstanding call is pinged. It is several round
	// trips between regions, so that most calls need no ping.
	pingDelay = 250 * time.Millisecond
	// silenceTimeout is the silence after which a connection counts as silent. A processor quota can stop a
	// daemon for up to 100 ms, and a lost packet delays it for 200 ms or more.
	silenceTimeout = 900 * time.Millisecond
	// silenceCheckInterval is how often a connection with outstanding calls is checked for silence.
	silenceCheckInterval = 150 * time.Millisecond
	// maxQueuedBytes limits the bytes queued for writing; above it, the other daemon is not reading.
	maxQueuedBytes = 16 << 20
	// maxWriteBytes limits one write, and the frames that are encoded for it at once if there are several.
	maxWriteBytes = 64 << 10
	// maxKeptBytes limits the write buffer that is kept. A buffer of the size of a large answer on each link would fill
	// the memory of a small VM.
	maxKeptBytes = 2 * maxWriteBytes
	// writeTimeout limits the write of maxWriteBytes to a daemon that does not read.
	writeTimeout = 5 * time.Second
	// cancelReplyTimeout is how long a cancelled call waits for its outcome: a round trip between regions and
	// a stop of 100 ms by a processor quota.
	cancelReplyTimeout = 150 * time.Millisecond
	// maxRunningCalls limits the calls of one daemon that are handled concurrently.
	maxRunningCalls = 1024
)

// errFrameMemory means that there is no memory for a frame.
var errFrameMemory = errors.New("no memory for the frame")

// waiter is a call waiting for its answer.
type waiter struct {
	answer   chan []byte // closed without a value when the connection is closed
	sent     bool        // writing has started
	onSilent func()      // called once if the connection becomes silent; nil: not called
	partial  partialAnswer
}

// Conn is one connection between two daemons.
type Conn struct {
	nc   net.Conn
	h    Handlers
	ctx  context.Context
	stop context.CancelFunc

	mu           sync.Mutex
	queueReady   *sync.Cond
	queues       [pace.Classes][]queuedFrame
	queuedBytes  int
	current      *queuedFrame // a frame of which a part has been written; nil: none
	asked        *pace.Ask    // for which the writer waits; nil: it does not
	passed       int          // bytes written before waiting large answers since the last part of these
	readsChunks  bool         // the other daemon does
	far          farPath
	partialBytes int // of answers of which a part has arrived
	nextID       uint64
	waiting      map[uint64]*waiter
	running      map[uint64]context.CancelFunc
	unanswered   int // calls of the other daemon whose answer has not been written
	writing      bool
	closed       bool
	end          shutdown
	pinged       bool
	silent       bool
	confirming   chan struct{} // closed when the next bytes arrive; nil: no Confirm waits
	waitingSince time.Time     // when the first of the waiting calls started
	silenceTimer *time.Timer   // runs checkSilence while calls wait
	lastReceived atomic.Int64  // when the last bytes arrived or a frame was complete, as duration since start
	start        time.Time

	ticket *pace.Ticket
	urgent chan struct{} // receives a value when something goes before asked, or asked has been dropped
}

// New returns a Conn over nc. The caller must run Serve.
func New(nc net.Conn, h Handlers) *Conn {
	ctx, stop := context.WithCancel(context.Background())
	c := &Conn{
		nc: nc, h: h, ctx: ctx, stop: stop, start: time.Now(),
		waiting: map[uint64]*waiter{}, running: map[uint64]context.CancelFunc{},
		ticket: pace.NewTicket(), urgent: make(chan struct{}, 1),
	}
	c.queueReady = sync.NewCond(&c.mu)
	c.silenceTimer = time.AfterFunc(time.Hour, c.checkSilence)
	c.silenceTimer.Stop()
	if h.Pacer != nil {
		c.enqueue(frame{Kind: kindReads, Body: []byte{byte(kindChunk), byte(kindMark)}}, 0)
	}
	return c
}

// Done returns a channel that is closed when the connection is closed.
func (c *Conn) Done() <-chan struct{} { return c.ctx.Done() }

// RemoteAddr returns the address of the other daemon.
func (c *Conn) RemoteAddr() net.Addr { return c.nc.RemoteAddr() }

// receiver reads from a Conn's connection. The parts of a large frame show that the other daemon is there.
type receiver struct{ c *Conn }

// Read reads from the connection.
func (r receiver) Read(b []byte) (int, error) {
	n, err := r.c.nc.Read(b)
	if n > 0 {
		r.c.recordReceived()
	}
	return n, err //nolint:wrapcheck // a reader passes errors on
}

// recordReceived records that a frame, or a part of one, has arrived.
func (c *Conn) recordReceived() {
	c.lastReceived.Store(int64(time.Since(c.start)))
	c.mu.Lock()
	c.endConfirm()
	c.mu.Unlock()
}

// LastReceived returns when the last bytes arrived from the other daemon, on the steady clock.
func (c *Conn) LastReceived() time.Time { return c.start.Add(time.Duration(c.lastReceived.Load())) }

// Close closes the connection. Waiting calls return ErrLost or ErrNotSent.
func (c *Conn) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	c.stop()
	c.silenceTimer.Stop()
	_ = c.nc.Close()
	for id, w := range c.waiting {
		close(w.answer)
		c.forget(id)
	}
	c.clearQueues()
	c.far.end()
	c.queueReady.Broadcast()
	c.endConfirm()
}

// Serve reads and writes until the connection is closed, and returns the read error.
func (c *Conn) Serve() error {
	defer c.Close()
	go c.writeLoop()
	r := bufio.NewReaderSize(receiver{c}, 8<<10)
	for {
		payload, err := c.readFrame(r)
		if err != nil {
			return err
		}
		c.recordReceived()
		var f frame
		if err := wire.Decode(payload, &f); err != nil {
			return err
		}
		c.dispatch(f)
	}
}

// readFrame reads a frame. Its memory is held until the frame is complete.
func (c *Conn) readFrame(r *bufio.Reader) ([]byte, error) {
	if c.h.Hold == nil {
		return wire.ReadFrame(r) //nolint:wrapcheck // Serve returns it as it is
	}
	held := int64(0)
	defer func() { c.h.Hold(c, -held) }()
	return wire.ReadFrameWithin(r, func(n int) error { //nolint:wrapcheck // Serve returns it as it is
		if !c.h.Hold(c, int64(n)) {
			return errFrameMemory
		}
		held += int64(n)
		return nil
	})
}

func (c *Conn) dispatch(f frame) {
	switch f.Kind {
	case kindCall:
		c.startCall(f)
	case kindAnswer:
		c.receiveAnswer(f)
	case kindChunk:
		c.receiveChunk(f)
	case kindReads:
		c.mu.Lock()
		c.readsChunks, c.far.readsMarks = slices.Contains(f.Body, byte(kindChunk)), slices.Contains(f.Body, byte(kindMark))
		c.probePath()
		c.mu.Unlock()
	case kindMark:
		c.enqueue(frame{Kind: kindMarked, ID: f.ID}, 0)
	case kindMarked:
		c.receiveMarked(f.ID)
	case kindCancel:
		c.mu.Lock()
		cancel := c.running[f.ID]
		c.dropAnswer(f.ID)
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
	case kindStop:
		c.stopCalls()
	case kindStopped:
		c.endStopWait()
	}
}

// startCall handles a call from the other daemon in a new goroutine.
func (c *Conn) startCall(f frame) {
	ctx, cancel := context.WithCancel(c.ctx)
	c.mu.Lock()
	if c.end.halfClosed {
		c.mu.Unlock()
		cancel()
		return // can't be answered
	}
	if c.closed || (c.h.Call == nil && c.h.Ranked == nil) {
		c.mu.Unlock()
		cancel()
		c.Close() // a daemon that expects no calls disconnects rather than leave the other one waiting
		return
	}
	c.unanswered++
	if len(c.running) >= maxRunningCalls {
		c.mu.Unlock()
		cancel()
		c.answer(f.ID, c.h.Busy, Urgency{})
		return
	}
	c.running[f.ID] = cancel
	c.mu.Unlock()
	go func() {
		body, urgency := c.h.handle(ctx, c, f.Body)
		cancel()
		c.mu.Lock()
		delete(c.running, f.ID)
		c.mu.Unlock()
		c.answer(f.ID, body, urgency)
	}()
}

// Unanswered returns the number of calls from the other daemon whose answer has not been written. It is zero if the
// connection is closed.
func (c *Conn) Unanswered() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0
	}
	return c.unanswered
}

// answer queues the answer to a call. If it exceeds the frame size or the write queue is full, an answer without a body
// goes before all other frames, so that the call ends at once rather than at its deadline.
func (c *Conn) answer(id uint64, body []byte, u Urgency) {
	if c.enqueueAnswer(id, body, u) {
		return
	}
	b, err := frame{Kind: kindAnswer, ID: id}.encode()
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil || c.closed {
		return
	}
	c.queues[pace.Control] = slices.Insert(c.queues[pace.Control], 0, queuedFrame{frame: b, answer: true})
	c.addQueued(len(b))
	c.wakeWriter(pace.Ask{Class: pace.Control})
}

// Notify queues a notice. It reports false if the notice is lost although the connection goes on, because the queue is full
// or the notice exceeds the frame size. On a connection that has ended for the sender, a notice is lost without a report.
func (c *Conn) Notify(body []byte) bool {
	return c.enqueue(frame{Kind: kindNotice, Body: body}, 0) || c.sendingEnded()
}

// Call sends a call and returns the body of its answer. When ctx is done, the call is cancelled at the other
// daemon, whose answer is still returned if it arrives within cancelReplyTimeout. If the connection becomes
// silent, onSilent is called if it is not nil, and the call goes on: the other daemon may only be slow. The error
// wraps ErrNotSent if nothing of the call was written, and ErrLost otherwise, also if the answer has no body.
func (c *Conn) Call(ctx context.Context, body []byte, onSilent func()) ([]byte, error) {
	w := &waiter{answer: make(chan []byte, 1), onSilent: onSilent}
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, fmt.Errorf("%w: connection closed", ErrNotSent)
	}
	c.nextID++
	id := c.nextID
	if len(c.waiting) == 0 {
		c.waitingSince, c.pinged = time.Now(), false
		c.silenceTimer.Reset(pingDelay)
	}
	c.waiting[id] = w
	c.mu.Unlock()
	if !c.enqueueCall(ctx, frame{Kind: kindCall, ID: id, Body: body}) {
		c.removeWaiter(id)
		return nil, fmt.Errorf("%w: connection closed or closing, write queue full or frame too large", ErrNotSent)
	}
	select {
	case b, ok := <-w.answer:
		if ok {
			return checkAnswer(b)
		}
		if !c.wasSent(w) {
			return nil, fmt.Errorf("%w: connection ended", ErrNotSent)
		}
		return nil, fmt.Errorf("%w: connection ended", ErrLost)
	case <-ctx.Done():
	}
	if c.cancelUnsent(id, w) {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, ctx.Err())
	}
	c.enqueue(frame{Kind: kindCancel, ID: id}, 0)
	t := time.NewTimer(cancelReplyTimeout)
	defer t.Stop()
	select {
	case b, ok := <-w.answer:
		if ok {
			return checkAnswer(b)
		}
	case <-t.C:
	}
	c.removeWaiter(id)
	return nil, fmt.Errorf("%w: %w", ErrLost, ctx.Err())
}

// checkAnswer returns the body of an answer. An answer without one means that the other daemon could not send it.
func checkAnswer(body []byte) ([]byte, error) {
	if len(body) == 0 {
		return nil, fmt.Errorf("%w: not sent by the other daemon", ErrLost)
	}
	return body, nil
}

func (c *Conn) wasSent(w *waiter) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return w.sent
}

func (c *Conn) removeWaiter(id uint64) {
	c.mu.Lock()
	c.forget(id)
	c.checkSettled()
	c.mu.Unlock()
}
