package link

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/marjoramcroft/marjoramcroft/pace"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// queuedFrame is a frame waiting to be written.
type queuedFrame struct {
	frame []byte // encoded; with chunked, the part of the answer's body that has not been written
	id    uint64 // of a call; zero for other frames
	// answer means that the frame answers a call of the other daemon.
	answer  bool
	of      uint64 // the answered call
	chunked bool   // is written in chunks
	class   pace.Class
	urgency Urgency
	due     time.Time // of a large frame
}

// ask returns the request for permission to write n bytes of o.
func (o *queuedFrame) ask(n int) pace.Ask {
	return pace.Ask{Class: o.class, Rank: o.urgency.Rank, Due: o.due, Bytes: min(n, pace.ChunkBytes)}
}

// setDue sets when the rest of o, which leaves at ended at the earliest, is due: at the goal, or at the deadline if the goal
// cannot be reached. If late answers were still due at their goal, they would make all others late.
func (o *queuedFrame) setDue(ended time.Time) {
	o.due = o.urgency.Goal
	if o.due.IsZero() || ended.After(o.due) {
		o.due = o.urgency.Deadline
	}
}

// expired reports whether o is an answer whose rest, which leaves at ended at the earliest, is too late for its call.
func (o *queuedFrame) expired(ended time.Time) bool {
	return o.answer && !o.urgency.Deadline.IsZero() && ended.After(o.urgency.Deadline)
}

// addQueued records that n more bytes wait to be written. The caller holds c.mu.
func (c *Conn) addQueued(n int) {
	c.queuedBytes += n
	if c.h.Queued != nil {
		c.h.Queued(int64(n))
	}
}

// sendingEnded reports whether nothing more can be sent. The other daemon learns that by the end of the connection.
func (c *Conn) sendingEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed || c.end.halfClosed
}

// enqueue queues f for writing. It reports false if the connection is closed or closing, its queue is full or f is too
// large. A connection that either daemon is ending takes no calls, and nothing at all once its sending side is closed.
func (c *Conn) enqueue(f frame, id uint64) bool {
	return c.push(f, queuedFrame{id: id})
}

// enqueueCall queues a call, which is of use until ctx ends.
func (c *Conn) enqueueCall(ctx context.Context, f frame) bool {
	deadline, _ := ctx.Deadline()
	return c.push(f, queuedFrame{id: f.ID, urgency: Urgency{Deadline: deadline}})
}

// enqueueAnswer queues an answer. A large one is queued without a copy if it is sent in chunks.
func (c *Conn) enqueueAnswer(id uint64, body []byte, u Urgency) bool {
	f := frame{Kind: kindAnswer, ID: id, Body: body}
	return c.push(f, queuedFrame{answer: true, of: id, urgency: u})
}

