package proxy

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/refuse"
	"github.com/marjoramcroft/marjoramcroft/retry"
)

const (
	// MaxKey is the longest idempotency key in bytes; keys are held in memory for 10 min.
	MaxKey = 256
	// finishTimeout limits the time to report a keyed call's answer to the key's home.
	finishTimeout = 2 * time.Second
)

// Entry handles calls from callers and forwards them to a daemon beside a backend server.
type Entry struct {
	d       EntryDeps
	hops    *pool
	running *callTracker
	calls   atomic.Uint64
}

// NewEntry returns an Entry.
func NewEntry(d EntryDeps) *Entry {
	e := &Entry{d: d, hops: newHopPool(withTimeout(hopDialTimeout, dialer(d.Dial)), HopIdleTimeout), running: newCallTracker()}
	// Call ids start at a random number so that they differ from those of an earlier process
	// of this daemon.
	e.calls.Store(rand.Uint64())
	if e.d.NewCall == nil {
		e.d.NewCall = func() ident.CallID { return ident.CallID(e.calls.Add(1)) }
	}
	return e
}

// Stop refuses further calls with Draining and waits until the running ones have ended. If ctx ends first, it ends
// them, each with a refusal, and returns an error.
func (e *Entry) Stop(ctx context.Context) error {
	if err := e.running.stop(ctx); err != nil {
		return fmt.Errorf("stop entry: %w", err)
	}
	e.hops.closeIdle()
	return nil
}

// ServeHTTP handles a call from a caller.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !e.running.begin() {
		e.refuse(w, refuse.NotRun(refuse.Draining, "daemon is stopping"))
		return
	}
	defer e.running.end()
	c, err := e.resolve(r)
	if err != nil {
		e.refuse(w, asRefusal(err, refuse.BadRequest, refuse.RanNo))
		return
	}
	ctx, cancel := e.running.withDeadline(r.Context(), c.chain.Deadline)
	defer cancel()
	c.ctx = ctx
	setIODeadlines(w, r, c.chain.Deadline)
	memory := e.d.Memory.Hold()
	defer memory.Release()
	if ref := c.readBody(w, memory, e.d.Transfers); ref != nil {
		if ref.Reason == refuse.MemoryFull && r.ContentLength != 0 {
			w.Header().Set("Connection", "close") // net/http would wait for the rest of the body before it answers
		}
		setReplyDeadline(w)
		e.refuse(w, ref)
		return
	}
	defer c.body.transfer.End()
	if e.d.CountCall != nil {
		e.d.CountCall(c.route.Service)
	}
	if c.key != "" {
		e.serveKeyed(w, c)
		return
	}
	resp, ref := e.run(c)
	if ref != nil {
		c.prepareReply(w)
		e.refuse(w, ref)
		return
	}
	defer resp.Body.Close()
	e.answer(w, c, resp)
}

// resolve determines member, route, depth and deadline of a call from one snapshot of the
// agreement.
func (e *Entry) resolve(r *http.Request) (*call, error) {
	a := e.d.Agreement()
	if a.Version() == 0 {
		return nil, refuse.NotRun(refuse.NoAgreement, "no agreement yet")
	}
	member := ident.MemberID(r.Header.Get(HeaderMember))
	switch {
	case member == "":
		return nil, refuse.NotRun(refuse.BadRequest, HeaderMember+" is missing")
	case !a.HasMember(member):
		return nil, refuse.NotRun(refuse.NoMember, fmt.Sprintf("member %q is unknown", member))
	case hasDots(r.URL.Path):
		// The backend server might normalise the path to that of another route.
		return nil, refuse.NotRun(refuse.BadRequest, "path has a . or .. segment")
	case r.Method == http.MethodConnect || r.Header.Get("Upgrade") != "":
		return nil, refuse.NotRun(refuse.BadRequest, "connections are not switched to other protocols")
	}
	row, ok := a.Route(member, r.URL.Path)
	units := a.Cap(member, row.Service)
	if !ok || units == 0 {
		return nil, refuse.NotRun(refuse.NoRoute, fmt.Sprintf("member %q has no route for %q", member, r.URL.Path))
	}
	chain, err := retry.ParseChain(r.Header)
	if err != nil {
		return nil, err
	}
	if chain, err = chain.Enter(time.Now(), row.Timeout); err != nil {
		return nil, err
	}
	c := &call{r: r, version: a.Version(), route: row, units: units, idempotent: row.Repeat.IsIdempotent(r.Method), chain: chain}
	if !c.idempotent {
		c.key = r.Header.Get(HeaderKey)
	}
	if len(c.key) > MaxKey {
		return nil, refuse.NotRun(refuse.BadRequest, fmt.Sprintf("%s is longer than %d bytes", HeaderKey, MaxKey))
	}
	return c, nil
}

// hasDots reports whether path has a segment "." or "..".
func hasDots(path string) bool {
	if !strings.Contains(path, "/.") {
		return false
	}
	for s := range strings.SplitSeq(path, "/") {
		if s == "." || s == ".." {
			return true
		}
	}
	return false
}

// answer sends the response to the caller. If it cannot be sent whole, the connection is
// aborted.
func (e *Entry) answer(w http.ResponseWriter, c *call, resp *http.Response) {
	c.prepareAnswer(w, resp)
	e.endAnswer(w, c, relayBody(w, resp, nil))
}

// endAnswer ends a response whose sending ended with err.
func (e *Entry) endAnswer(w http.ResponseWriter, c *call, err error) {
	if errors.Is(err, errNoBody) {
		c.prepareReply(w)
		e.refuse(w, e.finalRefusal(c, bodyRefusal(c.ctx, err)))
		return
	}
	e.d.Stats.Inc("Entry.Answered")
	if err != nil {
		e.truncated(c, err)
		// Clients send some requests again that got no byte of an answer. It fails if the caller has disconnected.
		_ = http.NewResponseController(w).Flush()
		abort(w, c.r)
	}
}

func (e *Entry) truncated(c *call, err error) {
	e.d.Stats.Inc("Entry.Truncated")
	if errors.Is(err, errTruncated) && c.ctx.Err() == nil {
		e.d.Log.Emit(event.AnswerTruncated, "Member", c.route.Member, "Route", c.route.Route, "Error", err)
	}
}

// memoryRetrySeconds is when a caller may come back that was refused for want of memory, as guard has it for connections.
const memoryRetrySeconds = "1"

func (e *Entry) refuse(w http.ResponseWriter, ref *refuse.Refusal) {
	e.d.Stats.Refused(ref)
	if ref.Reason == refuse.MemoryFull {
		w.Header().Set("Retry-After", memoryRetrySeconds)
	}
	// The write fails if the caller has disconnected.
	_ = ref.Write(w)
}
