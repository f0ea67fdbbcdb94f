package proxy

import (
	"net/http"
	"strings"

	"github.com/marjoramcroft/marjoramcroft/origin"
)

// Headers of a call. Those of its call chain are in package retry.
const (
	HeaderMember  = "Marjoramcroft-Member"
	HeaderHop     = "Marjoramcroft-Hop"
	HeaderCall    = "Marjoramcroft-Call"
	HeaderVersion = "Marjoramcroft-Version"
	HeaderShed    = "Marjoramcroft-Shed"
	HeaderWaiting = "Marjoramcroft-Waiting" // number of short calls queued at the target; absent: none
	HeaderKey     = "Idempotency-Key"
)

// ShedNotRun is the value of HeaderShed with which a backend server states that it
// refused a call before running it.
const ShedNotRun = "not-run"

const headerPrefix = "Marjoramcroft-"

// endToEndHeaders returns a copy of h without hop-by-hop headers and without the headers of
// this system, which each hop sets itself.
func endToEndHeaders(h http.Header) http.Header {
	out := make(http.Header, len(h)+8)
	for k, vs := range h {
		if !strings.HasPrefix(k, headerPrefix) {
			out[k] = vs
		}
	}
	origin.RemoveHopByHop(out, h["Connection"])
	return out
}

// stripResponse removes, in place, hop-by-hop headers and the headers of this system from
// those of a response.
func stripResponse(h http.Header) {
	for k := range h {
		if strings.HasPrefix(k, headerPrefix) {
			delete(h, k)
		}
	}
	origin.RemoveHopByHop(h, h["Connection"])
}
