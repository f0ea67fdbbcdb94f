package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// outage is how the store refuses calls.
type outage int

const (
	storeUp outage = iota
	storeBusy
	storeSilent
	storeReset
)

// item is a key of the store as its protocol has it.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"created,omitempty"`
	Lease   int64  `json:"lease"`
	Gone    bool   `json:"is_gone,omitempty"`
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// storeServer is a stand-in of the platform's metadata store. It answers after delay.
type storeServer struct {
	delay time.Duration

	mu       sync.Mutex
	outage   outage
	rev      int64
	items    map[string]item
	history  []item
	leases   map[int64]*lease
	changed  chan struct{} // closed and replaced at each change
	nextID   int64
	watchers map[string]time.Time
	srvs     []*http.Server
	refused  map[string]outage // by machine
}

func newStoreServer() *storeServer {
	return &storeServer{delay: 4 * time.Millisecond, rev: 1, items: map[string]item{}, leases: map[int64]*lease{}, watchers: map[string]time.Time{}, refused: map[string]outage{}, changed: make(chan struct{}), nextID: 1000}
}

// serve serves the calls of one machine, which has an address of its own so that the store can tell the machines apart.
func (s *storeServer) serve(ln net.Listener, machine string) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.getKey)
	mux.HandleFunc("GET /kv-range", s.getRange)
	mux.HandleFunc("GET /kv-watch", func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.watchers[machine] = time.Now()
		s.mu.Unlock()
		s.watch(w, r)
	})
	mux.HandleFunc("POST /kv-txn", s.txn)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.refuses(w, r, machine) {
			return
		}
		time.Sleep(s.delay)
		mux.ServeHTTP(w, r)
	}), ReadHeaderTimeout: time.Minute}
	s.mu.Lock()
	s.srvs = append(s.srvs, srv)
	s.mu.Unlock()
	go func() { _ = srv.Serve(ln) }() // ends with Close
}

// close ends all servers.
func (s *storeServer) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, srv := range s.srvs {
		_ = srv.Close()
	}
}

// refuses handles a call during an outage.
func (s *storeServer) refuses(w http.ResponseWriter, r *http.Request, machine string) bool {
	s.mu.Lock()
	how := max(s.outage, s.refused[machine])
	s.mu.Unlock()
	switch how {
	case storeBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	case storeSilent:
		for r.Context().Err() == nil && s.inOutage(machine) {
			time.Sleep(10 * time.Millisecond)
		}
		panic(http.ErrAbortHandler)
	case storeReset:
		panic(http.ErrAbortHandler)
	}
	return false
}

func (s *storeServer) inOutage(machine string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.outage, s.refused[machine]) != storeUp
}

// setOutage begins or ends an outage. Watches that wait are cut. Leases pause meanwhile.
func (s *storeServer) setOutage(o outage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = o
	s.wake()
	if o == storeUp {
		for _, l := range s.leases {
			l.ends = time.Now().Add(l.ttl)
		}
	}
}

func (s *storeServer) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes the keys of leases that have ended. The caller holds s.mu.
func (s *storeServer) expire() {
	if s.outage != storeUp {
		return
	}
	for id, l := range s.leases {
		if time.Now().After(l.ends) {
			s.dropLease(id)
		}
	}
}

func (s *storeServer) dropLease(id int64) {
	delete(s.leases, id)
	for k, it := range s.items {
		if it.Lease == id {
			s.remove(k)
		}
	}
}

func (s *storeServer) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.rev++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Rev: s.rev, Gone: true})
	s.wake()
}

func (s *storeServer) set(key string, value []byte, leaseID int64) {
	s.rev++
	created := s.rev
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	it := item{Key: key, Value: value, Rev: s.rev, Created: created, Lease: leaseID}
	s.items[key] = it
	s.history = append(s.history, it)
	s.wake()
}

// put is a write of the operator.
func (s *storeServer) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(key, value, 0)
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the daemon may have left
}

func (s *storeServer) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"as_of": s.rev})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		AsOf int64 `json:"as_of"`
	}{it, s.rev})
}

func (s *storeServer) getRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	q := r.URL.Query()
	list := []item{}
	for k, it := range s.items {
		if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
			list = append(list, it)
		}
	}
	slices.SortFunc(list, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	reply(w, http.StatusOK, map[string]any{"items": list, "has_more": false, "as_of": s.rev})
}

func (s *storeServer) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for last := false; ; {
		s.mu.Lock()
		if s.outage != storeUp {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		s.expire()
		events := []item{}
		for _, it := range s.history {
			if it.Rev > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, it)
			}
		}
		asOf, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 || last {
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			last = true
		case <-time.After(200 * time.Millisecond): // leases end
		case <-r.Context().Done():
			return
		}
	}
}

func (s *storeServer) txn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []struct {
			Key string `json:"key"`
			Rev int64  `json:"rev"`
		} `json:"expected"`
		Set    []item   `json:"set_keys"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{"error": err.Error()})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	now, holds := []item{}, true
	for _, e := range t.Expected {
		it, ok := s.items[e.Key]
		if ok {
			now = append(now, it)
		}
		holds = holds && it.Rev == e.Rev
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": now})
		return
	}
	for _, it := range t.Set {
		if it.Lease != 0 && s.leases[it.Lease] == nil {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	for _, it := range t.Set {
		s.set(it.Key, it.Value, it.Lease)
	}
	for _, k := range t.Remove {
		s.remove(k)
	}
	reply(w, http.StatusOK, map[string]any{"rev": s.rev})
}

func (s *storeServer) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL float64 `json:"ttl_s_time"`
	}
	b, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(b, &body)
	}
	if err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	ttl := time.Duration(max(1, body.TTL) * float64(time.Second))
	s.leases[s.nextID] = &lease{ttl, time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.nextID, "ttl_s_time": ttl.Seconds()})
}

func (s *storeServer) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l := s.leases[id]
	if l == nil {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	l.ends = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{"ttl_s_time": l.ttl.Seconds()})
}

func (s *storeServer) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if s.leases[id] == nil {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	s.dropLease(id)
	reply(w, http.StatusOK, map[string]any{})
}
