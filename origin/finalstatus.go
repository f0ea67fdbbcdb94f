package origin

import "net/http"

// IsFinalStatus reports whether code is the status of a final answer of HTTP. RFC 9110, section 15, defines 100 to 599;
// net/http panics at a status below 100 or above 999 that it is to write, and writes 1xx as an interim answer.
func IsFinalStatus(code int) bool { return code >= 200 && code <= 599 }

// isInterimStatus reports whether code is the status of an interim answer, which a final one follows. After 101 the
// connection carries another protocol, which no request asks for.
func isInterimStatus(code int) bool {
	return code >= 100 && code <= 199 && code != http.StatusSwitchingProtocols
}
