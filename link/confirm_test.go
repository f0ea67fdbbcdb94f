package link

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestConfirm guards against calls that are handed to a VM without power: its links stay open, and nothing tells
// whether such a call has run.
func TestConfirm(t *testing.T) {
	is := is.New(t)
	c, other := connPair(t, Handlers{})
	is.True(c.Confirm(t.Context(), 0, 5*time.Second)) // answers the ping
	is.True(c.Confirm(t.Context(), time.Minute, 0))   // the answer is recent, so no ping is needed
	other.Close()
	<-c.Done()
	is.True(!c.Confirm(t.Context(), time.Minute, 5*time.Second))
}

// TestConfirmSilent guards against waiting longer than the timeout for a daemon that does not answer, and against
// taking its late answer for none.
func TestConfirmSilent(t *testing.T) {
	is := is.New(t)
	a, b := tcpPair(t)
	c := New(a, Handlers{})
	go func() { _ = c.Serve() }()
	defer c.Close()
	began := time.Now()
	done := make(chan bool, 3)
	for range 3 {
		go func() { done <- c.Confirm(t.Context(), 0, 50*time.Millisecond) }()
	}
	for range 3 {
		is.True(!<-done)
	}
	is.True(time.Since(began) < 5*time.Second)
	other := New(b, Handlers{}) // answers the earlier pings late, and later ones at once
	go func() { _ = other.Serve() }()
	defer other.Close()
	is.True(c.Confirm(t.Context(), 0, 5*time.Second))
}
