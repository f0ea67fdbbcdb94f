package proxy

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/refuse"
)

// probeTimeout limits the check whether a backend server's process has ended after one of its
// connections broke.
const probeTimeout = time.Second

// Target handles calls for the backend server beside this daemon.
type Target struct {
	d         TargetDeps
	dial      DialFunc
	running   *callTracker
	processes *processTracker

	mu      sync.Mutex
	backend Backend
	pool    *pool
}

// NewTarget returns a Target.
func NewTarget(d TargetDeps) *Target {
	return &Target{d: d, dial: dialer(d.Dial), running: newCallTracker(), processes: newProcessTracker()}
}

// Stop refuses further calls with Draining and waits until the running ones have ended. If ctx ends first, it ends
// them, each with a refusal, and returns an error.
func (t *Target) Stop(ctx context.Context) error {
	if err := t.running.stop(ctx); err != nil {
		return fmt.Errorf("stop target: %w", err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pool != nil {
		t.pool.closeIdle()
	}
	return nil
}

// ServeHTTP handles a call from another daemon.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	hop, err := DecodeHop(r.Header.Get(HeaderHop))
	w.Header().Set(HeaderVersion, strconv.FormatUint(uint64(t.d.Agreement().Version()), 10))
	if err != nil {
		t.refuse(w, refuse.NotRun(refuse.BadRequest, err.Error()))
		return
	}
	w.Header().Set(HeaderCall, hop.Call.String())
	deadline := hop.localDeadline(time.Now())
	ctx, cancel := t.running.withDeadline(r.Context(), deadline)
	defer cancel()
	setIODeadlines(w, r, deadline)
	resp, err := t.do(ctx, hop, r, streamedPayload(r))
	if err != nil {
		t.refuse(w, asRefusal(err, refuse.AnswerLost, refuse.RanUnknown))
		return
	}
	defer resp.Body.Close()
	relay(w, r, resp)
}

func (t *Target) refuse(w http.ResponseWriter, ref *refuse.Refusal) {
	t.d.Stats.Inc("Target.Refused." + string(ref.Reason) + "." + string(ref.Ran))
	// The write fails if the caller has disconnected.
	_ = ref.Write(w)
}

// do forwards the call r with the body p to the backend server. The response keeps its slot
// and its cap unit until its body is read to the end or closed. The error is a
// *refuse.Refusal.
func (t *Target) do(ctx context.Context, hop Hop, r *http.Request, p *payload) (*http.Response, error) {
	if !t.running.begin() {
		return nil, refuse.NotRun(refuse.Draining, "daemon is stopping")
	}
	c := &targetCall{t: t, ctx: ctx, hop: hop, method: r.Method}
	c.addRelease(t.running.end)
	resp, err := c.run(r, p)
	if err != nil {
		c.release()
		return nil, err
	}
	return resp, nil
}

// poolOf returns the connection pool for the backend server. It is replaced when the address
// or the connection limit changes.
func (t *Target) poolOf(b Backend) *pool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pool != nil && t.backend == b {
		return t.pool
	}
	if t.pool != nil {
		t.pool.closeIdle()
	}
	t.backend, t.pool = b, newBackendPool(t.dial, b.Conns)
	return t.pool
}

// dropPool makes further calls open new connections. Those in use are closed when their
// calls have ended.
func (t *Target) dropPool() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pool != nil {
		t.pool.closeIdle()
		t.pool = nil
	}
}

// lengthKnown reports whether a complete response can be told from one cut short by a broken
// connection.
func lengthKnown(method string, resp *http.Response) bool {
	return method == http.MethodHead || resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// outgoing returns a request to addr with the method, path, host and end-to-end headers of r.
func outgoing(r *http.Request, addr ident.Addr) *http.Request {
	out := &http.Request{
		Method: r.Method,
		URL: &url.URL{
			Scheme: "http", Host: string(addr), Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery,
		},
		Host:       r.Host,
		Header:     endToEndHeaders(r.Header),
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
	}
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header.Set("User-Agent", "") // keeps net/http from adding its own
	}
	return out
}

// streamedPayload returns the body of r as a payload without buffering.
func streamedPayload(r *http.Request) *payload {
	if r.Body == nil || r.ContentLength == 0 {
		return &payload{}
	}
	return &payload{rest: r.Body, length: r.ContentLength}
}

// contextRefusal returns the refusal for a call whose context has ended with err.
func contextRefusal(err error, ran refuse.Ran) *refuse.Refusal {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return refuse.New(refuse.DeadlinePassed, ran, "the deadline has passed")
	case errors.Is(err, errStopping):
		return refuse.New(refuse.Draining, ran, err.Error())
	}
	return refuse.New(refuse.Cancelled, ran, "the caller has gone")
}

// asRefusal returns the refusal in err, or a new one with the given reason and ran.
func asRefusal(err error, reason refuse.Reason, ran refuse.Ran) *refuse.Refusal {
	if ref := refuse.From(err); ref != nil {
		return ref
	}
	return refuse.New(reason, ran, err.Error())
}

// waitRefusal returns the refusal for a call whose wait for a unit or slot failed with err. If
// the context has ended, that is the reason.
func waitRefusal(ctx context.Context, err error, reason refuse.Reason) *refuse.Refusal {
	cause := context.Cause(ctx)
	if ref := refuse.From(err); ref != nil && !errors.Is(cause, errStopping) {
		return ref
	}
	if cause != nil {
		return contextRefusal(cause, refuse.RanNo)
	}
	return refuse.NotRun(reason, err.Error())
}
