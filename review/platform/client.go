package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// conn is a client's connection to the outbound address of its machine.
type conn struct {
	nc net.Conn
	r  *bufio.Reader
}

func dialClient(addr string) (*conn, error) {
	nc, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &conn{nc: nc, r: bufio.NewReader(nc)}, nil
}

// outcome is how one client attempt ended.
type outcome struct {
	status int    // zero: no complete answer
	how    string // the status, or how the connection ended
	stamp  string
	took   time.Duration
	close  bool // the answer closes the connection
}

// request is one client attempt.
type request struct {
	method, host, path, id string
	deadline               time.Duration
	body                   string
}

// do sends r and waits for its answer until the deadline.
func (c *conn) do(rec *record, name string, r request) outcome {
	began := time.Now()
	rec.log("client %s sends %s: %s %s%s, deadline %d ms", name, r.id, r.method, r.host, r.path, r.deadline.Milliseconds())
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", r.method, r.path, r.host, hID, r.id, hDeadline, r.deadline.Milliseconds())
	if r.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n" + r.body)
	_ = c.nc.SetDeadline(began.Add(r.deadline))
	out := c.exchange(r, b.String())
	out.took = time.Since(began)
	rec.log("client %s gets for %s after %.3f s: %s", name, r.id, out.took.Seconds(), out.how)
	return out
}

func (c *conn) exchange(r request, head string) outcome {
	if _, err := io.WriteString(c.nc, head); err != nil {
		return outcome{how: "cannot send: " + err.Error()}
	}
	res, err := http.ReadResponse(c.r, &http.Request{Method: r.method})
	var ne net.Error
	switch {
	case errors.As(err, &ne) && ne.Timeout():
		return outcome{how: "no answer until the deadline"}
	case err != nil:
		return outcome{how: "connection closed without an answer: " + err.Error()}
	}
	_, err = io.ReadAll(res.Body)
	_ = res.Body.Close()
	if err != nil {
		return outcome{how: "answer cut: " + err.Error()}
	}
	return outcome{status: res.StatusCode, how: res.Status, stamp: res.Header.Get(hStamp), close: res.Close}
}

// ask sends r over a new connection.
func ask(rec *record, name, addr string, r request) outcome {
	c, err := dialClient(addr)
	if err != nil {
		rec.log("client %s cannot connect: %v", name, err)
		return outcome{how: "cannot connect: " + err.Error()}
	}
	defer func() { _ = c.nc.Close() }()
	return c.do(rec, name, r)
}
