package proxy

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/marjoramcroft/marjoramcroft/guard"
	"github.com/marjoramcroft/marjoramcroft/origin"
)

// Limits of buffering, in bytes.
const (
	// MaxReplay is the largest request body that is kept for a further attempt.
	MaxReplay = 64 << 10
	// MaxStored is the largest response body that is kept for repeats of a keyed call.
	MaxStored = 4 << 10
	// digestSize is the length of the body prefix that identifies a suspect request.
	digestSize     = 4 << 10
	copyBufferSize = 32 << 10
)

var (
	copyBuffers  = sync.Pool{New: func() any { b := make([]byte, copyBufferSize); return &b }}
	shortBuffers = sync.Pool{New: func() any { b := make([]byte, MaxStored); return &b }}
)

// payload is the body of a request. Its head is buffered; the rest is streamed and can be read
// only once.
type payload struct {
	head     []byte
	rest     io.Reader       // nil if head is the whole body
	transfer *guard.Transfer // of a body with a rest; nil: there is none
	length   int64           // -1 if unknown

	mu         sync.Mutex
	restRead   bool // an attempt has started to read rest
	generation int  // generation of the attempt that may read rest
}

// errBody marks a failure to read the caller's body.
var errBody = errors.New("request body")

// readPayload buffers the start of the body of r, up to MaxReplay bytes, which are held by m. The error wraps
// origin.ErrNoBodyMemory if that can't be, or no longer. The body is a transfer of ts.
func readPayload(w http.ResponseWriter, r *http.Request, m *origin.Memory, ts *guard.Transfers) (*payload, error) {
	p := &payload{length: r.ContentLength}
	if r.Body == nil || r.ContentLength == 0 {
		p.length = 0
		return p, nil
	}
	size := int64(MaxReplay) + 1
	if r.ContentLength > 0 && r.ContentLength < size {
		size = r.ContentLength
	}
	first := int64(origin.BodyChunkBytes)
	if r.ContentLength > 0 {
		first = size + 1 // held at once, so that bodies that arrive together are not refused when each has come in part
	}
	t := ts.BeginBody(w, first)
	body := t.Reader(r.Body)
	head, err := m.Read(io.LimitReader(body, size), first, size+1)
	if err != nil {
		if t.End() {
			err = origin.ErrNoBodyMemory
		}
		return nil, fmt.Errorf("%w: %w", errBody, err)
	}
	p.head = head
	n := int64(len(head))
	if n > MaxReplay {
		p.rest, p.transfer = body, t
		return p, nil
	}
	t.End()
	switch {
	case r.ContentLength > 0 && n < r.ContentLength:
		return nil, fmt.Errorf("%w: %w", errBody, io.ErrUnexpectedEOF)
	default:
		p.length = n
	}
	return p, nil
}

// replayable reports whether the body can be sent again. If so, earlier attempts can no longer
// read from it: an http.Transport may go on reading after its call was refused.
func (p *payload) replayable() bool {
	if p.rest == nil {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.restRead {
		return false
	}
	p.generation++
	return true
}

// restReader reads the rest of the body for one attempt, until a later attempt takes over.
type restReader struct {
	p          *payload
	generation int
}

func (r *restReader) Read(b []byte) (int, error) {
	r.p.mu.Lock()
	if r.generation != r.p.generation {
		r.p.mu.Unlock()
		return 0, fmt.Errorf("%w: taken by a later attempt", errBody)
	}
	r.p.restRead = true
	r.p.mu.Unlock()
	n, err := r.p.rest.Read(b)
	if err != nil && err != io.EOF { //nolint:errorlint // a wrapped io.EOF is no regular end
		err = fmt.Errorf("%w: %w", errBody, err)
	}
	return n, err
}

// digest returns a hash of the first 4 KB of the body.
func (p *payload) digest() uint64 {
	return xxhash.Sum64(p.head[:min(len(p.head), digestSize)])
}

// apply sets the body of an outgoing request. It clears GetBody and never leaves the body nil:
// otherwise http.Transport resends requests on its own that have the header Idempotency-Key or
// a method such as GET, even where the route forbids repeats.
func (p *payload) apply(out *http.Request) {
	out.GetBody = nil
	if p.rest != nil {
		out.Body = io.NopCloser(io.MultiReader(bytes.NewReader(p.head), &restReader{p, p.generation}))
		out.ContentLength = p.length
		return
	}
	out.Body = io.NopCloser(bytes.NewReader(p.head))
	out.ContentLength = int64(len(p.head))
	if len(p.head) == 0 {
		// Otherwise an empty body of unknown length would be sent in chunks.
		out.TransferEncoding = []string{"identity"}
	}
}

// notifyingBody calls onEnd once, when the body has been read to its end, has failed or is
// closed.
type notifyingBody struct {
	io.ReadCloser
	once  sync.Once
	onEnd func(err error) // io.EOF: complete; nil: closed before its end
}

func (b *notifyingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.once.Do(func() { b.onEnd(err) })
	}
	return n, err
}

func (b *notifyingBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() { b.onEnd(nil) })
	if err != nil {
		return fmt.Errorf("close body: %w", err)
	}
	return nil
}
