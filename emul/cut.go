package emul

import (
	"bufio"
	"io"
	"maps"
	"net"
	"net/http"
	"sync/atomic"
)

// AnswerForm is one form in which a backend server can send an answer.
type AnswerForm struct {
	Method     string // of the request
	Head       string // interim answers included
	Body       string // as sent
	Content    string // of Body
	UntilClose bool   // the body ends with the connection
}

// AnswerForms returns an answer in each form, with the status and the header lines fields.
func AnswerForms(status, fields string) map[string]AnswerForm {
	const text = "0123456789"
	head := func(version, lines string) string {
		return version + " " + status + "\r\n" + fields + lines + "\r\n"
	}
	length := head("HTTP/1.1", "Content-Length: 10\r\n")
	return map[string]AnswerForm{
		"length":              {http.MethodGet, length, text, text, false},
		"length first":        {http.MethodGet, "HTTP/1.1 " + status + "\r\nContent-Length: 10\r\n" + fields + "\r\n", text, text, false},
		"length, HTTP/1.0":    {http.MethodGet, head("HTTP/1.0", "Content-Length: 10\r\n"), text, text, false},
		"after 100":           {http.MethodGet, "HTTP/1.1 100 Continue\r\n\r\n" + length, text, text, false},
		"empty":               {http.MethodGet, head("HTTP/1.1", "Content-Length: 0\r\n"), "", "", false},
		"HEAD":                {http.MethodHead, length, "", "", false},
		"chunks":              {http.MethodGet, head("HTTP/1.1", "Transfer-Encoding: chunked\r\n"), "4\r\n0123\r\n6\r\n456789\r\n0\r\n\r\n", text, false},
		"trailer":             {http.MethodGet, head("HTTP/1.1", "Trailer: X-Sum\r\nTransfer-Encoding: chunked\r\n"), "a\r\n0123456789\r\n0\r\nX-Sum: 1\r\n\r\n", text, false},
		"no length":           {http.MethodGet, head("HTTP/1.1", ""), text, text, true},
		"no length, HTTP/1.0": {http.MethodGet, head("HTTP/1.0", ""), text, text, true},
	}
}

// RefusalForms returns the forms of AnswerForms in which servers refuse requests.
func RefusalForms(status, fields string) map[string]AnswerForm {
	forms := AnswerForms(status, fields)
	maps.DeleteFunc(forms, func(name string, _ AnswerForm) bool {
		return name != "length" && name != "chunks" && name != "no length"
	})
	return forms
}

// CutAnswer is what a CutBackend writes before it ends the connection.
type CutAnswer struct {
	Bytes string
	Reset bool // resets the connection rather than closing it
}

// CutBackend is a backend server that ends its connections at any byte of an answer.
type CutBackend struct {
	answer   atomic.Pointer[CutAnswer]
	requests atomic.Int64
}

// Requests returns the number of requests that have arrived.
func (b *CutBackend) Requests() int64 { return b.requests.Load() }

// Set sets the answer to the next requests.
func (b *CutBackend) Set(a CutAnswer) { b.answer.Store(&a) }

// Serve serves the connections of ln until it is closed.
func (b *CutBackend) Serve(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go b.serve(c)
	}
}

func (b *CutBackend) serve(c net.Conn) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	// Closing a connection with unread bytes would reset it.
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	b.requests.Add(1)
	a := b.answer.Load()
	if _, err := io.WriteString(c, a.Bytes); err != nil {
		return
	}
	if !a.Reset {
		return
	}
	l, ok := c.(interface{ SetLinger(seconds int) error })
	if !ok || l.SetLinger(0) != nil {
		panic("the connection can't be reset")
	}
}
