package origin

import (
	"errors"
	"io"
	"sync/atomic"
)

const (
	// maxHeadBytes limits the status line and header fields of one answer. A faulty backend server may send
	// header lines without end.
	maxHeadBytes = 64 << 10
	// maxInterimAnswers limits the interim answers (1xx) before the final one.
	maxInterimAnswers = 8
	// maxStaleAnswers limits the repeated answers to earlier requests that are skipped before an answer.
	maxStaleAnswers = 2
)

// Limits that an answer can exceed; the error wraps ErrInvalidAnswer.
var (
	errHeadTooLong    = errors.New("head too long")
	errBodyTooLong    = errors.New("body too long")
	errTooManyInterim = errors.New("too many interim answers")
	errNoBodyMemory   = errors.New("memory for bodies is in use")
)

// headLimiter limits the bytes that are read from a connection until the limit is lifted.
type headLimiter struct {
	r       io.Reader
	left    int
	limited bool
}

// limit allows n more bytes.
func (l *headLimiter) limit(n int) { l.left, l.limited = n, true }

// lift removes the limit.
func (l *headLimiter) lift() { l.limited = false }

// Read reads from the connection, and returns errHeadTooLong at the limit.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.r.Read(p) //nolint:wrapcheck // a reader passes errors on
	}
	if l.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err := l.r.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err //nolint:wrapcheck // a reader passes errors on
}

// BodyBudget limits the memory of all response bodies that are being read. Its methods are safe for concurrent
// use.
type BodyBudget struct {
	limit int64 // bytes
	used  atomic.Int64
}

// NewBodyBudget returns a BodyBudget of limit bytes.
func NewBodyBudget(limit int64) *BodyBudget { return &BodyBudget{limit: limit} }

// take reserves n bytes, and reports whether they were available.
func (b *BodyBudget) take(n int64) bool {
	if b == nil {
		return true
	}
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

func (b *BodyBudget) release(n int64) {
	if b != nil {
		b.used.Add(-n)
	}
}

// bodyChunkBytes is the size of the first buffer of a body, which is doubled as data arrives.
const bodyChunkBytes = 4 << 10

// readBody reads a body of at most MaxResponseBytes. The bytes count against b while they are read.
func readBody(r io.Reader, length int64, b *BodyBudget) ([]byte, error) {
	if length > MaxResponseBytes {
		return nil, errBodyTooLong
	}
	size := int64(bodyChunkBytes)
	if length >= 0 {
		size = min(length+1, size) // one more byte, so that the read that meets the end needs no larger buffer
	}
	if !b.take(size) {
		return nil, errNoBodyMemory
	}
	reserved := size
	defer func() { b.release(reserved) }()
	out := make([]byte, 0, size)
	for {
		n, err := r.Read(out[len(out):cap(out)])
		out = out[:len(out)+n]
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return nil, err //nolint:wrapcheck // the caller adds the context
		}
		if len(out) > MaxResponseBytes {
			return nil, errBodyTooLong
		}
		if len(out) < cap(out) {
			continue
		}
		next := min(2*int64(cap(out)), MaxResponseBytes+1)
		if length >= 0 {
			next = min(next, length+1)
		}
		if !b.take(next) {
			return nil, errNoBodyMemory
		}
		grown := make([]byte, len(out), next)
		copy(grown, out)
		b.release(reserved)
		out, reserved = grown, next
	}
}
