package origin

import (
	"bytes"
	"fmt"
	"net/http"
	"time"
)

// Request is one request to a backend server.
type Request struct {
	ID       string
	Method   string
	URI      string // as the caller sent it
	Host     string
	Header   http.Header // end-to-end header fields; not modified
	Body     []byte
	Instance string // id of the intended backend server
	Caller   string
	Account  string // client account of the caller; empty: none
	Deadline time.Time
}

// encode returns r in its wire format. The deadline is sent relative to now.
func (r *Request) encode(n Names, now time.Time) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	reserved := map[string]string{
		n.Request:        r.ID,
		n.Deadline:       fmt.Sprint(max(1, r.Deadline.Sub(now).Milliseconds())),
		n.ExpectInstance: r.Instance,
		n.Caller:         r.Caller,
		n.Account:        r.Account,
	}
	for name, vs := range r.Header {
		if _, ok := reserved[name]; ok {
			continue
		}
		for _, v := range vs {
			fmt.Fprintf(&b, "%s: %s\r\n", name, v)
		}
	}
	for name, v := range reserved {
		if v != "" {
			fmt.Fprintf(&b, "%s: %s\r\n", name, v)
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}
