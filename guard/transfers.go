package guard

import (
	"cmp"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// slowAfter is how long a transfer may wait for its client before it can be cut. It spans stops of a VM by its processor
	// quota, and most transfers of callers on the same VM end within it.
	slowAfter = time.Second
	// slowRate is the rate, in bytes per second, below which a transfer counts as slow.
	slowRate = 64 << 10
	// maxWriteBytes limits one write.
	maxWriteBytes = 64 << 10
)

// Transfers holds the bodies that are being read from clients, and the answers that are being written to them. When memory
// or connections are short, those that are slow are cut for others. Its methods are safe for concurrent use; nil holds none.
type Transfers struct {
	now func() time.Time

	mu   sync.Mutex
	open map[*Transfer]struct{}
}

// NewTransfers returns an empty Transfers.
func NewTransfers() *Transfers { return &Transfers{now: time.Now, open: map[*Transfer]struct{}{}} }

// Transfer is the body of one request, or the answer to it.
type Transfer struct {
	ts      *Transfers
	began   time.Time
	held    int64 // bytes of memory at the beginning
	moved   atomic.Int64
	blocked atomic.Int64 // nanoseconds for which reads or writes have waited for the client
	waits   atomic.Int64 // since when one waits, in nanoseconds since began; zero: none does
	wasCut  atomic.Bool
	cutConn func()
}

// Begin adds a transfer that holds the memory held, in bytes. cut makes its reads or writes fail. It is not called after
// End.
func (ts *Transfers) Begin(held int64, cut func()) *Transfer {
	if ts == nil {
		return &Transfer{}
	}
	t := &Transfer{ts: ts, began: ts.now(), held: held, cutConn: cut}
	ts.mu.Lock()
	defer ts.mu.Unlock()
	ts.open[t] = struct{}{}
	return t
}

// past is a deadline that makes reads or writes fail at once.
var past = time.Unix(1, 0)

// BeginBody is Begin for the body of a request that w answers.
func (ts *Transfers) BeginBody(w http.ResponseWriter, held int64) *Transfer {
	return ts.Begin(held, func() { _ = http.NewResponseController(w).SetReadDeadline(past) })
}

// BeginAnswer is Begin for the answer that is written to w.
func (ts *Transfers) BeginAnswer(w http.ResponseWriter, held int64) *Transfer {
	return ts.Begin(held, func() { _ = http.NewResponseController(w).SetWriteDeadline(past) })
}

// End removes the transfer, and reports whether it was cut. Of nil it does nothing.
func (t *Transfer) End() bool {
	if t == nil || t.ts == nil {
		return false
	}
	t.ts.mu.Lock()
	defer t.ts.mu.Unlock()
	delete(t.ts.open, t)
	return t.wasCut.Load()
}

// Wait records that a read or a write begins. The returned function records that it has moved n bytes: between them, the
// transfer does not wait for the client.
func (t *Transfer) Wait() (moved func(n int)) {
	if t.ts == nil {
		return func(int) {}
	}
	began := t.ts.now().Sub(t.began)
	t.waits.Store(max(1, int64(began)))
	return func(n int) {
		t.waits.Store(0)
		t.blocked.Add(int64(t.ts.now().Sub(t.began) - began))
		t.moved.Add(int64(n))
	}
}

// Write writes b to w, in parts, so that the progress of a long one is seen.
func (t *Transfer) Write(w io.Writer, b []byte) error {
	for len(b) > 0 {
		moved := t.Wait()
		n, err := w.Write(b[:min(len(b), maxWriteBytes)])
		moved(n)
		if err != nil {
			return err //nolint:wrapcheck // a writer passes errors on
		}
		b = b[n:]
	}
	return nil
}

// Reader returns a reader of r that records what it reads. The transfer ends with the first error, or the end of r.
func (t *Transfer) Reader(r io.Reader) io.Reader { return transferReader{t, r} }

type transferReader struct {
	t *Transfer
	r io.Reader
}

// Read reads from the body.
func (r transferReader) Read(b []byte) (int, error) {
	moved := r.t.Wait()
	n, err := r.r.Read(b)
	moved(n)
	if err != nil {
		r.t.End()
	}
	return n, err //nolint:wrapcheck // a reader passes errors on
}

// rate returns the bytes per second of waiting for the client until now, and whether the transfer is slow. One that has not
// moved for slowAfter is, whatever it moved before: the buffers of a connection take megabytes at once.
func (t *Transfer) rate(now time.Time) (rate float64, slow bool) {
	stalled := time.Duration(0)
	if since := t.waits.Load(); since > 0 {
		stalled = now.Sub(t.began) - time.Duration(since)
	}
	if stalled >= slowAfter {
		return 0, true
	}
	took := time.Duration(t.blocked.Load()) + stalled
	if took < slowAfter {
		return 0, false
	}
	rate = float64(t.moved.Load()) / took.Seconds()
	return rate, rate < slowRate
}

// memory returns the memory of the transfer, in bytes, at least one.
func (t *Transfer) memory() int64 { return max(1, t.held, t.moved.Load()) }

// Reclaim cuts slow transfers, the slowest ones first, until they have held need bytes. It reports whether there were any.
func (ts *Transfers) Reclaim(need int64) bool {
	if ts == nil {
		return false
	}
	type candidate struct {
		t    *Transfer
		rate float64
	}
	ts.mu.Lock()
	defer ts.mu.Unlock()
	now := ts.now()
	var slow []candidate
	for t := range ts.open {
		if rate, ok := t.rate(now); ok {
			slow = append(slow, candidate{t, rate})
		}
	}
	slices.SortFunc(slow, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rate, b.rate), a.t.began.Compare(b.t.began))
	})
	for _, c := range slow {
		c.t.wasCut.Store(true)
		c.t.cutConn()
		delete(ts.open, c.t)
		if need -= c.t.memory(); need <= 0 {
			break
		}
	}
	return len(slow) > 0
}
