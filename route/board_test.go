package route

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

var (
	nearest = ident.Place{Region: "r", DataCentre: "a"}
	near    = ident.Place{Region: "r", DataCentre: "b"}
	far     = ident.Place{Region: "q", DataCentre: "c"}
)

// boardAt returns a Board in data centre a with a clock.
func boardAt(now *time.Time) *Board {
	return NewBoard(nearest, func() time.Time { return *now }, func() float64 { return 0.5 })
}

func three() []Candidate {
	return []Candidate{{Addr: "here", Place: nearest, Slots: 4}, {Addr: "near", Place: near, Slots: 4}, {Addr: "far", Place: far, Slots: 4}}
}

func report(b *Board, addr ident.Addr, r Report) {
	b.at(addr).mine++
	b.End(addr, Result{Report: r, Known: true, Took: 50 * time.Millisecond})
}

// TestPickStaysNear guards against requests that cross data centres although the near server is in time,
// and against those that wait at a full near server although another one is in time.
func TestPickStaysNear(t *testing.T) {
	const goal = 300 * time.Millisecond
	mean := 50 * time.Millisecond
	tests := map[string]struct {
		here Report
		want ident.Addr
	}{
		"idle":                     {Report{Slots: 4, Mean: mean}, "here"},
		"nearly full":              {Report{Running: 3, Slots: 4, Mean: mean}, "here"},
		"short queue, still ahead": {Report{Running: 4, Waiting: 2, Slots: 4, Mean: mean}, "here"},
		"long queue":               {Report{Running: 4, Waiting: 20, Slots: 4, Mean: mean}, "near"},
		"slowed tenfold":           {Report{Running: 1, Slots: 4, Mean: mean, Slowness: 1000}, "near"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1, 0)
			b := boardAt(&now)
			report(b, "here", tt.here)
			c, ok := b.Pick(three(), goal, 1)
			is.True(ok)
			is.Equal(c.Addr, tt.want)
		})
	}
}

// TestPickCountsOwnAttempts guards against a burst at one daemon that goes to the server whose last report was
// good until the next report comes.
func TestPickCountsOwnAttempts(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1, 0)
	b := boardAt(&now)
	list := []Candidate{{Addr: "x", Place: nearest, Slots: 4}, {Addr: "y", Place: nearest, Slots: 4}}
	got := map[ident.Addr]int{}
	for range 20 {
		c, ok := b.Pick(list, 300*time.Millisecond, 1)
		is.True(ok)
		got[c.Addr]++
	}
	is.Equal(got, map[ident.Addr]int{"x": 10, "y": 10})
}

// TestPickAvoidsFailing guards against a server that fails requests quickly, which looks the least loaded,
// and against one that is never tried again.
func TestPickAvoidsFailing(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1, 0)
	b := boardAt(&now)
	for range 10 {
		b.at("here").mine++
		b.End("here", Result{Failed: true, Took: time.Millisecond})
	}
	c, _ := b.Pick(three(), 300*time.Millisecond, 1)
	is.Equal(c.Addr, ident.Addr("near"))
	now = now.Add(time.Minute)
	c, _ = b.Pick(three(), 300*time.Millisecond, 1)
	is.Equal(c.Addr, ident.Addr("here"))
}

// TestPickPausesUnreachable guards against requests that wait for a server that is gone, and against a
// pause that outlasts its return.
func TestPickPausesUnreachable(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1, 0)
	b := boardAt(&now)
	only := three()[:1]
	b.at("here").mine++
	b.End("here", Result{Refused: true, Failed: true})
	_, ok := b.Pick(only, time.Second, 1)
	is.True(!ok)
	b.Forget("here")
	_, ok = b.Pick(only, time.Second, 1)
	is.True(ok)
}
