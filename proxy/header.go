package proxy

import (
	"net/http"
	"strings"

	"github.com/marjoramcroft/marjoramcroft/origin"
)

// Headers of a call beside those of its chain, which are in package retry.
const (
	HeaderMember  = "Marjoramcroft-Member"
	HeaderHop     = "Marjoramcroft-Hop"
	HeaderCall    = "Marjoramcroft-Call"
	HeaderVersion = "Marjoramcroft-Version"
	HeaderShed    = "Marjoramcroft-Shed"
	HeaderWaiting = "Marjoramcroft-Waiting" // short calls that wait at the target; absent: none
	HeaderKey     = "Idempotency-Key"
)

// ShedNotRun is the value of HeaderShed with which a backend server states that it
// refused a call before running it.
const ShedNotRun = "not-run"

const ownPrefix = "Marjoramcroft-"

// endToEnd returns a copy of h without the headers of one connection and without the
// headers of this system, which each hop sets itself.
func endToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h)+8)
	for k, vs := range h {
		if !strings.HasPrefix(k, ownPrefix) {
			out[k] = vs
		}
	}
	origin.StripHops(out, h["Connection"])
	return out
}

// stripResponse removes the headers of one connection and of this system from those of a
// response, in place.
func stripResponse(h http.Header) {
	for k := range h {
		if strings.HasPrefix(k, ownPrefix) {
			delete(h, k)
		}
	}
	origin.StripHops(h, h["Connection"])
}
