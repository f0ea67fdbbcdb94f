package proxy

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/marjoramcroft/marjoramcroft/refuse"
)

// Errors of a response body that ended early. With errNoBody nothing of the response was written, so that its reader can
// still get a refusal.
var (
	errTruncated = errors.New("truncated response")
	errNoBody    = fmt.Errorf("%w before the first byte of the body", errTruncated)
)

// bodyCopy keeps a copy of a response body of up to MaxStored bytes.
type bodyCopy struct {
	body       []byte
	overflowed bool
	complete   bool
}

func (k *bodyCopy) add(b []byte) {
	if k == nil || k.overflowed {
		return
	}
	if len(k.body)+len(b) > MaxStored {
		k.body, k.overflowed = nil, true
		return
	}
	k.body = append(k.body, b...)
}

// wantsRest reports whether the rest of the body is still needed after its reader has
// disconnected.
func (k *bodyCopy) wantsRest() bool { return k != nil && !k.overflowed }

// answer returns the outcome to record, which is unknown if the body was truncated.
func (k *bodyCopy) answer(status int, header http.Header) StoredAnswer {
	switch {
	case k.overflowed:
		return StoredAnswer{Ran: refuse.RanYes}
	case !k.complete:
		return StoredAnswer{Ran: refuse.RanUnknown}
	}
	return StoredAnswer{Ran: refuse.RanYes, Kept: true, Status: status, Header: header, Body: k.body}
}

// relay sends resp to w. If the body is truncated, it aborts the connection, so that the reader
// does not take the response for complete.
func relay(w http.ResponseWriter, r *http.Request, resp *http.Response) {
	if err := relayBody(w, resp, nil); err != nil {
		abort(w, r)
	}
}

// abort ends the connection of r in the middle of its response, by a panic with
// http.ErrAbortHandler. For HTTP/1.0 the connection is reset, because a close is the regular end
// of a body of unknown length.
func abort(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		resetConn(w)
	}
	panic(http.ErrAbortHandler)
}

func resetConn(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the connection has ended
	}
	defer c.Close()
	if l, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		// If it fails, the connection is already broken.
		_ = l.SetLinger(0)
	}
}

func relayBody(w http.ResponseWriter, resp *http.Response, k *bodyCopy) error {
	if err := copyBody(w, resp, k); err != nil {
		return err
	}
	h := w.Header()
	for name, vs := range resp.Trailer {
		h[http.TrailerPrefix+name] = vs
	}
	return nil
}

func writeHead(w http.ResponseWriter, resp *http.Response) {
	h := w.Header()
	for name, vs := range resp.Header {
		h[name] = vs
	}
	if resp.ContentLength >= 0 && h.Get("Content-Length") == "" && resp.StatusCode != http.StatusNoContent && resp.StatusCode != http.StatusNotModified {
		h.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	// The request body may still be arriving.
	_ = http.NewResponseController(w).EnableFullDuplex()
	w.WriteHeader(resp.StatusCode)
}

// copyBody writes the head after the first read of the body, and copies the body through a pooled buffer. A body of
// unknown length is flushed after each read, since its parts may be far apart in time.
func copyBody(w http.ResponseWriter, resp *http.Response, k *bodyCopy) error {
	pool := &copyBuffers
	if resp.ContentLength >= 0 && resp.ContentLength <= MaxStored {
		pool = &shortBuffers
	}
	buf := pool.Get().(*[]byte)
	defer pool.Put(buf)
	var writeErr error // error of writing to w
	for begun := false; ; begun = true {
		n, err := resp.Body.Read(*buf)
		if !begun {
			if n == 0 && err != nil && err != io.EOF { //nolint:errorlint // a wrapped io.EOF is no regular end
				return fmt.Errorf("%w: %w", errNoBody, err)
			}
			writeHead(w, resp)
		}
		if n > 0 {
			k.add((*buf)[:n])
			if writeErr == nil {
				writeErr = writeChunk(w, (*buf)[:n], resp.ContentLength < 0)
			}
			if writeErr != nil && !k.wantsRest() {
				return writeErr
			}
		}
		if err == io.EOF { //nolint:errorlint // a wrapped io.EOF is no regular end
			if k != nil {
				k.complete = true
			}
			return writeErr
		}
		if err != nil {
			return fmt.Errorf("%w: %w", errTruncated, err)
		}
	}
}

func writeChunk(w http.ResponseWriter, b []byte, flush bool) error {
	if _, err := w.Write(b); err != nil {
		return fmt.Errorf("write response: %w", err)
	}
	if !flush {
		return nil
	}
	if err := http.NewResponseController(w).Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return fmt.Errorf("flush response: %w", err)
	}
	return nil
}

// writeGrace is the time after the deadline in which the last bytes of a response may still be
// written to a slow reader.
const writeGrace = time.Second

// setIODeadlines limits the time in which the peer sends the request and reads the response.
// If the writer does not support deadlines, only the context of the call limits it.
func setIODeadlines(w http.ResponseWriter, r *http.Request, deadline time.Time) {
	rc := http.NewResponseController(w)
	if r.ContentLength != 0 {
		_ = rc.SetReadDeadline(deadline)
	}
	setWriteDeadline(w, deadline)
}

// setWriteDeadline sets the write deadline for a response that is due at deadline. If that has passed, the
// grace begins now: the reader is still owed a response.
func setWriteDeadline(w http.ResponseWriter, deadline time.Time) {
	if now := time.Now(); deadline.Before(now) {
		deadline = now
	}
	_ = http.NewResponseController(w).SetWriteDeadline(deadline.Add(writeGrace))
}

// replyTimeout limits the time to write a response that is at hand, such as a refusal. It fits into the buffers of the
// connection, so that the write waits for a processor rather than for the reader.
const replyTimeout = 5 * time.Second

// setReplyDeadline sets the write deadline for a response that is at hand.
func setReplyDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(replyTimeout))
}

// clearReadDeadline removes the read deadline once the request has been read: an expired one
// would be taken for a caller that has disconnected.
func clearReadDeadline(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	}
}
