package guard

import (
	"errors"
	"net"
	"net/http"

	"github.com/marjoramcroft/marjoramcroft/origin"
)

const (
	// DefaultHeaderBytes limits a header if no configuration states a limit.
	DefaultHeaderBytes = 64 << 10
	// lineFramingBytes is what a line has besides the bytes that HeaderSize counts: colon, space and line end.
	lineFramingBytes = 4
	// headerSlackBytes is what a header has besides its lines' framing and the bytes that HeaderSize counts: the version
	// in the request line and the name of the Host field.
	headerSlackBytes = 64
	// leastLineBytes is the size of the shortest header line.
	leastLineBytes = 4
	// minHeaderLines is the least limit of header lines.
	minHeaderLines = 64
	// MaxBlankBytes limits the empty lines before the first request of a connection. RFC 9112, section 2.2, asks to
	// ignore at least one.
	MaxBlankBytes = 64
	// LineMemory is the memory that net/http takes for a header line besides its bytes: the entry of a map, a slice and
	// two strings.
	LineMemory = 256
	// byteMemory is the memory that net/http takes for each byte of a header while it reads it: a line is joined from
	// parts in a buffer that grows, and copied into a string.
	byteMemory = 3
	// freeHeaderMemory is the memory of the header of each connection that does not count against the memory for all
	// headers, so that ordinary callers do not depend on it. It holds a header of 1 KB with 16 lines.
	freeHeaderMemory = 8 << 10
)

// Limits that a connection may exceed, as counters name them.
const (
	OverHeaderBytes  = "HeaderBytes"
	OverHeaderLines  = "HeaderLines"
	OverBlankLines   = "BlankLines"
	OverHeaderMemory = "HeaderMemory"
	OverConnections  = "Connections"
	OverEvicted      = "Evicted" // closed because another connection needed its place
)

// HeaderSize returns the size of the request line and the header fields of r, in bytes.
func HeaderSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, vs := range r.Header {
		for _, v := range vs {
			n += len(name) + len(v)
		}
	}
	return n
}

// HeaderMemory returns the memory of the header of r, in bytes. Short lines take several times their size.
func HeaderMemory(r *http.Request) int64 {
	lines := 0
	for _, vs := range r.Header {
		lines += len(vs)
	}
	return int64(HeaderSize(r) + LineMemory*lines)
}

// ServerHeaderBytes returns the limit of net/http's server (MaxHeaderBytes) for headers of up to n bytes. It is a second
// limit, above that of the Guard: no header within n bytes exceeds it with its framing.
func ServerHeaderBytes(n int) int { return n + lineFramingBytes*n/leastLineBytes }

// errOverLimit is the error of a read from a connection that has exceeded a limit.
var errOverLimit = errors.New("connection over a limit")

// heads limits the headers of requests at a listener while they are read.
type heads struct {
	full   string             // refusal for want of memory
	bytes  func() int         // limit in force
	memory *origin.BodyBudget // of the headers of all connections
	log    *limitLog
}

// headCount counts what has arrived of a header.
type headCount struct {
	bytes, lines int
	blank        int   // bytes of empty lines that were removed
	held         int64 // memory taken from the heads
	denied       bool  // more memory was not available
	tooLarge     bool  // it takes more than the memory of all headers
}

// add counts b.
func (h *headCount) add(b []byte) {
	h.bytes += len(b)
	for _, v := range b {
		if v == '\n' {
			h.lines++
		}
	}
}

// over returns the limit that h exceeds; empty: none. It is called when net/http needs more bytes, so that all of h belongs
// to a header that has not ended. A header that has arrived whole is not refused here, but by its handler.
func (h *headCount) over(maxBytes int) string {
	switch {
	case h.blank > MaxBlankBytes:
		return OverBlankLines
	case h.lines > max(minHeaderLines, maxBytes/leastLineBytes):
		return OverHeaderLines
	case h.bytes-lineFramingBytes*h.lines > maxBytes+headerSlackBytes:
		return OverHeaderBytes
	case h.tooLarge:
		return OverHeaderBytes // it would find no memory later either
	case h.denied:
		return OverHeaderMemory
	}
	return ""
}

// hold takes the memory of h from the limits.
func (hs *heads) hold(h *headCount) {
	more := int64(byteMemory*h.bytes+LineMemory*h.lines) - freeHeaderMemory - h.held
	if more <= 0 {
		return
	}
	if h.held+more > hs.memory.Limit() {
		h.tooLarge = true
		return
	}
	m := hs.memory.Hold()
	if h.denied = !m.Take(more); !h.denied {
		h.held += more
	}
}

// release returns the memory of h and resets it.
func (hs *heads) release(h *headCount) {
	hs.memory.Add(-h.held)
	*h = headCount{}
}

// Answers to connections over a limit. They are written as a whole, without memory for the request.
const (
	answerLongHeader = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	answerFull       = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n"
)

// fullAnswer returns the refusal for want of memory or connections, with further header lines.
func fullAnswer(fields string) string { return answerFull + fields + "\r\n" }

// answerOver returns the answer to a connection that exceeds a limit; empty: it is closed without one.
func (hs *heads) answerOver(limit string) string {
	switch limit {
	case OverHeaderBytes, OverHeaderLines:
		return answerLongHeader
	case OverHeaderMemory:
		return hs.full
	}
	return ""
}

// overLimitError returns the error of a read after which net/http closes the connection without an answer of its own.
func overLimitError(nc net.Conn) error {
	return &net.OpError{Op: "read", Net: "tcp", Addr: nc.RemoteAddr(), Err: errOverLimit}
}
