package proxy

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/origin"
	"github.com/marjoramcroft/marjoramcroft/refuse"
)

// attempt is one attempt of a call at one server.
type attempt struct {
	e       *Entry
	c       *call
	pick    Pick
	hop     Hop
	start   time.Time
	latency time.Duration // time to the response headers
	waiting int           // short calls queued at the target when it responded
}

// run returns the response or a *refuse.Refusal.
func (a *attempt) run(ctx context.Context) (*http.Response, error) {
	resp, ref, refused := a.exchange(ctx)
	a.latency = time.Since(a.start)
	if ref != nil {
		if ref.Reason == refuse.CapReached || ref.Reason == refuse.CapUnavailable {
			a.c.capped.Store(true)
		}
		a.report(Outcome{
			Refused: ref.Reason, Failed: ref.Reason == refuse.AnswerLost,
			ConnRefused: refused, Cancelled: ctx.Err() != nil,
		})
		return nil, ref
	}
	// A header that is invalid or absent counts as an empty queue.
	a.waiting, _ = strconv.Atoi(resp.Header.Get(HeaderWaiting))
	stripResponse(resp.Header)
	resp.Body = &notifyingBody{ReadCloser: resp.Body, onEnd: func(err error) { a.bodyEnded(ctx, err) }}
	if err := bufferShortBody(a.c.r.Method, resp); err != nil {
		// The headers have not been sent to the caller, so it can still get a refusal.
		return nil, bodyRefusal(ctx, err)
	}
	return resp, nil
}

// bodyRefusal returns the refusal for a call of which err broke the response body.
func bodyRefusal(ctx context.Context, err error) *refuse.Refusal {
	if cause := context.Cause(ctx); cause != nil {
		return contextRefusal(cause, refuse.RanUnknown)
	}
	return refuse.New(refuse.AnswerLost, refuse.RanUnknown, err.Error())
}

func (a *attempt) report(o Outcome) {
	o.Latency, o.Waiting = a.latency, a.waiting
	a.pick.Done(o)
}

// bodyEnded reports the outcome when the response body has ended with err.
func (a *attempt) bodyEnded(ctx context.Context, err error) {
	switch {
	case errors.Is(err, io.EOF):
		a.report(Outcome{})
	case err == nil || ctx.Err() != nil:
		a.report(Outcome{Cancelled: true})
	default:
		a.report(Outcome{Failed: true})
	}
}

// exchange returns a response or a refusal, and whether the address of the server refused the
// connection.
func (a *attempt) exchange(ctx context.Context) (*http.Response, *refuse.Refusal, bool) {
	if a.e.isLocal(a.pick.Addr) {
		resp, err := a.e.d.Local.do(ctx, a.hop, a.c.r, a.c.body)
		if err != nil {
			return nil, asRefusal(err, refuse.AnswerLost, refuse.RanUnknown), false
		}
		return resp, nil, false
	}
	return a.remote(ctx)
}

func (a *attempt) remote(ctx context.Context) (*http.Response, *refuse.Refusal, bool) {
	out := outgoing(a.c.r, a.pick.Addr)
	a.c.body.apply(out)
	if a.c.body.rest != nil {
		// The target reads the body only after it has admitted the call, so that a refused
		// call can be sent to another server.
		out.Header.Set("Expect", "100-continue")
	}
	hop, err := a.hop.Encode()
	if err != nil {
		return nil, refuse.NotRun(refuse.BadRequest, err.Error()), false
	}
	out.Header.Set(HeaderHop, hop)
	var trace requestTrace
	resp, err := a.e.hops.of(a.hop.Class).RoundTrip(out.WithContext(trace.attach(ctx)))
	if err != nil {
		return nil, a.classifyError(ctx, err, trace.sent()), trace.refused() && ctx.Err() == nil
	}
	if ref := a.verify(resp); ref != nil {
		_ = resp.Body.Close()
		trace.abandonConn()
		return nil, ref, false
	}
	if ref := refuse.FromResponse(resp.Header); ref != nil {
		ref.Detail = fmt.Sprintf("by daemon %s: %s", a.pick.Addr, refusalDetail(resp))
		return nil, ref, false
	}
	return resp, nil, false
}

// classifyError maps the error of a failed exchange with another daemon to a refusal.
func (a *attempt) classifyError(ctx context.Context, err error, sent bool) *refuse.Refusal {
	ran := refuse.RanNo
	if sent {
		ran = refuse.RanUnknown
	}
	cause := context.Cause(ctx)
	switch {
	case cause != nil:
		return contextRefusal(cause, ran)
	case errors.Is(err, errBody):
		return refuse.New(refuse.BadRequest, ran, err.Error())
	case sent:
		return refuse.New(refuse.AnswerLost, ran, fmt.Sprintf("daemon %s: %v", a.pick.Addr, err))
	}
	return refuse.NotRun(refuse.NoServer, fmt.Sprintf("daemon %s: %v", a.pick.Addr, err))
}

// verify returns a refusal if resp is not a complete answer to this attempt.
func (a *attempt) verify(resp *http.Response) *refuse.Refusal {
	if id := resp.Header.Get(HeaderCall); id != a.hop.Call.String() {
		a.e.d.Log.Emit(event.AnswerMismatched, "Daemon", a.pick.Addr, "Call", a.hop.Call, "Got", id)
		return refuse.New(refuse.AnswerLost, refuse.RanUnknown, fmt.Sprintf("daemon %s answered another call", a.pick.Addr))
	}
	if v, err := strconv.ParseUint(resp.Header.Get(HeaderVersion), 10, 64); err == nil &&
		ident.Version(v) > a.hop.Version && a.e.d.BehindVersion != nil {
		a.e.d.BehindVersion(ident.Version(v))
	}
	if !lengthKnown(a.c.r.Method, resp) {
		return refuse.New(refuse.AnswerLost, refuse.RanUnknown, "the response has neither length nor chunks")
	}
	// A daemon of an earlier release passes on what its backend server has sent.
	if !origin.IsFinalStatus(resp.StatusCode) {
		return refuse.New(refuse.AnswerLost, refuse.RanUnknown, fmt.Sprintf("daemon %s answered with status %d", a.pick.Addr, resp.StatusCode))
	}
	return nil
}

// refusalDetail returns the detail of a refusal. It reads and closes the body, so that the
// connection can be reused: refusals are frequent when servers are full.
func refusalDetail(resp *http.Response) string {
	defer resp.Body.Close()
	var ref refuse.Refusal
	// Without a readable body, the headers alone describe the refusal.
	_ = json.NewDecoder(io.LimitReader(resp.Body, MaxStored)).Decode(&ref)
	_, _ = io.CopyN(io.Discard, resp.Body, MaxStored)
	return ref.Detail
}

// bufferShortBody reads a short body of known length before the headers are sent to the
// caller.
func bufferShortBody(method string, resp *http.Response) error {
	if method == http.MethodHead || resp.ContentLength <= 0 || resp.ContentLength > MaxStored {
		return nil
	}
	defer resp.Body.Close()
	// The extra byte lets ReadFull reach the end of the body.
	b := make([]byte, resp.ContentLength+1)
	n, err := io.ReadFull(resp.Body, b)
	if !errors.Is(err, io.ErrUnexpectedEOF) || int64(n) != resp.ContentLength {
		return fmt.Errorf("%w: %d of %d bytes: %w", errTruncated, n, resp.ContentLength, err)
	}
	b = b[:n]
	resp.Body = io.NopCloser(bytes.NewReader(b))
	return nil
}
