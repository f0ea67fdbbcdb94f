package guard

import (
	"errors"
	"io"
	"net/http"
)

// Handler returns a handler that passes on requests of HTTP/1. Those of other versions are refused, such as the preface of
// HTTP/2, which net/http takes for a request. The connection of a client of HTTP/1.0 is closed after the answer: net/http
// ignores chunks of it (RFC 9112, section 6.1), and would read the next request from the middle of the body.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !r.ProtoAtLeast(1, 1) || r.ProtoMajor != 1 {
			w.Header().Set("Connection", "close")
		}
		if r.ProtoMajor != 1 {
			http.Error(w, "HTTP/1.1 is required", http.StatusHTTPVersionNotSupported)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// IsMalformed reports whether reading the body of r has failed with err because the body is malformed, such as a chunk
// without a valid size, rather than because its client has left or was late.
func IsMalformed(r *http.Request, err error) bool {
	var over *http.MaxBytesError
	return err != nil && ReadError(r) == nil && !errors.As(err, &over) && !errors.Is(err, io.ErrUnexpectedEOF) &&
		EndOf(err) == EndOther
}
