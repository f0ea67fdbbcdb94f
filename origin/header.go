package origin

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop lists the header fields that apply to a single connection (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// RemoveHopByHop removes the hop-by-hop header fields; named are the values of the Connection header field.
func RemoveHopByHop(h http.Header, named []string) {
	for _, v := range named {
		for name := range strings.SplitSeq(v, ",") {
			delete(h, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, k := range hopByHop {
		delete(h, k)
	}
}
