package mesh

import (
	"net/http"
	"time"

	"github.com/marjoramcroft/marjoramcroft/refuse"
)

// Call is a request from a caller whose body has been read completely.
type Call struct {
	ID     string
	Method string
	URI    string // as the caller sent it
	Path   string // path of URI, matched against the routes
	Host   string
	// Header has the end-to-end header fields. Serve replaces it by one without what the caller must not state, the name of
	// its account, and without its key if the configuration requires keys.
	Header   http.Header
	Body     []byte
	Arrived  time.Time
	Deadline time.Time // when the caller gives up; zero: not stated
	// Key is the key of a client account as the caller presented it; empty: none. It must not leave the daemon.
	Key string
	// KeyMalformed means that the caller presented something that is not a key.
	KeyMalformed bool
}

// Answer is what a caller receives: the response of a backend server, or a refusal.
type Answer struct {
	Status  int
	Header  http.Header
	Body    []byte
	Refusal *refuse.Refusal // nil: Status, Header and Body come from a backend server
	// RetryAfter is how long to wait before retrying a request refused as not run; zero: not stated.
	RetryAfter time.Duration
}
