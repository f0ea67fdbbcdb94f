package link

import "github.com/marjoramcroft/marjoramcroft/wire"

// maxPartialBytes limits the bytes of answers of which a part has arrived, for all calls of a connection. It is that of
// the frames that wait to be written at the other daemon.
const maxPartialBytes = maxQueuedBytes

// partialAnswer is what has arrived of an answer that is sent in chunks.
type partialAnswer struct {
	parts [][]byte
	bytes int
}

// receiveChunk keeps a part of an answer. A part for which there is no memory ends the call as lost.
func (c *Conn) receiveChunk(f frame) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.waiting[f.ID]
	if w == nil {
		return // the call has ended, or has been cancelled
	}
	n := len(f.Body)
	if w.partial.bytes+n > wire.MaxFrameBytes || c.partialBytes+n > maxPartialBytes {
		c.forget(f.ID)
		c.checkSettled()
		w.answer <- nil
		return
	}
	w.partial.parts = append(w.partial.parts, f.Body)
	w.partial.bytes += n
	c.addPartial(n)
}

// receiveAnswer ends a call with its answer, or the last part of it. An answer without a body ends it as lost.
func (c *Conn) receiveAnswer(f frame) {
	c.mu.Lock()
	w := c.waiting[f.ID]
	if w == nil {
		c.mu.Unlock()
		return
	}
	parts := w.partial
	c.forget(f.ID)
	c.checkSettled()
	c.mu.Unlock()
	w.answer <- parts.join(f.Body)
}

// join returns the whole answer.
func (p *partialAnswer) join(last []byte) []byte {
	if len(p.parts) == 0 || len(last) == 0 {
		return last
	}
	out := make([]byte, 0, p.bytes+len(last))
	for _, b := range p.parts {
		out = append(out, b...)
	}
	return append(out, last...)
}

// forget removes a call that waits for its answer, with what has arrived of that. The caller holds c.mu.
func (c *Conn) forget(id uint64) {
	w := c.waiting[id]
	if w == nil {
		return
	}
	delete(c.waiting, id)
	c.addPartial(-w.partial.bytes)
	w.partial = partialAnswer{}
}

// addPartial records that n more bytes of partial answers are held. The caller holds c.mu.
func (c *Conn) addPartial(n int) {
	c.partialBytes += n
	if n != 0 && c.h.Queued != nil {
		c.h.Queued(int64(n))
	}
}
