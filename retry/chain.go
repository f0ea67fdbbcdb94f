package retry

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/marjoramcroft/marjoramcroft/refuse"
)

// Headers that a call passes along its chain.
const (
	HeaderDeadline = "Marjoramcroft-Deadline" // Unix milliseconds
	HeaderDepth    = "Marjoramcroft-Depth"
	HeaderRetried  = "Marjoramcroft-Retried"
)

// MaxDepth is the largest depth of a call. A deeper one is refused, which ends loops. The
// deepest chain in use is 13; the limit allows 3 more.
const MaxDepth = 16

// Chain is the state that a call passes along a chain of services.
type Chain struct {
	Depth    int       // 1 for the call of a caller outside the mesh
	Deadline time.Time // zero if the caller gave none
	Retried  bool      // an earlier hop has retried or hedged the call
}

// ParseChain reads a chain from the headers. The error is a *refuse.Refusal.
func ParseChain(h http.Header) (Chain, error) {
	var c Chain
	if v := h.Get(HeaderDepth); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < 0 {
			return Chain{}, refuse.NotRun(refuse.BadRequest, fmt.Sprintf("%s %q is not a number", HeaderDepth, v))
		}
		c.Depth = n
	}
	if v := h.Get(HeaderDeadline); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil || ms < 0 {
			return Chain{}, refuse.NotRun(refuse.BadRequest, fmt.Sprintf("%s %q is not a number of milliseconds", HeaderDeadline, v))
		}
		c.Deadline = time.UnixMilli(ms)
	}
	c.Retried = h.Get(HeaderRetried) != ""
	return c, nil
}

// Set writes the headers of c.
func (c Chain) Set(h http.Header) {
	h.Set(HeaderDepth, strconv.Itoa(c.Depth))
	if !c.Deadline.IsZero() {
		h.Set(HeaderDeadline, strconv.FormatInt(c.Deadline.UnixMilli(), 10))
	}
	if c.Retried {
		h.Set(HeaderRetried, "1")
	}
}

// Enter returns the chain of a call that arrives at a hop at the time now: one deeper, with
// the earlier of the deadline of the caller and the timeout of the route. The error is a
// *refuse.Refusal.
func (c Chain) Enter(now time.Time, timeout time.Duration) (Chain, error) {
	if c.Depth >= MaxDepth {
		return c, refuse.NotRun(refuse.TooDeep, fmt.Sprintf("call chain is deeper than %d", MaxDepth))
	}
	c.Depth++
	if own := now.Add(timeout); c.Deadline.IsZero() || own.Before(c.Deadline) {
		c.Deadline = own
	}
	if !now.Before(c.Deadline) {
		return c, refuse.NotRun(refuse.DeadlinePassed, "the deadline has passed on arrival")
	}
	return c, nil
}

// Forward returns the chain that is sent to the daemon beside the backend server. Its deadline
// is earlier by a reserve for the response, so that a refusal at the deadline still arrives in
// time.
func (c Chain) Forward(now time.Time) Chain {
	c.Deadline = c.Deadline.Add(-min(c.Deadline.Sub(now)/returnReserveDivisor, maxReturnReserve))
	return c
}

// The reserve of Forward is a hundredth of the remaining time, up to maxReturnReserve.
const (
	returnReserveDivisor = 100
	maxReturnReserve     = 10 * time.Millisecond
)
