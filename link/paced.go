package link

import (
	"slices"
	"time"

	"github.com/marjoramcroft/marjoramcroft/pace"
)

// chunkHeadBytes is more than a chunk takes beside its part of an answer, with a mark behind it.
const chunkHeadBytes = 64

// plan is what the writer writes next with pacing: the rest of the current frame, frames from the head of a queue, or a
// part of a large one.
type plan struct {
	ask   pace.Ask
	class pace.Class // queue of the frames
	count int        // frames that are written together; zero: a part of the one at index
	index int
}

// takePaced waits for permission to write what is most urgent and moves it into b. It reports false if there is nothing to
// write, or something else may have become more urgent. The caller holds c.mu, which is released.
func (c *Conn) takePaced(b *batch) bool {
	p, ok := c.plan()
	if !ok {
		c.mu.Unlock()
		return false
	}
	asked := p.ask
	c.asked = &asked
	c.mu.Unlock()
	permitted := c.await(asked)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked = nil
	if !permitted {
		return false
	}
	if p, ok = c.plan(); ok && !c.closed {
		c.take(b, p)
		c.writing = true
	}
	c.h.Pacer.Return(asked, asked.Bytes-len(b.buf)) // the queue may have changed
	return len(b.buf) > 0
}

// await waits for permission to write. It reports false if the connection is closed, or the writer has to choose again.
func (c *Conn) await(a pace.Ask) bool {
	if c.h.Pacer.Request(c.ticket, a) {
		return true
	}
	select {
	case <-c.ticket.Ready():
		return true
	case <-c.urgent:
	case <-c.ctx.Done():
	}
	return !c.h.Pacer.Withdraw(c.ticket)
}

// plan returns what is written next; false: nothing. Answers that are too late for their calls are dropped before. The
// caller holds c.mu.
func (c *Conn) plan() (plan, bool) {
	c.reviewLarge(time.Now())
	large := c.queues[pace.Large]
	if o := c.current; o != nil {
		p := plan{ask: o.ask(len(o.frame)), class: o.class}
		for class := range p.ask.Class {
			if len(c.queues[class]) > 0 {
				p.ask.Class = class // its frames wait for the rest of o
				break
			}
		}
		return p, true
	}
	for _, class := range []pace.Class{pace.Control, pace.Small} {
		if class == pace.Small && len(large) > 0 && c.passed >= pace.PassedBytes && c.pathFree() {
			break
		}
		if q := c.queues[class]; len(q) > 0 {
			return planQueue(q, class), true
		}
	}
	if len(large) == 0 || c.waitsForPath() {
		return plan{}, false
	}
	i := mostUrgent(large)
	p := plan{ask: large[i].ask(min(len(large[i].frame)+chunkHeadBytes, c.far.chunk())), class: pace.Large, index: i}
	p.ask.Far = c.far.limited()
	if len(c.queues[pace.Small]) > 0 {
		p.ask.Class = pace.Small // it has waited for its share, and frames wait behind it
	}
	return p, true
}

// planQueue returns the plan for the frames at the head of a queue that go into one write, or a part of the first one.
func planQueue(q []queuedFrame, class pace.Class) plan {
	n, count := 0, 0
	for _, o := range q {
		if n+len(o.frame) > pace.ChunkBytes {
			break
		}
		n += len(o.frame)
		count++
	}
	if count == 0 {
		n = pace.ChunkBytes
	}
	return plan{ask: pace.Ask{Class: class, Bytes: n}, class: class, count: count}
}

// mostUrgent returns the index of the frame that goes first.
func mostUrgent(q []queuedFrame) int {
	best, ask := 0, q[0].ask(0)
	for i := range q {
		if a := q[i].ask(0); a.Before(&ask) {
			best, ask = i, a
		}
	}
	return best
}

// take moves what is planned into b. The caller holds c.mu.
func (c *Conn) take(b *batch, p plan) {
	defer func() { c.countPassed(p.class, len(b.buf)) }()
	q := &c.queues[p.class]
	if p.class == pace.Large && c.current == nil {
		id, ok := c.far.take(p.ask.Bytes)
		if !ok {
			return
		}
		defer c.addMark(b, id)
	}
	switch {
	case c.current != nil:
		c.takePart(b, p.ask.Bytes)
	case p.count > 0:
		for i := range p.count {
			c.begin(&(*q)[i])
			c.takeWhole(b, &(*q)[i])
		}
		*q = slices.Delete(*q, 0, p.count)
	case (*q)[p.index].chunked:
		if c.takeChunk(b, &(*q)[p.index], p.ask.Bytes-chunkHeadBytes) {
			*q = slices.Delete(*q, p.index, p.index+1)
		}
	default:
		o := (*q)[p.index]
		*q = slices.Delete(*q, p.index, p.index+1)
		c.begin(&o)
		c.current = &o
		c.takePart(b, p.ask.Bytes)
	}
}

// countPassed counts the bytes that go before waiting large answers. The caller holds c.mu.
func (c *Conn) countPassed(class pace.Class, n int) {
	switch {
	case n == 0:
	case class == pace.Large:
		c.passed = 0
	case len(c.queues[pace.Large]) > 0:
		c.passed += n
	}
}

// reviewLarge drops the large answers that are too late for their calls, and sets when the others are due. The caller
// holds c.mu.
func (c *Conn) reviewLarge(now time.Time) {
	for i := len(c.queues[pace.Large]) - 1; i >= 0; i-- {
		o := &c.queues[pace.Large][i]
		ended := now.Add(c.h.Pacer.ShortestTime(len(o.frame)))
		if o.expired(ended) {
			c.dropLarge(i)
			continue
		}
		o.setDue(ended)
	}
}

// dropAnswer drops the large answer to a call that the other daemon has cancelled, unless it is being written as a whole.
// The caller holds c.mu.
func (c *Conn) dropAnswer(id uint64) {
	i := slices.IndexFunc(c.queues[pace.Large], func(o queuedFrame) bool { return o.answer && o.of == id })
	if i >= 0 {
		c.dropLarge(i)
	}
}

// dropLarge replaces a large answer, or the rest of it, by one without a body. The caller holds c.mu.
func (c *Conn) dropLarge(i int) {
	o := c.queues[pace.Large][i]
	c.h.Pacer.Drop(len(o.frame))
	c.removeQueued(pace.Large, i)
	b, err := frame{Kind: kindAnswer, ID: o.of}.encode()
	if err != nil {
		return
	}
	end := queuedFrame{frame: b, answer: true, of: o.of, class: pace.Small}
	c.queues[pace.Small] = append(c.queues[pace.Small], end)
	c.countQueued(&end, len(b))
	c.wakeWriter(end.ask(0))
}
