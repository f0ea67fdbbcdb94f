package link

import (
	"context"
	"time"
)

// Silent reports whether the other daemon, with an outstanding call, sent nothing for silenceTimeout, not
// even the answer to a ping, and may be gone. A silent connection stays silent.
func (c *Conn) Silent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

// Confirm reports whether the other daemon answers: it has sent something within recent, or answers a ping within
// timeout. A caller can then send a call elsewhere, rather than to a VM that has lost power or its network.
func (c *Conn) Confirm(ctx context.Context, recent, timeout time.Duration) bool {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return false
	}
	if time.Since(c.start.Add(time.Duration(c.lastReceived.Load()))) < recent {
		c.mu.Unlock()
		return true
	}
	answered, first := c.confirming, c.confirming == nil
	if first {
		answered = make(chan struct{})
		c.confirming = answered
	}
	c.mu.Unlock()
	if first {
		c.enqueue(frame{Kind: kindPing}, 0)
	}
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-answered:
		return c.ctx.Err() == nil
	case <-t.C:
		c.abandonConfirm(answered)
	case <-ctx.Done():
	}
	return false
}

// endConfirm releases the callers of Confirm. The caller holds c.mu.
func (c *Conn) endConfirm() {
	if c.confirming != nil {
		close(c.confirming)
		c.confirming = nil
	}
}

// abandonConfirm has the next Confirm send another ping, because the present one may be lost.
func (c *Conn) abandonConfirm(answered chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.confirming == answered {
		c.confirming = nil
	}
}

// MarkSilent marks the connection as silent, for a caller that expected notices over it.
func (c *Conn) MarkSilent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}

// Waiting returns the number of calls waiting for an answer.
func (c *Conn) Waiting() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.waiting)
}

// silence returns how long the other daemon has sent nothing while calls were waiting.
func (c *Conn) silence() time.Duration {
	last := c.start.Add(time.Duration(c.lastReceived.Load()))
	if c.waitingSince.After(last) {
		last = c.waitingSince
	}
	return time.Since(last)
}

// checkSilence pings a daemon that has not answered, and reports a silent connection to the waiting calls.
func (c *Conn) checkSilence() {
	c.mu.Lock()
	if c.closed || len(c.waiting) == 0 {
		c.mu.Unlock()
		return
	}
	silence := c.silence()
	ping := silence >= pingDelay && !c.pinged
	c.pinged = silence >= pingDelay
	var onSilent []func()
	if silence >= silenceTimeout {
		c.silent = true
		for _, w := range c.waiting {
			if w.onSilent != nil {
				onSilent = append(onSilent, w.onSilent)
				w.onSilent = nil
			}
		}
	}
	c.silenceTimer.Reset(silenceCheckInterval)
	c.mu.Unlock()
	for _, f := range onSilent {
		f()
	}
	if ping {
		c.enqueue(frame{Kind: kindPing}, 0)
	}
}
