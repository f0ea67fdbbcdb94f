package emul

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// Headers of a request to an emulated backend server, and of its response.
const (
	// HeaderRequest identifies a request. Runs are counted by it, and the response repeats it.
	HeaderRequest  = "Emul-Request"
	headerCall     = "Marjoramcroft-Call"
	headerMember   = "Marjoramcroft-Member"
	headerDeadline = "Marjoramcroft-Deadline"
	headerShed     = "Marjoramcroft-Shed"
)

// Query parameters that control how a request is handled.
const (
	ParamCrash   = "crash"   // CrashBefore, CrashAfter or CrashMid
	ParamTime    = "time"    // service time as a duration
	ParamSize    = "size"    // bytes of the response body
	ParamChunked = "chunked" // any value: the response has no Content-Length
	ParamStatus  = "status"  // status code of the response
)

// Values of ParamCrash.
const (
	CrashBefore = "before" // before the call runs
	CrashAfter  = "after"  // after the call has run, before the first byte of the response
	CrashMid    = "mid"    // after half of the response has been sent
)

const maxWriteBytes = 16 << 10

// ServeHTTP runs one call.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case LoadPath:
		writeJSON(w, b.Load())
		return
	case RunsPath:
		b.serveRuns(w)
		return
	}
	params := r.URL.Query()
	id := r.Header.Get(HeaderRequest)
	w.Header().Set(HeaderRequest, id)
	if call := r.Header.Get(headerCall); call != "" {
		w.Header().Set(headerCall, call)
	}
	ctx, cancel := withDeadline(r)
	defer cancel()
	if !b.acquireSlot(ctx) {
		w.Header().Set(headerShed, "not-run")
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return
	}
	defer b.releaseSlot()
	if f := b.cfg.Observe; f != nil {
		member := ident.MemberID(r.Header.Get(headerMember))
		f(member, 1)
		defer f(member, -1)
	}
	if params.Get(ParamCrash) == CrashBefore {
		b.crash()
	}
	b.count(b.runs, id)
	if err := b.work(ctx, r, params); err != nil {
		panic(http.ErrAbortHandler)
	}
	b.count(b.completed, id)
	if params.Get(ParamCrash) == CrashAfter {
		b.crash()
	}
	if isChain(r) {
		b.serveChain(w, r)
		return
	}
	b.respond(w, params, id)
}

// withDeadline returns the context of r with the deadline in the header of the request, if any.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(headerDeadline), 10, 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithDeadline(r.Context(), time.UnixMilli(ms))
}

// crash ends the process and aborts the calling handler.
func (b *Backend) crash() {
	b.Crash()
	panic(http.ErrAbortHandler)
}

func (b *Backend) count(m map[string]int, id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	m[id]++
}

// acquireSlot takes a slot, for which the call may wait in the queue. It returns false if
// the call is shed before it runs.
func (b *Backend) acquireSlot(ctx context.Context) bool {
	b.mu.Lock()
	select {
	case b.slots <- struct{}{}:
		b.running++
		b.recordLoad()
		b.mu.Unlock()
		return true
	default:
	}
	if b.waiting >= b.cfg.Queue {
		b.sheds++
		b.mu.Unlock()
		return false
	}
	b.waiting++
	b.mu.Unlock()
	var ok bool
	select {
	case b.slots <- struct{}{}:
		ok = true
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting--
	if !ok {
		b.sheds++
		return false
	}
	b.running++
	b.recordLoad()
	return true
}

func (b *Backend) releaseSlot() {
	<-b.slots
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
	b.recordLoad()
}

// work reads the request body and sleeps for the service time. It fails if ctx ends first.
func (b *Backend) work(ctx context.Context, r *http.Request, params url.Values) error {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return fmt.Errorf("read request: %w", err)
	}
	t := time.NewTimer(b.serviceTime(r.URL.Path, params))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("run call: %w", ctx.Err())
	}
}

func (b *Backend) serviceTime(path string, params url.Values) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	mean := b.cfg.ShortTime
	if strings.HasPrefix(path, b.cfg.LongPath) {
		mean = b.cfg.LongTime
	}
	d := mean/2 + time.Duration(b.rand.ExpFloat64()*float64(mean)/2)
	if m, err := time.ParseDuration(params.Get(ParamTime)); err == nil {
		d = m
	}
	factor := 1.0
	if now.Before(b.slowUntil) {
		factor = b.slowFactor
	}
	if age := now.Sub(b.readyAt); b.cfg.ColdTime > 0 && age < b.cfg.ColdTime {
		factor *= b.cfg.ColdFactor - (b.cfg.ColdFactor-1)*float64(max(age, 0))/float64(b.cfg.ColdTime)
	}
	return time.Duration(float64(d) * factor)
}

// respond sends the id of the request, padded to the size in ParamSize.
func (b *Backend) respond(w http.ResponseWriter, params url.Values, id string) {
	size, err := strconv.Atoi(params.Get(ParamSize))
	if err != nil || size < len(id)+1 {
		size = len(id) + 1
	}
	if !params.Has(ParamChunked) {
		w.Header().Set("Content-Length", strconv.Itoa(size))
	}
	if status, err := strconv.Atoi(params.Get(ParamStatus)); err == nil {
		w.WriteHeader(status)
	}
	if _, err := io.WriteString(w, id+"\n"); err != nil {
		return
	}
	sent := len(id) + 1
	if params.Get(ParamCrash) == CrashMid {
		b.writePadding(w, size/2-sent, params)
		_ = http.NewResponseController(w).Flush()
		b.crash()
	}
	b.writePadding(w, size-sent, params)
}

// writePadding writes n bytes and flushes each chunk if the response has no length.
func (b *Backend) writePadding(w http.ResponseWriter, n int, params url.Values) {
	part := []byte(strings.Repeat("x", max(0, min(n, maxWriteBytes))))
	for n > 0 {
		m, err := w.Write(part[:min(len(part), n)])
		if err != nil {
			return
		}
		n -= m
		if params.Has(ParamChunked) {
			_ = http.NewResponseController(w).Flush()
		}
	}
}
