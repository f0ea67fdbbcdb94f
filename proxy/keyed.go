package proxy

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/origin"
	"github.com/marjoramcroft/marjoramcroft/refuse"
)

// serveKeyed runs a call that is not idempotent and has an idempotency key.
func (e *Entry) serveKeyed(w http.ResponseWriter, c *call) {
	if e.d.Claim == nil {
		e.refuse(w, refuse.NotRun(refuse.BadRequest, "idempotency keys are not served here"))
		return
	}
	req := c.keyRequest()
	req.Call = e.d.NewCall()
	v, err := e.d.Claim(c.ctx, req)
	if err != nil {
		c.prepareReply(w)
		e.refuse(w, asRefusal(err, refuse.KeyHomeUnreachable, refuse.RanUnknown))
		return
	}
	switch v.State {
	case KeyFresh:
		e.runKeyed(w, c, req)
	case KeyAnswer:
		e.replay(w, c, v.Answer)
	default:
		e.replay(w, c, StoredAnswer{Ran: refuse.RanUnknown})
	}
}

// runKeyed runs the call and records its outcome. If the caller disconnects, the call goes on
// up to its deadline: a repeat with the same key then gets the answer, whereas the outcome of
// a cancelled call would stay unknown.
func (e *Entry) runKeyed(w http.ResponseWriter, c *call, req KeyRequest) {
	if c.body.rest == nil {
		ctx, cancel := e.running.withDeadline(context.WithoutCancel(c.ctx), c.chain.Deadline)
		defer cancel()
		c.ctx = ctx
	}
	resp, ref := e.run(c)
	if ref != nil {
		e.finish(c, req, StoredAnswer{Ran: ref.Ran})
		c.prepareReply(w)
		e.refuse(w, ref)
		return
	}
	defer resp.Body.Close()
	k := &bodyCopy{}
	status, header := resp.StatusCode, resp.Header.Clone()
	c.prepareAnswer(w, resp)
	err := relayBody(w, resp, k)
	if err == nil {
		// Flushes now, so that the caller does not wait for the key's home.
		_ = http.NewResponseController(w).Flush()
	}
	e.finish(c, req, k.answer(status, header))
	e.endAnswer(w, c, err)
}

// finish records the outcome at the key's home, even if the call's context has ended.
func (e *Entry) finish(c *call, req KeyRequest, ans StoredAnswer) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.ctx), finishTimeout)
	defer cancel()
	if err := e.d.Finish(ctx, req, ans); err != nil {
		e.d.Stats.Inc("Entry.FinishFailed")
		e.d.Log.Emit(event.AnswerNotRecorded, "Member", req.Member, "Service", req.Service, "Error", err)
	}
}

// replay sends the recorded answer of the first call with the key.
func (e *Entry) replay(w http.ResponseWriter, c *call, ans StoredAnswer) {
	c.prepareReply(w)
	if ans.Ran != refuse.RanYes {
		e.refuse(w, refuse.New(refuse.KeyUnknown, refuse.RanUnknown, "the first call with this key may have run"))
		return
	}
	if !ans.Kept {
		e.refuse(w, refuse.New(refuse.AnswerNotKept, refuse.RanYes, "the first call with this key ran; its answer was too large to keep"))
		return
	}
	if !origin.IsFinalStatus(ans.Status) { // kept by a daemon of an earlier release
		e.refuse(w, refuse.New(refuse.AnswerNotKept, refuse.RanYes, fmt.Sprintf("the first call with this key ran; its answer had status %d", ans.Status)))
		return
	}
	e.d.Stats.Inc("Entry.Replayed")
	e.answer(w, c, &http.Response{
		StatusCode: ans.Status, Header: ans.Header.Clone(), ContentLength: int64(len(ans.Body)),
		Body: io.NopCloser(bytes.NewReader(ans.Body)),
	})
}
