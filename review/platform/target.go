package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// target stands in for an application target. The path of a request tells it what to do: a part "workMS" is how long the
// work takes, and a part "crash" ends the target when it begins to run the request.
type target struct {
	rec     *record
	service string
	zone    string
	addr    string
	control string
	slots   int

	mu      sync.Mutex
	up      bool
	id      string
	starts  int
	born    int64
	seq     int64
	running int
	waiting int
	ln      net.Listener
	conns   map[net.Conn]bool
	runs    map[string]int // by request id
	crashes []time.Time
	ready   chan struct{} // closed when a heartbeat has been acknowledged
	once    sync.Once
	freed   chan struct{}
}

func newTarget(rec *record, service, zone, addr, control string, slots int) *target {
	return &target{
		rec: rec, service: service, zone: zone, addr: addr, control: control, slots: slots,
		runs: map[string]int{}, ready: make(chan struct{}), freed: make(chan struct{}),
	}
}

// name identifies the target in the record.
func (t *target) name() string { return t.service + "@" + t.zone }

// begin starts a process of the target.
func (t *target) begin() error {
	ln, err := net.Listen("tcp", t.addr)
	if err != nil {
		return err
	}
	t.mu.Lock()
	t.up, t.ln, t.conns, t.running, t.waiting, t.seq = true, ln, map[net.Conn]bool{}, 0, 0, 0
	t.starts++
	t.born = time.Now().UnixMilli()
	t.id = fmt.Sprintf("i-%s-%s-%d", t.service, t.zone, t.starts)
	id := t.id
	t.mu.Unlock()
	t.rec.log("target %s starts as %s", t.name(), id)
	srv := &http.Server{
		Handler: http.HandlerFunc(t.handle), IdleTimeout: 10 * time.Second,
		ConnState: func(c net.Conn, s http.ConnState) {
			t.mu.Lock()
			defer t.mu.Unlock()
			switch s {
			case http.StateNew:
				t.conns[c] = true
			case http.StateClosed:
				delete(t.conns, c)
			}
		},
	}
	go func() { _ = srv.Serve(ln) }()
	go t.beat(id)
	return nil
}

// crash ends the process and starts the next one after down.
func (t *target) crash(down time.Duration) {
	t.mu.Lock()
	if !t.up {
		t.mu.Unlock()
		return
	}
	t.up = false
	t.crashes = append(t.crashes, time.Now())
	_ = t.ln.Close()
	for c := range t.conns {
		if tc, ok := c.(*net.TCPConn); ok {
			_ = tc.SetLinger(0)
		}
		_ = c.Close()
	}
	t.mu.Unlock()
	t.rec.log("target %s crashes", t.name())
	time.AfterFunc(down, func() {
		if err := t.begin(); err != nil {
			t.rec.log("target %s does not start: %v", t.name(), err)
		}
	})
}

func (t *target) beat(id string) {
	client := &http.Client{Timeout: time.Second}
	for {
		t.mu.Lock()
		if !t.up || t.id != id {
			t.mu.Unlock()
			return
		}
		t.seq++
		b, _ := json.Marshal(map[string]any{
			"service": t.service, "addr": t.addr, "zone": t.zone, "version": "v1", "slots": t.slots, "state": "ready",
			"cold_left_s": 0, "seq": t.seq, "born": t.born,
		})
		t.mu.Unlock()
		pause := 1500 * time.Millisecond
		res, err := client.Post("http://"+t.control+"/backends/"+id+"/heartbeat", "application/json", bytes.NewReader(b))
		switch {
		case err != nil:
			pause = 300 * time.Millisecond
		default:
			_, _ = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				t.once.Do(func() { close(t.ready) })
			}
		}
		time.Sleep(pause)
	}
}

const (
	hID       = "X-Marjoramcroft-Request-Id"
	hDeadline = "X-Marjoramcroft-Deadline-Ms"
	hExpect   = "X-Marjoramcroft-Expect-Instance"
	hStamp    = "X-Marjoramcroft-Server-Stamp"
	hNotRun   = "X-Marjoramcroft-Not-Executed"
	hLoad     = "X-Marjoramcroft-Server-Load"
	hInstance = "X-Marjoramcroft-Instance-Id"
	hCaller   = "X-Marjoramcroft-Caller-Service"
)

func (t *target) handle(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	id := r.Header.Get(hID)
	t.mu.Lock()
	self := t.id
	t.mu.Unlock()
	w.Header().Set("Keep-Alive", "timeout=10")
	w.Header().Set(hInstance, self)
	if id != "" {
		w.Header().Set(hID, id)
	}
	body, err := io.ReadAll(r.Body)
	switch {
	case err != nil:
		return
	case id == "":
		w.Header().Set(hNotRun, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case r.Header.Get(hExpect) != "" && r.Header.Get(hExpect) != self:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	ms, _ := strconv.Atoi(r.Header.Get(hDeadline))
	deadline := arrived.Add(time.Duration(max(1, ms)) * time.Millisecond)
	if !t.takeSlot(r, deadline) {
		w.Header().Set(hNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer t.freeSlot(self)
	t.mu.Lock()
	t.runs[id]++
	n := t.runs[id]
	t.mu.Unlock()
	t.rec.log("target %s runs %s (%s %s, run %d of this id here, %d ms left)", t.name(), id, r.Method, r.URL.Path, n, ms)
	work := 20 * time.Millisecond
	for part := range strings.SplitSeq(r.URL.Path, "/") {
		if part == "crash" {
			go t.crash(3 * time.Second)
			time.Sleep(time.Hour)
		}
		if v, ok := strings.CutPrefix(part, "work"); ok {
			k, _ := strconv.Atoi(v)
			work = time.Duration(k) * time.Millisecond
		}
	}
	status := http.StatusOK
	select {
	case <-time.After(min(work, time.Until(deadline))):
	case <-r.Context().Done():
		t.rec.log("target %s stops %s: its connection closed", t.name(), id)
		return
	}
	if !time.Now().Before(deadline) {
		status = http.StatusGatewayTimeout
	}
	t.rec.log("target %s ends %s with %d", t.name(), id, status)
	w.Header().Set(hStamp, self+"."+id)
	t.mu.Lock()
	w.Header().Set(hLoad, fmt.Sprintf("%d,%d,%d,100", t.running, t.waiting, t.slots))
	t.mu.Unlock()
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, "%s ran %s, %d bytes", self, id, len(body))
}

// takeSlot waits for a slot, and reports whether it has one.
func (t *target) takeSlot(r *http.Request, deadline time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running >= t.slots && t.waiting >= 4*t.slots {
		return false
	}
	for t.running >= t.slots {
		t.waiting++
		freed := t.freed
		t.mu.Unlock()
		gone := false
		select {
		case <-freed:
		case <-r.Context().Done():
			gone = true
		case <-time.After(time.Until(deadline)):
			gone = true
		}
		t.mu.Lock()
		t.waiting--
		if gone {
			return false
		}
	}
	t.running++
	return true
}

// freeSlot returns a slot that a request took in the process id.
func (t *target) freeSlot(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.id == id {
		t.running--
	}
	close(t.freed)
	t.freed = make(chan struct{})
}

// ran returns how often the target ran the request id.
func (t *target) ran(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[id]
}
