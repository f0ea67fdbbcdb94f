package origin

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// deadlineGrace is how long after a request's deadline the backend server's own answer is still awaited.
const deadlineGrace = 100 * time.Millisecond

// conn is one connection to a backend server. It carries no two requests with the same id: a backend server may
// write an earlier answer once more, and only the id tells it from the answer to the present request.
type conn struct {
	nc          net.Conn
	head        *headLimiter // between nc and r
	r           *bufio.Reader
	bodies      *BodyBudget
	carried     carriedIDs
	idleSince   time.Time     // when it became idle
	idleTimeout time.Duration // how long it may stay idle
	idleRead    chan error    // result of the read that is pending while the connection is idle
	once        sync.Once
}

func newConn(nc net.Conn, bodies *BodyBudget) *conn {
	head := &headLimiter{r: nc}
	return &conn{
		nc: nc, head: head, r: bufio.NewReaderSize(head, 4096), bodies: bodies, carried: carriedIDs{}, idleTimeout: defaultIdleTimeout,
	}
}

func (c *conn) close() { c.once.Do(func() { _ = c.nc.Close() }) }

// startIdleRead starts a read on an idle connection, to detect unexpected data or that the server closed it.
func (c *conn) startIdleRead() {
	idleRead := make(chan error, 1)
	c.idleRead = idleRead
	go func() {
		_, err := c.r.Peek(1)
		idleRead <- err
	}()
}

// stopIdleRead stops the read, and reports whether it received nothing and the connection can be used.
func (c *conn) stopIdleRead() bool {
	_ = c.nc.SetReadDeadline(time.Unix(1, 0))
	err := <-c.idleRead
	c.idleRead = nil
	var ne net.Error
	if err == nil || !errors.As(err, &ne) || !ne.Timeout() {
		return false
	}
	return c.nc.SetReadDeadline(time.Time{}) == nil
}

// exchange sends r and reads its response. If ctx ends as the answer arrives, the connection may be used no further, as
// its close may come late.
func (c *conn) exchange(ctx context.Context, r *Request, n Names) (*Response, error) {
	stop := context.AfterFunc(ctx, c.close)
	resp, err := c.roundTrip(ctx, r, n)
	if !stop() && err == nil {
		resp.idleTimeout = 0
	}
	return resp, err
}

