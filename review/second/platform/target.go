package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Headers of PROTOCOL.md.
const (
	hdrID       = "X-Marjoramcroft-Request-Id"
	hdrDeadline = "X-Marjoramcroft-Deadline-Ms"
	hdrExpect   = "X-Marjoramcroft-Expect-Instance"
	hdrCaller   = "X-Marjoramcroft-Caller-Service"
	hdrStamp    = "X-Marjoramcroft-Server-Stamp"
	hdrNotRun   = "X-Marjoramcroft-Not-Executed"
	hdrInstance = "X-Marjoramcroft-Instance-Id"
	hdrTenant   = "X-Marjoramcroft-Tenant"
	hdrLoad     = "X-Marjoramcroft-Server-Load"
)

// run is one request that reached a target.
type run struct {
	at       time.Time
	id       string
	instance string
	service  string
	path     string
	caller   string
	tenant   string
	key      string // as the target was shown it
}

// target is a stand-in of the application target beside a daemon.
type target struct {
	id, service, zone string
	addr, control     string
	slots             int
	born              int64
	work              time.Duration
	rec               *record

	mu      sync.Mutex
	running int
	runs    []run
	size    int
	seq     int64
	stop    chan struct{} // ends the heartbeats
	beating bool
}

// newTarget returns a target whose listener is ln.
func newTarget(rec *record, id, service, zone, control string, ln net.Listener) *target {
	t := &target{
		id: id, service: service, zone: zone, addr: ln.Addr().String(), control: control, slots: 9, born: time.Now().UnixMilli(),
		work: 20 * time.Millisecond, rec: rec,
	}
	go func() { _ = http.Serve(ln, http.HandlerFunc(t.serve)) }()
	return t
}

func (t *target) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(hdrID)
	w.Header().Set(hdrID, id)
	w.Header().Set(hdrInstance, t.id)
	if e := r.Header.Get(hdrExpect); e != "" && e != t.id {
		w.Header().Set(hdrNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	t.mu.Lock()
	full := t.running >= t.slots
	if !full {
		t.running++
		t.runs = append(t.runs, run{time.Now(), id, t.id, t.service, r.URL.Path, r.Header.Get(hdrCaller), r.Header.Get(hdrTenant), r.Header.Get("Authorization")})
	}
	load := fmt.Sprintf("%d,0,%d,100", t.running, t.slots)
	t.mu.Unlock()
	w.Header().Set(hdrLoad, load)
	if full {
		w.Header().Set(hdrNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	t.rec.log("run       id=%s at target %s of %s path=%s tenant=%q authorization=%q", id, t.id, t.service, r.URL.Path, r.Header.Get(hdrTenant), r.Header.Get("Authorization"))
	_, _ = io.Copy(io.Discard, r.Body)
	time.Sleep(t.work)
	t.mu.Lock()
	t.running--
	t.mu.Unlock()
	w.Header().Set(hdrStamp, "stamp."+t.id+"."+id)
	_, _ = io.WriteString(w, "answer of "+t.id+" to "+id+strings.Repeat("x", t.size))
}

// beat is the body of a heartbeat with the next sequence number.
func (t *target) beat(state string) map[string]any {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seq++
	return map[string]any{
		"service": t.service, "addr": t.addr, "zone": t.zone, "version": "v1", "slots": t.slots, "state": state, "cold_left_s": 0,
		"seq": t.seq, "born": t.born,
	}
}

// post sends a call to the control address and returns the status; 0: no answer within a second.
func (t *target) post(call string, body map[string]any) int {
	b, _ := json.Marshal(body)
	if body == nil {
		b = nil
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+t.control+"/backends/"+t.id+"/"+call, bytes.NewReader(b))
	if err != nil {
		return 0
	}
	req.Header.Set("Content-Type", "application/json")
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Do(req)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

// startBeats sends a heartbeat each 1.5 s until stopBeats.
func (t *target) startBeats() {
	t.stop = make(chan struct{})
	stop := t.stop
	go func() {
		for {
			t.post("heartbeat", t.beat("ready"))
			select {
			case <-stop:
				return
			case <-time.After(1500 * time.Millisecond):
			}
		}
	}()
}

func (t *target) stopBeats() { close(t.stop) }

// after returns the runs that began after at.
func (t *target) after(at time.Time) []run {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []run
	for _, r := range t.runs {
		if r.at.After(at) {
			out = append(out, r)
		}
	}
	return out
}

func sortRuns(list []run) {
	slices.SortFunc(list, func(a, b run) int { return a.at.Compare(b.at) })
}
