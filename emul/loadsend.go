package emul

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/marjoramcroft/marjoramcroft/refuse"
)

// outcome is the result of one send as seen by the caller.
type outcome struct {
	status  int
	refusal *refuse.Refusal // nil: an answer, or err
	err     error           // the connection broke: unknown whether the call ran
	foreign bool            // the answer belongs to another call
	closing bool            // the daemon closes the connection after this answer
	latency time.Duration
}

// answered reports whether the send got a complete answer.
func (o outcome) answered() bool { return o.err == nil && o.refusal == nil }

// definite reports whether the caller knows whether the call ran.
func (o outcome) definite() bool {
	return o.answered() || o.refusal != nil && o.refusal.Ran != refuse.RanUnknown
}

// unconnected reports whether nothing was sent, since the connection was refused.
func (o outcome) unconnected() bool { return errors.Is(o.err, syscall.ECONNREFUSED) }

// stopping reports whether the outcome shows that the daemon is stopping or not running.
func (o outcome) stopping() bool {
	return o.closing || o.unconnected() || o.refusal != nil && o.refusal.Reason == refuse.Draining
}

func (l *Load) do(ctx context.Context, s *send) {
	s.outcome = l.exchange(ctx, s)
	s.outcome.latency = time.Since(s.planned)
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.outcome.stopping() {
		l.avoided[s.entry] = time.Now().Add(avoidTime)
	}
	l.sends = append(l.sends, s)
	l.tally.add(s)
}

func (l *Load) exchange(ctx context.Context, s *send) outcome {
	req, err := l.request(ctx, s)
	if err != nil {
		return outcome{err: err}
	}
	resp, err := l.client.RoundTrip(req)
	if err != nil {
		return outcome{err: fmt.Errorf("send: %w", err)}
	}
	defer resp.Body.Close()
	o := outcome{status: resp.StatusCode, refusal: refuse.FromResponse(resp.Header), closing: resp.Close}
	first, err := readAnswer(resp.Body)
	if err != nil {
		return outcome{status: o.status, err: err, closing: o.closing}
	}
	// A repeat may get the answer to another send of its call.
	o.foreign = o.refusal == nil && o.status < http.StatusBadRequest && !strings.HasPrefix(first, s.call+".")
	return o
}

func (l *Load) request(ctx context.Context, s *send) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, s.kind.Method, "http://"+string(s.entry)+s.kind.Path, nil)
	if err != nil {
		return nil, fmt.Errorf("request: %w", err)
	}
	// A body without GetBody prevents net/http from resending a request when a connection
	// breaks, which the check would count as a second run.
	req.Body = io.NopCloser(strings.NewReader(strings.Repeat("b", s.kind.Body)))
	req.ContentLength = int64(s.kind.Body)
	if s.kind.Body == 0 {
		req.TransferEncoding = []string{"identity"} // not in chunks
	}
	req.Header.Set(HeaderRequest, s.id)
	req.Header.Set("Marjoramcroft-Member", string(s.kind.Member))
	if l.cfg.Timeout > 0 {
		req.Header.Set(headerDeadline, strconv.FormatInt(s.planned.Add(l.cfg.Timeout).UnixMilli(), 10))
	}
	if s.kind.Keyed {
		req.Header.Set("Idempotency-Key", s.call)
	}
	return req, nil
}

// answerReaders pools readers, whose buffers are a fifth of the allocations of a call.
var answerReaders = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

// readAnswer reads the body to its end and returns its first line.
func readAnswer(r io.Reader) (string, error) {
	br := answerReaders.Get().(*bufio.Reader)
	br.Reset(r)
	defer answerReaders.Put(br)
	first, err := br.ReadString('\n')
	if err == nil {
		_, err = io.Copy(io.Discard, br)
	}
	if err != nil && !errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return "", fmt.Errorf("read answer: %w", err)
	}
	return strings.TrimSuffix(first, "\n"), nil
}
