package retry

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/refuse"
	"github.com/marjoramcroft/marjoramcroft/stats"
)

func TestChainRefuses(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	tests := map[string]struct {
		header http.Header
		want   refuse.Reason
	}{
		"loop of services":              {http.Header{HeaderDepth: {"16"}}, refuse.TooDeep},
		"depth that overflows":          {http.Header{HeaderDepth: {"9223372036854775807"}}, refuse.TooDeep},
		"depth that is not a number":    {http.Header{HeaderDepth: {"x"}}, refuse.BadRequest},
		"negative depth":                {http.Header{HeaderDepth: {"-1"}}, refuse.BadRequest},
		"deadline that is not a number": {http.Header{HeaderDeadline: {"soon"}}, refuse.BadRequest},
		"negative deadline":             {http.Header{HeaderDeadline: {"-1"}}, refuse.BadRequest},
		"deadline 0 taken for none":     {http.Header{HeaderDeadline: {"0"}}, refuse.DeadlinePassed},
		"work after the deadline":       {http.Header{HeaderDeadline: {"999999"}}, refuse.DeadlinePassed},
		"today's deepest chain refused": {http.Header{HeaderDepth: {"12"}}, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, err := ParseChain(tt.header)
			if err == nil {
				_, err = c.Enter(now, time.Second)
			}
			var got refuse.Reason
			if r := refuse.From(err); r != nil {
				got = r.Reason
				is.Equal(r.Ran, refuse.RanNo)
			}
			is.Equal(got, tt.want)
		})
	}
}

// TestDeadlineShrinksHopByHop guards against a hop that waits longer than its caller, and
// against a lost header.
func TestDeadlineShrinksHopByHop(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_000_000)
	c := Chain{Retried: true}
	var err error
	for hop := range 13 {
		before := c.Deadline
		c, err = c.Enter(now, time.Second)
		is.NoErr(err)
		is.Equal(c.Depth, hop+1)
		is.True(hop == 0 || c.Deadline.Equal(before))
		left := c.Deadline.Sub(now)
		c = c.Forward(now)
		is.Equal(c.Deadline.Sub(now), left-left/100)
		c.Deadline = c.Deadline.Truncate(time.Millisecond) // the precision of the header
		h := http.Header{}
		c.Set(h)
		c, err = ParseChain(h)
		is.NoErr(err)
		now = now.Add(time.Millisecond)
	}
	is.True(c.Retried)
	is.Equal(Chain{Deadline: now.Add(time.Hour)}.Forward(now).Deadline, now.Add(time.Hour-10*time.Millisecond))
	c = c.Forward(c.Deadline)
	_, err = c.Enter(c.Deadline, time.Second)
	is.Equal(refuse.From(err).Reason, refuse.DeadlinePassed)
}

// TestRetriesDoNotMultiplyAlongAChain guards against retries that multiply along a chain of 13
// services whose last one fails.
func TestRetriesDoNotMultiplyAlongAChain(t *testing.T) {
	is := is.New(t)
	const depth, calls = 13, 1000
	budgets := make([]*Budget, depth+1)
	for i := range budgets {
		budgets[i] = NewBudget(DefaultShare, stats.New())
	}
	runs := make([]int, depth+1)
	var call func(level int, retried bool) (failed, retriedBelow bool)
	call = func(level int, retried bool) (bool, bool) {
		if level == 1 {
			budgets[level].Call("a")
		}
		for number := 1; ; number++ {
			runs[level]++
			below := false
			if level < depth {
				_, below = call(level+1, retried || number > 1)
			}
			a := Attempt{Number: number, Idempotent: true, Sent: true, Remaining: time.Second, Retried: retried || below}
			d, kind := DefaultPolicy().Next(a)
			if !d.Retry || !budgets[level].Take("a", kind) {
				return true, retried || below || number > 1
			}
		}
	}
	for range calls {
		call(1, false)
	}
	for level := 1; level <= depth; level++ {
		is.True(float64(runs[level]-calls) < 0.05*calls)
	}
	is.True(runs[depth] > calls) // the first hop has retried
}

// TestChainErrorsAreRefusals guards against errors that are not a *refuse.Refusal.
func TestChainErrorsAreRefusals(t *testing.T) {
	is := is.New(t)
	_, err := Chain{Depth: MaxDepth}.Enter(time.Now(), time.Second)
	var r *refuse.Refusal
	is.True(errors.As(err, &r))
}
