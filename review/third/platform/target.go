package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	headerRequest  = "X-Marjoramcroft-Request-Id"
	headerDeadline = "X-Marjoramcroft-Deadline-Ms"
	headerInstance = "X-Marjoramcroft-Instance-Id"
	headerExpect   = "X-Marjoramcroft-Expect-Instance"
	headerStamp    = "X-Marjoramcroft-Server-Stamp"
	headerNotRun   = "X-Marjoramcroft-Not-Executed"
	headerLoad     = "X-Marjoramcroft-Server-Load"
)

const (
	beatEvery = 1500 * time.Millisecond // beat_s
	// ackWithin is the time in which the acknowledgement of a heartbeat has to arrive.
	ackWithin = time.Second
)

// arrival is a request that reached a target, other than a health check.
type arrival struct {
	id, method, path string
	at               time.Time
}

// target is a stand-in of an application target: it processes slots requests at a time and queues some.
type target struct {
	rec                              *record
	id, service, addr, zone, control string
	slots                            int
	work                             time.Duration
	born                             int64
	srv                              *http.Server
	slot, queue                      chan struct{}
	stopBeats                        context.CancelFunc
	mu                               sync.Mutex
	seq                              int
	left                             time.Time // when the leave was acknowledged
	arrivals                         []arrival
	run                              map[string]int // by id of the request
	answer                           func(w http.ResponseWriter, r *http.Request)
}

func (t *target) start(ln net.Listener) {
	t.born = time.Now().UnixMilli()
	t.slot, t.queue = make(chan struct{}, t.slots), make(chan struct{}, 5*t.slots)
	t.run = map[string]int{}
	t.srv = &http.Server{Handler: t, IdleTimeout: 10 * time.Second, ReadHeaderTimeout: time.Minute}
	go func() { _ = t.srv.Serve(ln) }() // ends with Close
	ctx, cancel := context.WithCancel(context.Background())
	t.stopBeats = cancel
	go t.beat(ctx)
}

// stop ends the target at once.
func (t *target) stop() {
	t.stopBeats()
	_ = t.srv.Close()
}

func (t *target) beat(ctx context.Context) {
	for ctx.Err() == nil {
		t.send(ctx, "heartbeat", t.doc(t.nextSeq()))
		select {
		case <-ctx.Done():
		case <-time.After(beatEvery):
		}
	}
}

// reportLate sends a heartbeat that is on its way for d.
func (t *target) reportLate(d time.Duration) {
	seq := t.nextSeq()
	doc := t.doc(seq)
	t.rec.logf("target %s: heartbeat with seq %d, on its way for %v", t.id, seq, d)
	time.AfterFunc(d, func() {
		t.rec.logf("target %s: the heartbeat with seq %d arrives, answered %d", t.id, seq, t.send(context.Background(), "heartbeat", doc))
	})
}

func (t *target) nextSeq() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seq++
	return t.seq
}

func (t *target) doc(seq int) map[string]any {
	return map[string]any{
		"service": t.service, "addr": t.addr, "zone": t.zone, "version": "v1", "slots": t.slots, "state": "ready",
		"cold_left_s": 0, "seq": seq, "born": t.born,
	}
}

// deregister tells the daemon that the target leaves, and reports whether that was acknowledged in time.
func (t *target) deregister(ctx context.Context) bool {
	acked := t.send(ctx, "leave", nil) == http.StatusOK
	t.mu.Lock()
	defer t.mu.Unlock()
	t.left = time.Now()
	return acked
}

// leftAt returns when the leave was acknowledged.
func (t *target) leftAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.left
}

// send returns the status of the answer; 0: there was none in time.
func (t *target) send(ctx context.Context, call string, doc map[string]any) int {
	ctx, cancel := context.WithTimeout(ctx, ackWithin)
	defer cancel()
	var body io.Reader = http.NoBody
	if doc != nil {
		b, err := json.Marshal(doc)
		if err != nil {
			return 0
		}
		body = bytes.NewReader(b)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/backends/%s/%s", t.control, t.id, call), body)
	if err != nil {
		return 0
	}
	r.Header.Set("Content-Type", "application/json")
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

// ServeHTTP answers a request as the pages say of targets.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerLoad, fmt.Sprintf("%d,%d,%d", len(t.slot), len(t.queue), t.slots))
	if r.URL.Path == "/healthz" {
		w.Header().Set(headerInstance, t.id)
		return
	}
	id := r.Header.Get(headerRequest)
	w.Header().Set(headerRequest, id)
	if want := r.Header.Get(headerExpect); want != "" && want != t.id {
		w.Header().Set(headerInstance, t.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	t.mu.Lock()
	t.arrivals = append(t.arrivals, arrival{id, r.Method, r.URL.Path, time.Now()})
	t.mu.Unlock()
	ms, err := strconv.Atoi(r.Header.Get(headerDeadline))
	if err != nil {
		ms = 60_000
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
	defer cancel()
	if !t.enter(ctx) {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-t.slot }()
	t.mu.Lock()
	t.run[id]++
	t.mu.Unlock()
	t.rec.logf("target %s: runs %s", t.id, id)
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case <-time.After(t.work):
	case <-ctx.Done():
		w.Header().Set(headerStamp, t.id+"."+id)
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	w.Header().Set(headerStamp, t.id+"."+id)
	if t.answer != nil {
		t.answer(w, r)
		return
	}
	_, _ = io.WriteString(w, "answer to "+id)
}

// enter takes a slot, and reports false if there is no room.
func (t *target) enter(ctx context.Context) bool {
	select {
	case t.slot <- struct{}{}:
		return true
	default:
	}
	select {
	case t.queue <- struct{}{}:
	default:
		return false
	}
	defer func() { <-t.queue }()
	select {
	case t.slot <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// after returns the requests that reached the target after at.
func (t *target) after(at time.Time) []arrival {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []arrival
	for _, a := range t.arrivals {
		if a.at.After(at) {
			out = append(out, a)
		}
	}
	return out
}
