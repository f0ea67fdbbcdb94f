package agree

import "net/http"

// Repeat specifies whether the calls of a route are idempotent.
type Repeat string

// The values of Repeat. With RepeatByMethod, the HTTP method decides.
const (
	RepeatByMethod   Repeat = "method"
	RepeatIdempotent Repeat = "idempotent"
	RepeatOnce       Repeat = "once"
)

// IsIdempotent reports whether a call with the HTTP method may run more than once.
func (r Repeat) IsIdempotent(method string) bool {
	switch r {
	case RepeatIdempotent:
		return true
	case RepeatOnce:
		return false
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete, http.MethodTrace:
		return true
	}
	return false
}
