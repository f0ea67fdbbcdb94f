package link

import "github.com/marjoramcroft/marjoramcroft/pace"

// farPath is the path of a Conn whose rate is not known. It is guarded by Conn.mu.
type farPath struct {
	path       *pace.Path // nil: the other daemon is near, and nothing limits the bytes in flight
	readsMarks bool       // the other daemon does
	ticket     *pace.Ticket
	waits      bool // until path wakes the writer
	probed     bool
	marks      []uint64 // without an answer, as path numbers what is in flight
}

// SetPath sets the path to the other daemon, which limits the bytes of large answers in flight while Handlers.Pacer is active.
func (c *Conn) SetPath(p *pace.Path) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.far.path == nil && !c.closed {
		c.countLarge(-1)
		c.far.path, c.far.ticket = p, pace.NewPathTicket(c.wakeFromPath)
		c.countLarge(1)
		c.probePath()
	}
}

// probePath measures the round trip of a new connection, before large answers fill the path. The caller holds c.mu.
func (c *Conn) probePath() {
	if !c.far.limited() || c.far.probed || c.closed {
		return
	}
	c.far.probed = true
	id := c.far.path.Probe()
	c.far.marks = append(c.far.marks, id)
	b, err := frame{Kind: kindMark, ID: id}.encode()
	if err != nil {
		return
	}
	o := queuedFrame{frame: b, class: pace.Control}
	c.queues[pace.Control] = append(c.queues[pace.Control], o)
	c.countQueued(&o, len(b))
	c.wakeWriter(o.ask(0))
}

// countBacklog counts n more bytes of a large frame where they wait. The caller holds c.mu.
func (c *Conn) countBacklog(o *queuedFrame, n int) {
	if c.far.path != nil {
		c.far.path.Queue(o.urgency.Rank, n)
		return
	}
	c.h.Pacer.Queue(o.urgency.Rank, n)
}

// countLarge counts the large frames that wait factor times. The caller holds c.mu.
func (c *Conn) countLarge(factor int) {
	for i := range c.queues[pace.Large] {
		o := &c.queues[pace.Large][i]
		c.countBacklog(o, factor*len(o.frame))
	}
	if o := c.current; o != nil && o.class == pace.Large {
		c.countBacklog(o, factor*len(o.frame))
	}
}

// Path returns what SetPath set; nil: nothing.
func (c *Conn) Path() *pace.Path {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.far.path
}

// limited reports whether the bytes in flight are limited.
func (f *farPath) limited() bool { return f.path != nil && f.readsMarks }

// take puts n bytes in flight, and reports whether that is possible now. The id is zero if nothing limits them.
func (f *farPath) take(n int) (id uint64, ok bool) {
	if !f.limited() {
		return 0, true
	}
	return f.path.Take(f.ticket, n)
}

// chunk returns the largest part of a large frame that is written at once.
func (f *farPath) chunk() int {
	if !f.limited() {
		return pace.ChunkBytes
	}
	return f.path.Chunk()
}

// end gives back what is in flight.
func (f *farPath) end() {
	if f.path == nil {
		return
	}
	f.path.Lost(f.ticket, f.marks)
	f.marks = nil
}

// pathFree reports whether a large frame, of which one waits, may be written. Otherwise the writer is woken later. The caller
// holds c.mu.
func (c *Conn) pathFree() bool {
	if !c.far.limited() || !c.h.Pacer.Active() {
		return true
	}
	large := c.queues[pace.Large]
	o := &large[mostUrgent(large)]
	c.far.waits = !c.far.path.Free(c.far.ticket, o.ask(min(len(o.frame)+chunkHeadBytes, c.far.chunk())))
	return !c.far.waits
}

// waitsForPath reports whether only large frames wait to be written, and have to wait longer. The caller holds c.mu.
func (c *Conn) waitsForPath() bool {
	return c.current == nil && len(c.queues[pace.Control]) == 0 && len(c.queues[pace.Small]) == 0 &&
		len(c.queues[pace.Large]) > 0 && !c.pathFree()
}

// wakeFromPath has the writer continue with large frames.
func (c *Conn) wakeFromPath() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.far.waits = false
	if c.closed || len(c.queues[pace.Large]) == 0 {
		c.far.path.Pass(c.far.ticket)
		return
	}
	c.queueReady.Signal()
}

// addMark asks the other daemon to confirm the bytes in b, which are in flight as id. The caller holds c.mu.
func (c *Conn) addMark(b *batch, id uint64) {
	if id == 0 {
		return
	}
	c.far.marks = append(c.far.marks, id)
	if f, err := (frame{Kind: kindMark, ID: id}).encode(); err == nil {
		b.buf = append(b.buf, f...)
	}
}

// receiveMarked records that the bytes before a mark have arrived.
func (c *Conn) receiveMarked(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.far.marks) > 0 && c.far.marks[0] <= id {
		c.far.path.Arrived(c.far.marks[0])
		c.far.marks = c.far.marks[1:]
	}
}
