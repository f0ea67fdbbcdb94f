package origin

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// lateAnswer is how long after its deadline a backend server's own answer is waited for.
const lateAnswer = 100 * time.Millisecond

// conn is one connection to a backend server.
type conn struct {
	nc    net.Conn
	r     *bufio.Reader
	since time.Time     // when it became idle
	keep  time.Duration // how long it may be idle
	watch chan error    // result of the read that waits while the connection is idle
	once  sync.Once
}

func newConn(nc net.Conn) *conn {
	return &conn{nc: nc, r: bufio.NewReaderSize(nc, 4096), keep: idleDefault}
}

func (c *conn) close() { c.once.Do(func() { _ = c.nc.Close() }) }

// rest watches an idle connection: bytes or an end that arrive now belong to no request.
func (c *conn) rest() {
	watch := make(chan error, 1)
	c.watch = watch
	go func() {
		_, err := c.r.Peek(1)
		watch <- err
	}()
}

// wake ends the watch and reports whether the connection was silent, so that it can be used.
func (c *conn) wake() bool {
	_ = c.nc.SetReadDeadline(time.Unix(1, 0))
	err := <-c.watch
	c.watch = nil
	var ne net.Error
	if err == nil || !errors.As(err, &ne) || !ne.Timeout() {
		return false
	}
	return c.nc.SetReadDeadline(time.Time{}) == nil
}

// exchange sends r and reads the response to it.
func (c *conn) exchange(ctx context.Context, r *Request, n Names) (*Response, error) {
	stop := context.AfterFunc(ctx, c.close)
	defer stop()
	// An error of setting a deadline shows at the next read or write as well.
	_ = c.nc.SetDeadline(r.Deadline.Add(lateAnswer))
	if k, err := c.nc.Write(r.write(n, time.Now())); err != nil {
		if k == 0 && errors.Is(err, net.ErrClosed) {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return nil, fmt.Errorf("%w: write: %w", ErrLost, err)
	}
	return c.read(r, n)
}

func (c *conn) read(r *Request, n Names) (*Response, error) {
	var hr *http.Response
	for {
		var err error
		if hr, err = http.ReadResponse(c.r, &http.Request{Method: r.Method}); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrLost, err)
		}
		if hr.StatusCode >= 200 {
			break
		}
	}
	defer hr.Body.Close()
	body, err := io.ReadAll(io.LimitReader(hr.Body, MaxAnswer+1))
	if err != nil {
		return nil, fmt.Errorf("%w: body: %w", ErrLost, err)
	}
	resp := &Response{
		Status: hr.StatusCode, Header: hr.Header, Body: body,
		Stamped:  hr.Header.Get(n.Stamp) != "",
		NotRun:   hr.Header.Get(n.NotRun) != "" || hr.StatusCode == http.StatusMisdirectedRequest,
		Instance: hr.Header.Get(n.Answerer),
		Load:     parseLoad(hr.Header.Get(n.Load)),
		keep:     idleDefault,
	}
	if s := parseKeepAlive(hr.Header.Get("Keep-Alive")); s > 0 {
		resp.keep = max(s-idleMargin, s/2)
	}
	StripHops(hr.Header, hr.Header["Connection"])
	for _, k := range []string{n.Load, n.Answerer, "Content-Length"} {
		hr.Header.Del(k)
	}
	if hr.Close || (hr.ContentLength < 0 && len(hr.TransferEncoding) == 0) {
		resp.keep = 0
	}
	if err := check(r, resp, n); err != nil {
		return nil, err
	}
	return resp, nil
}

// check returns an error if resp cannot be the backend server's whole answer to r.
func check(r *Request, resp *Response, n Names) error {
	id := resp.Header.Get(n.Request)
	switch {
	case len(resp.Body) > MaxAnswer:
		return fmt.Errorf("%w: %w: body above %d bytes", ErrLost, ErrSpoiled, MaxAnswer)
	case id != "" && id != r.ID:
		return fmt.Errorf("%w: %w: answer of request %s", ErrLost, ErrSpoiled, id)
	case resp.NotRun:
		return nil
	case !resp.Stamped || id == "":
		return fmt.Errorf("%w: %w: status %d without id or stamp", ErrLost, ErrSpoiled, resp.Status)
	case resp.Header.Get("Content-Encoding") != "":
		return fmt.Errorf("%w: %w: encoded body", ErrLost, ErrSpoiled)
	}
	return nil
}

// reusable reports whether a further request may be sent after resp. Bytes beyond the end of a
// response belong to no request.
func (c *conn) reusable(resp *Response) bool {
	if resp.keep <= 0 || c.r.Buffered() > 0 {
		return false
	}
	c.keep = resp.keep
	return true
}
