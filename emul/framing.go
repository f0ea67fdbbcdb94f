package emul

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

// Framing is a request whose framing is unusual or wrong.
type Framing struct {
	Start  string   // request line; empty: an ordinary one
	Fields []string // besides the ordinary ones
	Body   string
	// Refused means that the request is refused with a status from 400 to 505 and its connection closed. Others are answered,
	// and the next request of the connection as well.
	Refused bool
	// Either means that the request may be refused, and that the connection is kept in any case.
	Either bool
	// Closed means that the connection is closed after the answer.
	Closed bool
}

// Framings returns requests with unusual or wrong framing by name. post begins an ordinary request with a body, such as
// "POST /r/1 HTTP/1.1". hidden is a whole request that is a part of the body, and must not be read as one.
func Framings(post, hidden string) map[string]Framing {
	get := strings.Replace(post, "POST", "GET", 1)
	old := strings.Replace(post, "HTTP/1.1", "HTTP/1.0", 1)
	const chunked = "Transfer-Encoding: chunked"
	length := fmt.Sprint("Content-Length: ", len(hidden))
	refused := func(body string, fields ...string) Framing { return Framing{Fields: fields, Body: body, Refused: true} }
	return map[string]Framing{
		"a length":                     {Start: post, Fields: []string{length}, Body: hidden},
		"a body of GET":                {Start: get, Fields: []string{length}, Body: hidden},
		"equal lengths":                {Start: post, Fields: []string{length, length}, Body: hidden},
		"chunks":                       {Start: post, Fields: []string{chunked}, Body: fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(hidden), hidden)},
		"chunks and a shorter length":  {Start: post, Fields: []string{chunked, "Content-Length: 1"}, Body: fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(hidden), hidden)},
		"chunk extension":              {Start: post, Fields: []string{chunked}, Body: fmt.Sprintf("%x;a=b\r\n%s\r\n0\r\n\r\n", len(hidden), hidden)},
		"trailer":                      {Start: post, Fields: []string{chunked}, Body: fmt.Sprintf("%x\r\n%s\r\n0\r\nA: b\r\n\r\n", len(hidden), hidden)},
		"continue":                     {Start: post, Fields: []string{length, "Expect: 100-continue"}, Body: hidden},
		"another protocol, not used":   {Start: get, Fields: []string{"Connection: Upgrade", "Upgrade: h2c"}, Either: true},
		"HTTP/1.0 with chunks, kept":   {Start: old, Fields: []string{chunked, "Connection: keep-alive"}, Body: fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(hidden), hidden), Closed: true},
		"different lengths":            refused(hidden, "Content-Length: 0", length),
		"list of lengths":              refused(hidden, length+", "+length[len("Content-Length: "):]),
		"negative length":              refused(hidden, "Content-Length: -1"),
		"length with a sign":           refused(hidden, strings.Replace(length, ": ", ": +", 1)),
		"length in hexadecimal":        refused(hidden, "Content-Length: 0x10"),
		"length of 30 digits":          refused(hidden, "Content-Length: 100000000000000000000000000000"),
		"space before the colon":       refused(hidden, strings.Replace(length, ":", " :", 1)),
		"tab before the colon":         refused(hidden, strings.Replace(length, ":", "\t:", 1)),
		"unknown coding":               refused(hidden, "Transfer-Encoding: gzip"),
		"coding before chunked":        refused(hidden, "Transfer-Encoding: gzip, chunked"),
		"two codings":                  refused(hidden, chunked, "Transfer-Encoding: identity"),
		"coding with a control byte":   refused(hidden, "Transfer-Encoding: \x0bchunked"),
		"chunk size of 17 digits":      refused("00000000000000010\r\n"+hidden+"\r\n0\r\n\r\n", chunked),
		"chunk size that is no number": refused("g\r\n"+hidden+"\r\n0\r\n\r\n", chunked),
		"negative chunk size":          refused("-1\r\n"+hidden+"\r\n0\r\n\r\n", chunked),
		"chunk without an end":         refused("1\r\n"+hidden+"\r\n0\r\n\r\n", chunked),
		"chunk extension without end":  refused("1;"+strings.Repeat("a", 8<<10)+"\r\n1\r\n0\r\n\r\n"+hidden, chunked),
		"NUL in a name":                refused(hidden, "A\x00B: c", length),
		"NUL in a value":               refused(hidden, "A: b\x00c", length),
		"carriage return in a value":   refused(hidden, "A: b\rC: d", length),
		"line without a colon":         refused(hidden, "A", length),
		"empty name":                   refused(hidden, ": a", length),
		"two hosts":                    refused(hidden, "Host: b", length),
		"unknown expectation":          refused(hidden, "Expect: 200-ok", length),
		"HTTP/2 without upgrade":       {Start: "PRI * HTTP/2.0", Body: "SM\r\n\r\n", Refused: true},
		"HTTP/3.0":                     {Start: strings.Replace(post, "HTTP/1.1", "HTTP/3.0", 1), Fields: []string{length}, Body: hidden, Refused: true},
		"no version":                   {Start: strings.Replace(post, " HTTP/1.1", "", 1), Fields: []string{length}, Body: hidden, Refused: true},
		"space in the target":          {Start: strings.Replace(post, " HTTP", " x HTTP", 1), Fields: []string{length}, Body: hidden, Refused: true},
		"NUL in the target":            {Start: strings.Replace(post, " HTTP", "\x00 HTTP", 1), Fields: []string{length}, Body: hidden, Refused: true},
	}
}

// FramingAnswers are the answers to a request and what follows it on its connection.
type FramingAnswers struct {
	Statuses []int // final ones
	Closed   bool  // the connection was closed after the last one
}

// Send sends the request to addr over a new connection, followed by next, and returns the answers. post begins an ordinary
// request, fields are the header fields that each request has.
func (f Framing) Send(addr, post string, fields []string, next string) (FramingAnswers, error) {
	var a FramingAnswers
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		return a, fmt.Errorf("dial: %w", err)
	}
	defer nc.Close()
	if err := nc.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		return a, fmt.Errorf("set deadline: %w", err)
	}
	start := f.Start
	if start == "" {
		start = post
	}
	head := start + "\r\n" + strings.Join(append(append([]string{}, fields...), f.Fields...), "\r\n") + "\r\n\r\n"
	if _, err := io.WriteString(nc, head+f.Body+next); err != nil {
		return a, fmt.Errorf("send: %w", err)
	}
	r := bufio.NewReader(nc)
	for {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			a.Closed = !errors.Is(err, os.ErrDeadlineExceeded)
			return a, nil
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode >= 200 {
			a.Statuses = append(a.Statuses, resp.StatusCode)
		}
	}
}

// Check returns an error unless a are the answers to f followed by an ordinary request that closes the connection.
func (f Framing) Check(a FramingAnswers) error {
	want := 2
	if f.Refused || f.Closed {
		want = 1
	}
	if len(a.Statuses) != want || !a.Closed {
		return fmt.Errorf("statuses %v, closed %v, want %d answers and a close", a.Statuses, a.Closed, want)
	}
	refused := a.Statuses[0] >= http.StatusBadRequest && a.Statuses[0] <= http.StatusHTTPVersionNotSupported
	if refused != f.Refused && !f.Either {
		return fmt.Errorf("statuses %v, refused %v", a.Statuses, f.Refused)
	}
	return nil
}
