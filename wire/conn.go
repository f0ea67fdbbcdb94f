package wire

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// ErrClosed reports that the connection has ended.
var ErrClosed = errors.New("connection closed")

// writeTimeout limits a write to a peer that has stopped reading.
const writeTimeout = 5 * time.Second

const (
	// maxConcurrentRequests limits the concurrently handled requests of one peer.
	maxConcurrentRequests = 256
	// maxUnidentifiedRequests is the limit for a peer that is not known to be a daemon.
	maxUnidentifiedRequests = 8
)

// errFrameMemory means that there is no memory for a frame.
var errFrameMemory = errors.New("no memory for the frame")

// Handler handles a request or notification. The context ends with the connection. The returned
// body is the reply to a request; for a notification it is discarded.
type Handler func(ctx context.Context, c *Conn, t Type, body []byte) ([]byte, error)

// RemoteError is an error returned by the peer's handler.
type RemoteError struct {
	Type Type
	Text string
}

// Error returns the request's type and the peer's error text.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("peer refused %s: %s", e.Type, e.Text)
}

// Conn is a connection on which both sides send requests and notifications.
type Conn struct {
	nc         net.Conn
	handler    Handler
	ctx        context.Context
	cancel     context.CancelFunc
	requestSem chan struct{}
	hold       func(c *Conn, n int64) bool // nil: the memory of frames is not limited
	restricted atomic.Bool                 // to maxUnidentifiedRequests

	writeMu      sync.Mutex
	lastSentType Type // type of the last request or notification written

	mu      sync.Mutex
	nextID  uint64
	pending map[uint64]chan message
	closed  bool

	sentBytes     atomic.Int64
	receivedBytes atomic.Int64
}

// NewConn returns a Conn on nc. Messages are read only while Serve runs.
func NewConn(nc net.Conn, handler Handler) *Conn {
	ctx, cancel := context.WithCancel(context.Background())
	return &Conn{
		nc:         nc,
		handler:    handler,
		ctx:        ctx,
		cancel:     cancel,
		requestSem: make(chan struct{}, maxConcurrentRequests),
		pending:    map[uint64]chan message{},
	}
}

// restrict limits the concurrent requests of a peer that is not known to be a daemon.
func (c *Conn) restrict() {
	c.restricted.Store(true)
	for range maxConcurrentRequests - maxUnidentifiedRequests {
		c.requestSem <- struct{}{}
	}
}

// Trust lifts the limits of a connection whose peer is not known to be a daemon.
func (c *Conn) Trust() {
	if !c.restricted.CompareAndSwap(true, false) {
		return
	}
	for range maxConcurrentRequests - maxUnidentifiedRequests {
		<-c.requestSem
	}
}

// RemoteAddr returns the peer's address.
func (c *Conn) RemoteAddr() string { return c.nc.RemoteAddr().String() }

// Sent returns the number of bytes written, including frame headers.
func (c *Conn) Sent() int64 { return c.sentBytes.Load() }

// Received returns the number of bytes read, including frame headers.
func (c *Conn) Received() int64 { return c.receivedBytes.Load() }

// Done returns a channel that is closed when the connection ends.
func (c *Conn) Done() <-chan struct{} { return c.ctx.Done() }

// Close ends the connection. Pending requests return ErrClosed.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.closed = true
	for id, ch := range c.pending {
		close(ch)
		delete(c.pending, id)
	}
	c.mu.Unlock()
	c.cancel()
	if err := c.nc.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("close connection: %w", err)
	}
	return nil
}

// Serve reads messages until the connection ends. It returns the reason.
func (c *Conn) Serve() error {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c.nc)
	var lastType Type // type of the last request or notification read
	for {
		payload, err := c.readFrame(r)
		if err != nil {
			return err
		}
		c.receivedBytes.Add(int64(len(payload) + frameHeaderBytes))
		var m message
		if err := Decode(payload, &m); err != nil {
			return err
		}
		if m.Reply {
			c.deliverReply(m)
			continue
		}
		if m.Type == "" {
			m.Type = lastType
		}
		lastType = m.Type
		if m.ID == 0 {
			// Notifications are handled in order of arrival.
			_, _ = c.handler(c.ctx, c, m.Type, m.Body)
			continue
		}
		select {
		case c.requestSem <- struct{}{}:
		case <-c.ctx.Done():
			return ErrClosed
		}
		go c.handleRequest(m)
	}
}

// readFrame reads a frame. Its memory is held until the frame is complete.
func (c *Conn) readFrame(r *bufio.Reader) ([]byte, error) {
	if c.hold == nil {
		return ReadFrame(r)
	}
	held := int64(0)
	defer func() { c.hold(c, -held) }()
	return ReadFrameWithin(r, func(n int) error {
		if !c.hold(c, int64(n)) {
			return errFrameMemory
		}
		held += int64(n)
		return nil
	})
}

func (c *Conn) handleRequest(m message) {
	defer func() { <-c.requestSem }()
	body, err := c.handler(c.ctx, c, m.Type, m.Body)
	reply := message{ID: m.ID, Reply: true, Body: body}
	if err != nil {
		reply.Body, reply.Err = nil, err.Error()
	}
	if err := c.write(reply); err != nil {
		_ = c.Close()
	}
}

func (c *Conn) deliverReply(m message) {
	c.mu.Lock()
	ch, ok := c.pending[m.ID]
	delete(c.pending, m.ID)
	c.mu.Unlock()
	if ok {
		ch <- m
	}
}

// Notify sends v as a notification of type t.
func (c *Conn) Notify(t Type, v any) error {
	body, err := Encode(v)
	if err != nil {
		return err
	}
	return c.write(message{Type: t, Body: body})
}

// Call sends a request and decodes the reply into out, unless out is nil. The error is a
// *RemoteError if the peer's handler failed, and wraps ErrClosed if the connection ended.
func (c *Conn) Call(ctx context.Context, t Type, in, out any) error {
	body, err := Encode(in)
	if err != nil {
		return err
	}
	id, ch, err := c.register()
	if err != nil {
		return err
	}
	if err := c.write(message{ID: id, Type: t, Body: body}); err != nil {
		c.unregister(id)
		return err
	}
	select {
	case <-ctx.Done():
		c.unregister(id)
		return fmt.Errorf("call %s: %w", t, ctx.Err())
	case m, ok := <-ch:
		if !ok {
			return fmt.Errorf("call %s: %w", t, ErrClosed)
		}
		if m.Err != "" {
			return &RemoteError{Type: t, Text: m.Err}
		}
		if out == nil {
			return nil
		}
		return Decode(m.Body, out)
	}
}

func (c *Conn) register() (uint64, chan message, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, nil, ErrClosed
	}
	c.nextID++
	ch := make(chan message, 1)
	c.pending[c.nextID] = ch
	return c.nextID, ch, nil
}

func (c *Conn) unregister(id uint64) {
	c.mu.Lock()
	delete(c.pending, id)
	c.mu.Unlock()
}

// write sends m. It omits the type of a request or notification if the previous one had the same
// type, since the type took a third of a heartbeat.
func (c *Conn) write(m message) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	typ := m.Type
	if typ == c.lastSentType {
		m.Type = ""
	}
	frame, err := encodeFrame(m)
	if err != nil {
		return err
	}
	if err := c.nc.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return fmt.Errorf("%w: %w", ErrClosed, err)
	}
	if !m.Reply {
		c.lastSentType = typ
	}
	n, err := c.nc.Write(frame)
	c.sentBytes.Add(int64(n))
	if err != nil {
		_ = c.Close()
		return fmt.Errorf("%w: %w", ErrClosed, err)
	}
	return nil
}