func (c *Conn) push(f frame, o queuedFrame) bool {
	o.class = c.class(f)
	c.mu.Lock()
	o.chunked = o.answer && o.class == pace.Large && c.readsChunks && len(f.Body)+chunkHeadBytes <= wire.MaxFrameBytes
	c.mu.Unlock()
	if o.frame = f.Body; !o.chunked {
		b, err := f.encode()
		if err != nil {
			return false // exceeds the frame size, which callers check
		}
		o.frame = b
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.end.halfClosed || c.queuedBytes+len(o.frame) > maxQueuedBytes || (o.id > 0 && c.end.refusesCalls()) {
		return false
	}
	if o.class == pace.Large {
		o.setDue(time.Now().Add(c.h.Pacer.ShortestTime(len(o.frame))))
	}
	c.queues[o.class] = append(c.queues[o.class], o)
	c.countQueued(&o, len(o.frame))
	c.wakeWriter(o.ask(0))
	return true
}

// class returns the queue for f. Without pacing, all frames are written in order. With it, frames of a class are, except for
// large ones: notices are handled before later calls, and cancellations after their calls.
func (c *Conn) class(f frame) pace.Class {
	switch {
	case !c.h.Pacer.Active():
		return pace.Control
	case f.Kind != kindCall && f.Kind != kindAnswer:
		if f.Kind == kindCancel {
			return pace.Small
		}
		return pace.Control
	case len(f.Body) > pace.LargeBytes:
		return pace.Large
	}
	return pace.Small
}

// countQueued records that n more bytes of o wait; negative: fewer. The caller holds c.mu.
func (c *Conn) countQueued(o *queuedFrame, n int) {
	c.addQueued(n)
	if o.class == pace.Large {
		c.countBacklog(o, n)
	}
}

// wakeWriter has the writer consider what was queued. The caller holds c.mu.
func (c *Conn) wakeWriter(a pace.Ask) {
	if c.asked != nil && a.Before(c.asked) {
		c.interruptWriter()
	}
	c.queueReady.Signal()
}

// interruptWriter has the writer choose again what it asks for. The caller holds c.mu.
func (c *Conn) interruptWriter() {
	select {
	case c.urgent <- struct{}{}:
	default:
	}
}

// queueEmpty reports whether nothing waits to be written. The caller holds c.mu.
func (c *Conn) queueEmpty() bool {
	for _, q := range c.queues {
		if len(q) > 0 {
			return false
		}
	}
	return c.current == nil
}

// clearQueues drops everything that waits. The caller holds c.mu.
func (c *Conn) clearQueues() {
	for i := range c.queues {
		for _, o := range c.queues[i] {
			c.countQueued(&o, -len(o.frame))
		}
		c.queues[i] = nil
	}
	if o := c.current; o != nil {
		c.countQueued(o, -len(o.frame))
		c.current = nil
	}
	c.queueReady.Broadcast()
}

// writeLoop writes the queued frames, several in one write.
func (c *Conn) writeLoop() {
	defer c.Close()
	var b batch
	for {
		c.mu.Lock()
		c.unanswered -= b.answers
		c.writing = false
		c.checkSettled()
		for c.queueEmpty() || c.waitsForPath() {
			if c.closed {
				break
			}
			c.queueReady.Wait()
		}
		if c.closed {
			c.mu.Unlock()
			return
		}
		b.reset()
		if c.h.Pacer.Active() {
			if !c.takePaced(&b) {
				continue
			}
		} else {
			c.takeAll(&b)
			c.mu.Unlock()
		}
		if err := c.write(b.buf); err != nil {
			return
		}
	}
}

// batch is what is written at once.
type batch struct {
	buf     []byte
	answers int // that end in buf
}

// reset empties b. A buffer of the size of a large answer on each link would fill the memory of a small VM.
func (b *batch) reset() {
	if b.buf, b.answers = b.buf[:0], 0; cap(b.buf) > maxKeptBytes {
		b.buf = nil
	}
}

// takeAll moves queued frames into b, without pacing. The caller holds c.mu.
func (c *Conn) takeAll(b *batch) {
	c.writing = true
	if c.current != nil {
		c.takePart(b, len(c.current.frame))
	}
	for class := range c.queues {
		q := c.queues[class]
		for len(q) > 0 && (len(b.buf) == 0 || len(b.buf)+len(q[0].frame) <= maxWriteBytes) {
			if q[0].chunked {
				c.takeChunk(b, &q[0], len(q[0].frame)) // queued while pacing was active
			} else {
				c.begin(&q[0])
				c.takeWhole(b, &q[0])
			}
			q = q[1:]
		}
		if c.queues[class] = append(c.queues[class][:0], q...); len(q) > 0 {
			return
		}
	}
}

// begin records that writing of o starts. The caller holds c.mu.
func (c *Conn) begin(o *queuedFrame) {
	if w := c.waiting[o.id]; w != nil {
		w.sent = true
	}
}

// takeWhole moves all of o into b. The caller holds c.mu.
func (c *Conn) takeWhole(b *batch, o *queuedFrame) {
	b.buf = append(b.buf, o.frame...)
	if o.answer {
		b.answers++
	}
	c.countQueued(o, -len(o.frame))
}

// takePart moves up to n bytes of the current frame into b. The caller holds c.mu.
func (c *Conn) takePart(b *batch, n int) {
	o := c.current
	n = min(n, len(o.frame))
	b.buf = append(b.buf, o.frame[:n]...)
	o.frame = o.frame[n:]
	c.countQueued(o, -n)
	if len(o.frame) == 0 {
		if o.answer {
			b.answers++
		}
		c.current = nil
	}
}

// takeChunk moves up to n bytes of the answer o into b, as a frame. It reports whether this was the last part. The caller
// holds c.mu.
func (c *Conn) takeChunk(b *batch, o *queuedFrame, n int) bool {
	f := frame{Kind: kindChunk, ID: o.of, Body: o.frame[:min(n, len(o.frame))]}
	last := len(f.Body) == len(o.frame)
	if last {
		f.Kind = kindAnswer
		b.answers++
	}
	if enc, err := f.encode(); err == nil { // a chunk is below the frame size
		b.buf = append(b.buf, enc...)
	}
	o.frame = o.frame[len(f.Body):]
	c.countQueued(o, -len(f.Body))
	return last
}

// write writes b. A large frame may take longer than writeTimeout over a narrow network, as long as the other daemon
// reads.
func (c *Conn) write(b []byte) error {
	for part := range slices.Chunk(b, maxWriteBytes) {
		if err := c.nc.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return fmt.Errorf("set write deadline: %w", err)
		}
		if _, err := c.nc.Write(part); err != nil {
			return fmt.Errorf("write: %w", err)
		}
	}
	return nil
}

// cancelUnsent removes a call that has not been written yet, and reports whether it did.
func (c *Conn) cancelUnsent(id uint64, w *waiter) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w.sent {
		return false
	}
	c.forget(id)
	for class, q := range c.queues {
		if i := slices.IndexFunc(q, func(o queuedFrame) bool { return o.id == id }); i >= 0 {
			c.removeQueued(pace.Class(class), i)
			break
		}
	}
	c.checkSettled()
	return true
}

// removeQueued drops a queued frame. The caller holds c.mu.
func (c *Conn) removeQueued(class pace.Class, i int) {
	c.countQueued(&c.queues[class][i], -len(c.queues[class][i].frame))
	c.queues[class] = slices.Delete(c.queues[class], i, i+1)
	if c.asked != nil {
		c.interruptWriter()
	}
}
