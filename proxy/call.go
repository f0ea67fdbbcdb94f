package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/guard"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/origin"
	"github.com/marjoramcroft/marjoramcroft/refuse"
	"github.com/marjoramcroft/marjoramcroft/retry"
)

// Limits of drainBody; the size is the one that net/http's server uses.
const (
	maxDrainSize = 256 << 10
	drainTimeout = time.Second
)

// call is one call that a caller has sent to this daemon.
type call struct {
	r          *http.Request
	ctx        context.Context
	version    ident.Version
	route      agree.Row
	units      ident.Units // the member's cap in the service
	capped     atomic.Bool // an attempt was refused because the server had no free unit of the cap
	idempotent bool
	key        string // idempotency key; set only if the call is not idempotent
	chain      retry.Chain
	body       *payload
	tried      []ident.Addr
}

// readBody buffers the start of the request body, which is held by m with the header. The body is a transfer of ts.
func (c *call) readBody(w http.ResponseWriter, m *origin.Memory, ts *guard.Transfers) *refuse.Refusal {
	if !m.Take(guard.HeaderMemory(c.r)) {
		return memoryRefusal()
	}
	p, err := readPayload(w, c.r, m, ts)
	if errors.Is(err, origin.ErrNoBodyMemory) {
		return memoryRefusal()
	}
	if err != nil {
		if cause := context.Cause(c.ctx); cause != nil {
			return contextRefusal(cause, refuse.RanNo)
		}
		return refuse.NotRun(refuse.BadRequest, err.Error())
	}
	c.body = p
	if p.rest == nil {
		clearReadDeadline(w, c.r)
	}
	return nil
}

func memoryRefusal() *refuse.Refusal {
	return refuse.NotRun(refuse.MemoryFull, "the memory for requests is in use")
}

// prepareReply prepares w for a response that does not come from a server, such as a refusal. Its call may have ended
// later than at the deadline, for example when the home of its key did not respond.
func (c *call) prepareReply(w http.ResponseWriter) {
	c.drainBody(w)
	setReplyDeadline(w)
}

// prepareAnswer prepares w for resp, which may come late from a slow daemon.
func (c *call) prepareAnswer(w http.ResponseWriter, resp *http.Response) {
	if resp.ContentLength >= 0 && resp.ContentLength <= MaxStored {
		setReplyDeadline(w)
		return
	}
	setWriteDeadline(w, c.chain.Deadline)
}

// drainBody reads part of an upload that is not used. A caller that is still sending then gets
// the response instead of a broken connection.
func (c *call) drainBody(w http.ResponseWriter) {
	if c.body.rest == nil {
		return
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(drainTimeout))
	// If more is left, the connection is closed.
	_, _ = io.CopyN(io.Discard, c.r.Body, maxDrainSize)
}

// hop returns the description of the given attempt.
func (c *call) hop(id ident.CallID, now time.Time, number int, local bool) Hop {
	chain := c.chain
	if !local {
		chain = chain.Forward(now)
	}
	return Hop{
		Call:      id,
		Version:   c.version,
		Service:   c.route.Service,
		Route:     c.route.Route,
		Member:    c.route.Member,
		Class:     c.route.Class,
		Deadline:  chain.Deadline.UnixMilli(),
		Remaining: chain.Deadline.Sub(now).Milliseconds(),
		Depth:     chain.Depth,
		Retried:   chain.Retried || number > 1,
		Digest:    c.body.digest(),
	}
}

// digest returns a hash of the request that uses an idempotency key. A body above MaxReplay is
// not held in memory; then the hash covers its first MaxReplay bytes and its declared length.
func (c *call) digest() uint64 {
	d := xxhash.New()
	// Write to a hash never fails.
	_, _ = fmt.Fprintf(d, "%q%q%d ", c.r.Method, c.r.URL.RequestURI(), c.body.length)
	_, _ = d.Write(c.body.head)
	return d.Sum64()
}

func (c *call) keyRequest() KeyRequest {
	return KeyRequest{
		Member: c.route.Member, Service: c.route.Service, Key: c.key,
		Digest: c.digest(), Deadline: c.chain.Deadline,
	}
}
