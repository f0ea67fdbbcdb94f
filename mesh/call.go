package mesh

import (
	"net/http"
	"time"

	"github.com/marjoramcroft/marjoramcroft/refuse"
)

// Call is one request of a caller. It is complete: its body has been read.
type Call struct {
	ID       string
	Method   string
	URI      string // as the caller sent it
	Path     string // of the URI, for the choice of the route
	Host     string
	Header   http.Header // end-to-end fields
	Body     []byte
	Arrived  time.Time
	Deadline time.Time // the caller leaves then; zero: not stated
}

// Answer is what a caller gets: the response of a backend server, or a refusal.
type Answer struct {
	Status  int
	Header  http.Header
	Body    []byte
	Refusal *refuse.Refusal // nil: Status, Header and Body are a backend server's
	// RetryAfter is when a request that was refused as not run is likely to be taken; zero: no advice.
	RetryAfter time.Duration
}
