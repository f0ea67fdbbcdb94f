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

// storeMode is how the store stand-in treats its callers.
type storeMode int

const (
	storeUp     storeMode = iota
	storeBusy             // answers 503, nothing is done
	storeSilent           // accepts calls and never answers
)

type storeItem struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"created"`
	Lease   int64  `json:"lease"`
}

type storeEvent struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"created,omitempty"`
	Lease   int64  `json:"lease,omitempty"`
	Gone    bool   `json:"is_gone,omitempty"`
}

type storeLease struct {
	ttl  time.Duration
	ends time.Time
}

// store is a stand-in of the platform's metadata store: items, leases, watches and transactions as PROTOCOL.md states them.
type store struct {
	addr string

	mu      sync.Mutex
	mode    storeMode
	rev     int64
	items   map[string]*storeItem
	history []storeEvent
	leases  map[int64]*storeLease
	changed chan struct{}
	// loseWrites has transactions executed without an answer.
	loseWrites bool
	writes     int
}

func startStore() (*store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{addr: ln.Addr().String(), rev: 100, items: map[string]*storeItem{}, leases: map[int64]*storeLease{}, changed: make(chan struct{})}
	go func() { _ = http.Serve(ln, http.HandlerFunc(s.serve)) }()
	go s.expireLeases()
	return s, nil
}

func (s *store) setMode(m storeMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
	// A watch that waits is cut when the store goes down.
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as the operator does.
func (s *store) put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.set(key, value, 0)
	s.wake()
	return s.rev
}

func (s *store) set(key string, value []byte, lease int64) {
	created := s.rev
	if old := s.items[key]; old != nil {
		created = old.Created
	}
	s.items[key] = &storeItem{Key: key, Value: value, Rev: s.rev, Created: created, Lease: lease}
	s.history = append(s.history, storeEvent{Key: key, Value: value, Rev: s.rev, Created: created, Lease: lease})
}

func (s *store) remove(key string) {
	if s.items[key] == nil {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, storeEvent{Key: key, Rev: s.rev, Gone: true})
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expireLeases() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		now := time.Now()
		for id, l := range s.leases {
			// Leases pause while the store is down.
			if s.mode != storeUp {
				l.ends = l.ends.Add(50 * time.Millisecond)
				continue
			}
			if now.After(l.ends) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for k, it := range s.items {
		if it.Lease == id {
			s.rev++
			s.remove(k)
		}
	}
	s.wake()
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if v != nil {
		_ = json.NewEncoder(w).Encode(v)
	}
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	mode := s.mode
	s.mu.Unlock()
	switch mode {
	case storeBusy:
		reply(w, http.StatusServiceUnavailable, nil)
		return
	case storeSilent:
		<-r.Context().Done()
		return
	}
	time.Sleep(4 * time.Millisecond)
	q := r.URL.Query()
	switch {
	case r.URL.Path == "/kv-key":
		s.mu.Lock()
		it, rev := s.items[q.Get("key")], s.rev
		s.mu.Unlock()
		if it == nil {
			reply(w, http.StatusNotFound, map[string]any{"as_of": rev})
			return
		}
		reply(w, http.StatusOK, map[string]any{"key": it.Key, "value": it.Value, "rev": it.Rev, "created": it.Created, "lease": it.Lease, "as_of": rev})
	case r.URL.Path == "/kv-range":
		s.mu.Lock()
		items := []*storeItem{}
		for k, it := range s.items {
			if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
				items = append(items, it)
			}
		}
		rev := s.rev
		s.mu.Unlock()
		sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
		reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "as_of": rev})
	case r.URL.Path == "/kv-watch":
		s.watch(w, r)
	case r.URL.Path == "/kv-txn":
		s.txn(w, r)
	case r.URL.Path == "/kv-lease":
		var in struct {
			TTL float64 `json:"ttl_s_time"`
		}
		_ = json.NewDecoder(r.Body).Decode(&in)
		ttl := time.Duration(max(1, in.TTL) * float64(time.Second))
		s.mu.Lock()
		s.rev++
		id := s.rev*10 + 7
		s.leases[id] = &storeLease{ttl, time.Now().Add(ttl)}
		s.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_s_time": ttl.Seconds()})
	case strings.HasPrefix(r.URL.Path, "/kv-keep/"), strings.HasPrefix(r.URL.Path, "/kv-lease-end/"):
		id, _ := strconv.ParseInt(r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:], 10, 64)
		s.mu.Lock()
		l := s.leases[id]
		if l != nil && r.Method == http.MethodDelete {
			s.endLease(id)
		} else if l != nil {
			l.ends = time.Now().Add(l.ttl)
		}
		s.mu.Unlock()
		if l == nil {
			reply(w, http.StatusNotFound, nil)
			return
		}
		reply(w, http.StatusOK, map[string]any{"ttl_s_time": l.ttl.Seconds()})
	default:
		reply(w, http.StatusNotFound, nil)
	}
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer end.Stop()
	for {
		s.mu.Lock()
		if s.mode != storeUp {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		events := []storeEvent{}
		for _, e := range s.history {
			if e.Rev > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": rev})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var in struct {
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
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	items, failed := []*storeItem{}, false
	for _, e := range in.Expected {
		it, have := s.items[e.Key], int64(0)
		if it != nil {
			have = it.Rev
			items = append(items, it)
		}
		failed = failed || have != e.Rev
	}
	if failed {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": items})
		return
	}
	for _, p := range in.Set {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			reply(w, http.StatusForbidden, nil)
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			reply(w, http.StatusNotFound, nil)
			return
		}
	}
	s.rev++
	for _, p := range in.Set {
		s.set(p.Key, p.Value, p.Lease)
	}
	for _, k := range in.Remove {
		s.remove(k)
	}
	s.wake()
	if s.loseWrites {
		panic(http.ErrAbortHandler)
	}
	reply(w, http.StatusOK, map[string]any{"rev": s.rev})
}

// value returns the value of the first key with prefix that has one.
func (s *store) value(prefix string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := ""
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && (first == "" || k < first) {
			first = k
		}
	}
	if first == "" {
		return nil
	}
	return s.items[first].Value
}
