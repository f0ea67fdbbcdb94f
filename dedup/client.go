package dedup

import (
	"context"
	"fmt"
	"time"

	"github.com/marjoramcroft/marjoramcroft/delay"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/refuse"
)

const (
	// maxFailures is the number of consecutive failed attempts after which a home counts
	// as unreachable.
	maxFailures = 3
	// maxMovedReplies is the number of Moved replies after which a claim fails. With the
	// pauses between attempts this covers the time a list takes to reach all holders.
	maxMovedReplies = 12
)

// Client claims keys on behalf of the entry daemon, which received the call.
type Client struct {
	d ClientDeps
}

// NewClient returns a Client.
func NewClient(d ClientDeps) *Client { return &Client{d: d} }

// Claim asks the home of the key whether the call may run. If the outcome is Fresh, the
// caller runs the call once and then calls Finish. Errors are of type *refuse.Refusal: not
// run, if the key belongs to another request or its home refuses; unknown, if the home is
// unreachable.
func (c *Client) Claim(ctx context.Context, req Request) (Outcome, error) {
	b, err := req.Key.Parse()
	if err != nil {
		return Outcome{}, c.refuse(refuse.NotRun(refuse.BadRequest, err.Error()))
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	failed, moved := 0, 0
	sent := false
	var home ident.Addr
	for ctx.Err() == nil && failed < maxFailures && moved < maxMovedReplies {
		var version uint64
		home, version, err = c.home(ctx, req, b, failed+moved > 0)
		if err != nil {
			failed++
			c.pause(ctx, failed)
			continue
		}
		var r Reply
		in := Claim{Scope: req.Scope, ListVersion: version, Digest: req.Digest, Call: req.Call, Left: time.Until(req.Deadline)}
		// Every attempt carries the same call ID, so that the home recognises a claim
		// whose reply was lost.
		if r, err = c.claim(ctx, home, in); err != nil {
			sent = true
			failed++
			c.pause(ctx, failed)
			continue
		}
		failed = 0
		switch r.Kind {
		case Running:
			c.pause(ctx, 1)
		case Moved:
			if b != nil {
				return Outcome{}, c.refuse(refuse.NotRun(refuse.KeyHomeUnreachable, r.Detail))
			}
			moved++
			c.pause(ctx, moved)
		case Fresh:
			if ctx.Err() != nil {
				c.release(ctx, home, req)
				return Outcome{}, c.refuse(refuse.NotRun(refuse.DeadlinePassed, "deadline passed during the claim"))
			}
			return Outcome{Kind: Fresh}, nil
		default:
			return c.outcome(r)
		}
	}
	if sent {
		c.release(ctx, home, req)
	}
	switch {
	case moved >= maxMovedReplies:
		return Outcome{}, c.refuse(refuse.NotRun(refuse.KeyHomeUnreachable, "home of the key is changing"))
	case err == nil:
		return Outcome{}, c.refuse(refuse.New(refuse.KeyUnknown, refuse.RanUnknown, "the first call has not ended"))
	}
	return Outcome{}, c.refuse(refuse.New(refuse.KeyHomeUnreachable, refuse.RanUnknown, err.Error()))
}

// outcome converts the final reply of a home.
func (c *Client) outcome(r Reply) (Outcome, error) {
	switch r.Kind {
	case Replay:
		c.d.Stats.Inc("Dedup.Replayed")
		return Outcome{Kind: Replay, Answer: r.Answer}, nil
	case Refused:
		return Outcome{}, c.refuse(refuse.New(r.Reason, r.Ran, r.Detail))
	case Unknown:
		ref := refuse.New(r.Reason, r.Ran, r.Detail)
		c.d.Stats.Refused(ref)
		return Outcome{Kind: Unknown, Refusal: ref}, nil
	}
	return Outcome{}, c.refuse(refuse.New(refuse.KeyUnknown, refuse.RanUnknown, fmt.Sprintf("reply %q of the home", r.Kind)))
}

func (c *Client) refuse(r *refuse.Refusal) error {
	c.d.Stats.Refused(r)
	return r
}

// home returns the home of the key and, for a free key, the list version used to choose it.
func (c *Client) home(ctx context.Context, req Request, b *Bound, refresh bool) (ident.Addr, uint64, error) {
	if b != nil {
		return b.Home, 0, nil
	}
	return c.freeHome(ctx, req.Scope, refresh)
}

func (c *Client) pause(ctx context.Context, n int) {
	// Exponential backoff with full jitter, up to 400 ms.
	delay.Sleep(ctx, time.Duration(c.d.Rand()*float64(50*time.Millisecond<<min(n, 3))))
}

// claim sends a Claim, or calls the table directly if this daemon is the home.
func (c *Client) claim(ctx context.Context, home ident.Addr, in Claim) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if home == c.d.Addr {
		return c.d.Table.claim(ctx, in), nil
	}
	var r Reply
	if err := c.d.Call(ctx, home, TypeClaim, in, &r); err != nil {
		return r, fmt.Errorf("claim at %s: %w", home, err)
	}
	return r, nil
}

// release tells the home that the claimed call will not run.
func (c *Client) release(ctx context.Context, home ident.Addr, req Request) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	if _, err := c.finish(ctx, home, Finish{Scope: req.Scope, Call: req.Call, Answer: Answer{Ran: refuse.RanNo}}); err != nil {
		c.d.Stats.Inc("Dedup.ReleaseFailed")
	}
}

// Finish reports the result of a call whose claim was Fresh. If Finish fails, repeated
// requests get an unknown outcome.
func (c *Client) Finish(ctx context.Context, req Request, ans Answer) error {
	b, err := req.Key.Parse()
	if err != nil {
		return err
	}
	in := Finish{Scope: req.Scope, Call: req.Call, Answer: ans.trimmed()}
	for n := range maxMovedReplies {
		if n > 0 {
			c.pause(ctx, n)
		}
		if ctx.Err() != nil {
			break
		}
		var home ident.Addr
		if home, _, err = c.home(ctx, req, b, n > 0); err != nil {
			continue
		}
		var out Finished
		if out, err = c.finish(ctx, home, in); err != nil {
			continue
		}
		if !out.Moved {
			return nil
		}
		err = fmt.Errorf("home %s does not have the claim", home)
	}
	c.d.Stats.Inc("Dedup.FinishFailed")
	return fmt.Errorf("finish %s: %w", req.Call, err)
}

func (c *Client) finish(ctx context.Context, home ident.Addr, in Finish) (Finished, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if home == c.d.Addr {
		return c.d.Table.finish(in), nil
	}
	var out Finished
	if err := c.d.Call(ctx, home, TypeFinish, in, &out); err != nil {
		return out, fmt.Errorf("finish at %s: %w", home, err)
	}
	return out, nil
}