func (c *conn) roundTrip(ctx context.Context, r *Request, n Names) (*Response, error) {
	c.carried.add(r.ID)
	// If setting the deadline fails, the next read or write fails as well.
	_ = c.nc.SetDeadline(r.Deadline.Add(deadlineGrace))
	if k, err := c.nc.Write(r.encode(n, time.Now())); err != nil {
		if k == 0 && errors.Is(err, net.ErrClosed) {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return nil, fmt.Errorf("%w: write: %w", ErrLost, err)
	}
	return c.readResponse(ctx, r, n)
}

// readResponse reads the answer to r. A repeated answer to an earlier request is skipped: the answer to r follows
// it.
func (c *conn) readResponse(ctx context.Context, r *Request, n Names) (*Response, error) {
	for stale := 0; ; stale++ {
		hr, body, err := c.readAnswer(ctx, r) //nolint:bodyclose // readAnswer has read the body
		if err != nil {
			return nil, err
		}
		if id := hr.Header.Get(n.Request); id != "" && id != r.ID && c.carried.has(id) && stale < maxStaleAnswers && !hr.Close {
			continue
		}
		return c.newResponse(r, hr, body, n)
	}
}

// readAnswer reads the next final answer with its body.
func (c *conn) readAnswer(ctx context.Context, r *Request) (*http.Response, []byte, error) {
	for range maxInterimAnswers + 1 {
		c.head.limit(maxHeadBytes)
		hr, err := http.ReadResponse(c.r, &http.Request{Method: r.Method})
		c.head.lift()
		if errors.Is(err, errHeadTooLong) {
			return nil, nil, fmt.Errorf("%w: %w: %w", ErrLost, ErrInvalidAnswer, err)
		}
		if err != nil {
			return nil, nil, fmt.Errorf("%w: %w", ErrLost, err)
		}
		if isInterimStatus(hr.StatusCode) {
			continue
		}
		if !IsFinalStatus(hr.StatusCode) {
			return nil, nil, fmt.Errorf("%w: %w: status %d", ErrLost, ErrInvalidAnswer, hr.StatusCode)
		}
		if err := checkFraming(hr.Header); err != nil {
			return nil, nil, fmt.Errorf("%w: %w: %w", ErrLost, ErrInvalidAnswer, err)
		}
		// The body is not closed: Close would read an endless one to its end. It holds no resources besides c.
		body, err := readBody(ctx, hr.Body, hr.ContentLength, c.bodies)
		if errors.Is(err, errBodyTooLong) || errors.Is(err, ErrNoBodyMemory) {
			err = fmt.Errorf("%w: %w", ErrInvalidAnswer, err)
		}
		if err != nil {
			return nil, nil, fmt.Errorf("%w: body: %w", ErrLost, err)
		}
		return hr, body, nil
	}
	return nil, nil, fmt.Errorf("%w: %w: %w", ErrLost, ErrInvalidAnswer, errTooManyInterim)
}

// newResponse returns the response of r, or an error if it cannot be the complete answer to r.
func (c *conn) newResponse(r *Request, hr *http.Response, body []byte, n Names) (*Response, error) {
	resp := &Response{
		Status: hr.StatusCode, Header: hr.Header, Body: body,
		Stamped:     hr.Header.Get(n.Stamp) != "",
		NotRun:      hr.Header.Get(n.NotRun) != "" || hr.StatusCode == http.StatusMisdirectedRequest,
		Instance:    hr.Header.Get(n.InstanceID),
		Load:        parseLoad(hr.Header.Get(n.Load)),
		idleTimeout: defaultIdleTimeout,
	}
	if s := parseKeepAlive(hr.Header.Get("Keep-Alive")); s > 0 {
		resp.idleTimeout = max(s-idleTimeoutMargin, s/2)
	}
	RemoveHopByHop(hr.Header, hr.Header["Connection"])
	for _, k := range []string{n.Load, n.InstanceID, "Content-Length"} {
		hr.Header.Del(k)
	}
	if hr.Close || (hr.ContentLength < 0 && len(hr.TransferEncoding) == 0) || hr.Header.Get(n.Request) == "" {
		resp.idleTimeout = 0
	}
	if err := c.checkResponse(r, resp, n); err != nil {
		return nil, err
	}
	return resp, nil
}

// checkResponse returns an error if resp cannot be the backend server's complete answer to r. A refusal without an
// id is one only on a new connection: on another one it may be that of an earlier request, and r may run.
func (c *conn) checkResponse(r *Request, resp *Response, n Names) error {
	id := resp.Header.Get(n.Request)
	switch {
	case id == "" && (!resp.NotRun || len(c.carried) > 1):
		return fmt.Errorf("%w: %w: status %d without id", ErrLost, ErrInvalidAnswer, resp.Status)
	case id != "" && id != r.ID:
		return fmt.Errorf("%w: %w: answer of request %s", ErrLost, ErrInvalidAnswer, id)
	case resp.NotRun:
		return nil
	case !resp.Stamped:
		return fmt.Errorf("%w: %w: status %d without stamp", ErrLost, ErrInvalidAnswer, resp.Status)
	case resp.Header.Get("Content-Encoding") != "":
		return fmt.Errorf("%w: %w: encoded body", ErrLost, ErrInvalidAnswer)
	}
	return nil
}

// reusable reports whether another request may be sent after resp. A connection with data after the end of a
// response is not reused, because that data belongs to no request.
func (c *conn) reusable(resp *Response) bool {
	if resp.idleTimeout <= 0 || c.r.Buffered() > 0 || c.carried.full() {
		return false
	}
	c.idleTimeout = resp.idleTimeout
	return true
}
