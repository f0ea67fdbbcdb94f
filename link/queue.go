package link

import (
	"fmt"
	"slices"
	"time"
)

// queuedFrame is an encoded frame waiting to be written.
type queuedFrame struct {
	frame []byte
	id    uint64 // of a call; zero for other frames
	// answer means that the frame answers a call of the other daemon.
	answer bool
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
	b, err := f.encode()
	if err != nil {
		return false // exceeds the frame size, which callers check
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.end.halfClosed || c.queuedBytes+len(b) > maxQueuedBytes || (id > 0 && c.end.refusesCalls()) {
		return false
	}
	c.queue = append(c.queue, queuedFrame{frame: b, id: id, answer: f.Kind == kindAnswer})
	c.addQueued(len(b))
	c.queueReady.Signal()
	return true
}

// writeLoop writes the queued frames, several in one write.
func (c *Conn) writeLoop() {
	defer c.Close()
	var buf []byte
	answers := 0 // in buf
	for {
		c.mu.Lock()
		c.unanswered -= answers
		c.writing = false
		c.checkSettled()
		for len(c.queue) == 0 && !c.closed {
			c.queueReady.Wait()
		}
		if c.closed {
			c.mu.Unlock()
			return
		}
		buf, answers = buf[:0], 0
		n := 0
		for _, o := range c.queue {
			if len(buf) > 0 && len(buf)+len(o.frame) > maxWriteBytes {
				break
			}
			if w := c.waiting[o.id]; w != nil {
				w.sent = true
			}
			buf = append(buf, o.frame...)
			if o.answer {
				answers++
			}
			c.addQueued(-len(o.frame))
			n++
		}
		c.queue = append(c.queue[:0], c.queue[n:]...)
		c.writing = true
		c.mu.Unlock()
		if err := c.write(buf); err != nil {
			return
		}
		if cap(buf) > maxKeptBytes {
			buf = nil
		}
	}
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
	delete(c.waiting, id)
	for i, o := range c.queue {
		if o.id == id {
			c.addQueued(-len(o.frame))
			c.queue = append(c.queue[:i], c.queue[i+1:]...)
			break
		}
	}
	c.checkSettled()
	return true
}
