package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is a key with its value, or an event of a watch.
type storeItem struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"created,omitempty"`
	Lease   int64  `json:"lease"`
	Gone    bool   `json:"is_gone,omitempty"`
}

// kvStore stands in for the platform's store. It keeps the whole history.
type kvStore struct {
	mu      sync.Mutex
	rev     int64
	items   map[string]storeItem
	events  []storeItem
	changed chan struct{}
	leases  map[int64]*storeLease
	nextID  int64
}

type storeLease struct {
	ttl time.Duration
	end time.Time
}

func newKVStore() *kvStore {
	return &kvStore{rev: 100, items: map[string]storeItem{}, changed: make(chan struct{}), leases: map[int64]*storeLease{}, nextID: 7000}
}

// serve answers calls on ln, and ends leases.
func (s *kvStore) serve(ln net.Listener) {
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.expire()
		}
	}()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.get)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.txn)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.endLease)
	_ = http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(4 * time.Millisecond)
		mux.ServeHTTP(w, r)
	}))
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *kvStore) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	rev := s.rev
	s.mu.Unlock()
	if !ok {
		reply(w, 404, map[string]any{"as_of": rev})
		return
	}
	reply(w, 200, struct {
		storeItem
		AsOf int64 `json:"as_of"`
	}{it, rev})
}

func (s *kvStore) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	out := []storeItem{}
	for k, it := range s.items {
		if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
			out = append(out, it)
		}
	}
	rev := s.rev
	s.mu.Unlock()
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	more := len(out) > 500
	if more {
		out = out[:500]
	}
	reply(w, 200, map[string]any{"items": out, "has_more": more, "as_of": rev})
}

func (s *kvStore) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		out := []storeItem{}
		for _, e := range s.events {
			if e.Rev > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				out = append(out, e)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(out) > 0 {
			reply(w, 200, map[string]any{"events": out, "as_of": rev})
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(w, 200, map[string]any{"events": out, "as_of": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *kvStore) txn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []struct {
			Key string `json:"key"`
			Rev int64  `json:"rev"`
		} `json:"expected"`
		Set []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"set_keys"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		reply(w, 400, map[string]any{"err": err.Error()})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	held, current := true, []storeItem{}
	for _, e := range t.Expected {
		it, ok := s.items[e.Key]
		if ok {
			current = append(current, it)
		}
		held = held && it.Rev == e.Rev
	}
	if !held {
		reply(w, 412, map[string]any{"items": current})
		return
	}
	for _, p := range t.Set {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			reply(w, 403, map[string]any{})
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			reply(w, 404, map[string]any{})
			return
		}
	}
	s.rev++
	for _, p := range t.Set {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, k := range t.Remove {
		s.remove(k)
	}
	s.wake()
	reply(w, 200, map[string]any{"rev": s.rev})
}

// put sets a key at the present revision. The caller holds s.mu.
func (s *kvStore) put(key string, value []byte, lease int64) {
	created := s.rev
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	it := storeItem{Key: key, Value: value, Rev: s.rev, Created: created, Lease: lease}
	s.items[key] = it
	s.events = append(s.events, it)
}

func (s *kvStore) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.events = append(s.events, storeItem{Key: key, Rev: s.rev, Gone: true})
	}
}

func (s *kvStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// operate writes a key as the operator does.
func (s *kvStore) operate(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.put(key, value, 0)
	s.wake()
}

func (s *kvStore) grant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL float64 `json:"ttl_s_time"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		reply(w, 400, map[string]any{"err": err.Error()})
		return
	}
	ttl := time.Duration(max(1, min(600, in.TTL)) * float64(time.Second))
	s.mu.Lock()
	s.nextID++
	id := s.nextID
	s.leases[id] = &storeLease{ttl, time.Now().Add(ttl)}
	s.mu.Unlock()
	reply(w, 200, map[string]any{"lease": id, "ttl_s_time": ttl.Seconds()})
}

func (s *kvStore) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	l := s.leases[id]
	if l != nil {
		l.end = time.Now().Add(l.ttl)
	}
	s.mu.Unlock()
	if l == nil {
		reply(w, 404, map[string]any{})
		return
	}
	reply(w, 200, map[string]any{"ttl_s_time": l.ttl.Seconds()})
}

func (s *kvStore) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	l := s.leases[id]
	if l != nil {
		l.end = time.Time{}
	}
	s.mu.Unlock()
	s.expire()
	if l == nil {
		reply(w, 404, map[string]any{})
		return
	}
	reply(w, 200, map[string]any{})
}

func (s *kvStore) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().Before(l.end) {
			continue
		}
		delete(s.leases, id)
		for k, it := range s.items {
			if it.Lease == id {
				s.rev++
				s.remove(k)
				s.wake()
			}
		}
	}
}
