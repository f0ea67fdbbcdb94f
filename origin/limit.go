package origin

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"
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
)

// ErrNoBodyMemory means that too much of a BodyBudget is in use.
var ErrNoBodyMemory = errors.New("memory for bodies is in use")

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

// BodyBudget limits the memory of bodies. Its methods are safe for concurrent use.
type BodyBudget struct {
	limit   int64 // bytes
	used    atomic.Int64
	reclaim func(need int64) bool // nil: memory comes back only when it is released
	next    *BodyBudget           // that of what has been read; nil: none
}

// NewBodyBudget returns a BodyBudget of limit bytes.
func NewBodyBudget(limit int64) *BodyBudget { return &BodyBudget{limit: limit} }

// OnFull has reclaim called when no memory is available. It has others release need bytes, soon after its return, and
// reports whether there were any. OnFull must be called before the first use.
func (b *BodyBudget) OnFull(reclaim func(need int64) bool) { b.reclaim = reclaim }

// Precede has long bodies of b wait while next, which holds them once they have been read, has no memory. Precede must be
// called before the first use.
func (b *BodyBudget) Precede(next *BodyBudget) { b.next = next }

// await is Take for a budget that precedes another one. It waits until both have memory, up to limit in use, and reports
// false if ctx or awaitTries end before that, or if there never is as much. At the end it goes without memory of the other
// one, which does not get more than twice its limit by that: an answer that is lost has cost a run of the backend server.
func (m *Memory) await(ctx context.Context, n, limit int64) bool {
	b, next := m.b, m.b.next
	for tries := 0; m.n+n <= limit && tries <= awaitTries; tries++ {
		most := next.limit
		if tries == awaitTries {
			most *= 2
		}
		if next.used.Load() < most && b.used.Load()+n <= limit && b.take(n) {
			m.n += n
			return true
		}
		if tries%reclaimTries == 0 && next.reclaim != nil {
			next.reclaim(max(1, next.used.Load()-next.limit))
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(reclaimPause):
		}
	}
	return false
}

const (
	// reclaimPause and reclaimTries bound the wait for reclaimed memory. A request whose connection fails releases its memory
	// within milliseconds.
	reclaimPause = 5 * time.Millisecond
	reclaimTries = 20
	// awaitTries bounds the wait of a long body, which keeps a slot of the backend server meanwhile.
	awaitTries = 2 * reclaimTries
)

// takeReclaimed is take after others have released memory.
func (b *BodyBudget) takeReclaimed(n int64) bool {
	if b.reclaim == nil || !b.reclaim(b.used.Load()+n-b.limit) {
		return false
	}
	for range reclaimTries {
		time.Sleep(reclaimPause)
		if b.take(n) {
			return true
		}
	}
	return false
}

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

// Add counts n bytes that are held in any case; negative: no longer held.
func (b *BodyBudget) Add(n int64) { b.release(-n) }

// Limit returns the bytes that can be held.
func (b *BodyBudget) Limit() int64 { return b.limit }

// Used returns the bytes that are held.
func (b *BodyBudget) Used() int64 { return b.used.Load() }

// Hold returns an empty Memory of b.
func (b *BodyBudget) Hold() *Memory { return &Memory{b: b} }

// Memory is what one request holds of a BodyBudget. It is not safe for concurrent use.
type Memory struct {
	b *BodyBudget
	n int64
}

// Take holds n more bytes, and reports whether they were available.
func (m *Memory) Take(n int64) bool {
	if !m.b.take(n) && !m.b.takeReclaimed(n) {
		return false
	}
	m.n += n
	return true
}

// Add holds n more bytes in any case. Until they are released, others may find none available.
func (m *Memory) Add(n int64) {
	m.b.Add(n)
	m.n += n
}

// Release releases all that is held.
func (m *Memory) Release() { m.Add(-m.n) }

// Read reads a body that ends after fewer than most bytes, into a buffer that has first bytes at the beginning and is
// doubled as data arrives. It holds the memory of the buffer.
func (m *Memory) Read(r io.Reader, first, most int64) ([]byte, error) {
	return m.read(r, first, most, func(next int64) (int64, bool) { return next, m.Take(next) })
}

// read is Read with a function that holds memory for a buffer of next bytes. It returns how much, and whether it was
// available.
func (m *Memory) read(r io.Reader, first, most int64, hold func(next int64) (int64, bool)) ([]byte, error) {
	held, ok := hold(first)
	if !ok {
		return nil, ErrNoBodyMemory
	}
	out := make([]byte, 0, first)
	for {
		n, err := r.Read(out[len(out):cap(out)])
		out = out[:len(out)+n]
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return nil, err //nolint:wrapcheck // the caller adds the context
		}
		if len(out) < cap(out) {
			continue
		}
		next := min(2*int64(cap(out)), most)
		if next <= int64(len(out)) {
			return nil, errBodyTooLong
		}
		before := held
		if next > held {
			if held, ok = hold(next); !ok {
				return nil, ErrNoBodyMemory
			}
		}
		grown := make([]byte, len(out), next)
		copy(grown, out)
		out = grown
		if held > before {
			m.Add(-before)
		}
	}
}

// BodyChunkBytes is the size of the first buffer of a body of unknown length.
const BodyChunkBytes = 4 << 10

// readBody reads a body of at most MaxResponseBytes. The bytes count against b while they are read. A long one waits for
// memory until ctx ends.
func readBody(ctx context.Context, r io.Reader, length int64, b *BodyBudget) ([]byte, error) {
	if length > MaxResponseBytes {
		return nil, errBodyTooLong
	}
	first, most := int64(BodyChunkBytes), int64(MaxResponseBytes+1)
	if length >= 0 {
		most = length + 1 // one more byte, so that the read that meets the end needs no larger buffer
		first = min(first, most)
	}
	m := b.Hold()
	defer m.Release()
	return m.read(r, first, most, func(next int64) (int64, bool) {
		if b == nil || b.next == nil {
			return next, m.Take(next)
		}
		if next <= smallBodyBytes {
			return next, m.Take(next) || m.await(ctx, next, b.limit)
		}
		// The memory of a long body is held at once: bodies that each wait for more than they have would wait for each other.
		// One that has outgrown that may take what is left for small ones.
		if m.n > smallBodyBytes && m.Take(next) {
			return next, true
		}
		n := max(next, min(most, b.limit/longBodyShare))
		return n, m.await(ctx, n, b.limit-b.limit/smallBodiesShare)
	})
}

const (
	// smallBodyBytes is the size up to which a body may take the part of a BodyBudget, one in so many, that long ones leave.
	smallBodyBytes   = 64 << 10
	smallBodiesShare = 4
	// longBodyShare is the part of a BodyBudget, one in so many, that is held for a longer body whose length is not known.
	longBodyShare = 8
)
