package link

import "time"

// Silent reports whether the other side owed an answer and sent nothing, not even the answer to a
// ping, for so long that it may be gone. It stays so.
func (c *Conn) Silent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

// Waiting returns the number of calls that wait for an answer.
func (c *Conn) Waiting() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.waiting)
}

// silence returns how long the other side has sent nothing although something was expected.
func (c *Conn) silence() time.Duration {
	heard := c.start.Add(time.Duration(c.heard.Load()))
	if c.since.After(heard) {
		heard = c.since
	}
	return time.Since(heard)
}

// watch pings a side that owes an answer, and gives up calls to a side that stays silent.
func (c *Conn) watch() {
	c.mu.Lock()
	if c.closed || len(c.waiting) == 0 {
		c.mu.Unlock()
		return
	}
	silence := c.silence()
	ping := silence >= pingAfter && !c.pinged
	c.pinged = silence >= pingAfter
	if silence >= deadAfter {
		c.silent = true
		for id, w := range c.waiting {
			if !w.patient {
				close(w.answer)
				delete(c.waiting, id)
			}
		}
	}
	c.timer.Reset(watchEvery)
	c.mu.Unlock()
	if ping {
		c.enqueue(frame{Kind: kindPing}, 0)
	}
}
