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
	Header   http.Header // end-to-end fields; not modified
	Body     []byte
	Instance string // id of the backend server that is meant
	Caller   string
	Deadline time.Time
}

// write returns the bytes of r as they are sent at now.
func (r *Request) write(n Names, now time.Time) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	own := map[string]string{
		n.Request:  r.ID,
		n.Deadline: fmt.Sprint(max(1, r.Deadline.Sub(now).Milliseconds())),
		n.Instance: r.Instance,
		n.Caller:   r.Caller,
	}
	for name, vs := range r.Header {
		if _, ok := own[name]; ok {
			continue
		}
		for _, v := range vs {
			fmt.Fprintf(&b, "%s: %s\r\n", name, v)
		}
	}
	for name, v := range own {
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
