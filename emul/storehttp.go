package emul

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/marjoramcroft/marjoramcroft/store"
)

// Handler returns an http.Handler that serves s over the subset of the etcd v3 JSON gateway
// protocol which store.NewHTTP uses.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/range", serve(s.serveRange))
	mux.HandleFunc("POST /v3/kv/txn", serve(s.serveTxn))
	mux.HandleFunc("POST /v3/kv/deleterange", serve(s.serveDelete))
	mux.HandleFunc("POST /v3/lease/grant", serve(s.serveGrant))
	mux.HandleFunc("POST /v3/lease/keepalive", serve(s.serveKeepAlive))
	mux.HandleFunc("POST /v3/lease/revoke", serve(s.serveRevoke))
	mux.HandleFunc("POST /v3/watch", s.serveWatch)
	return s.stateEra(mux)
}

// stateEra adds the era to each answer. An answer to a call during which the store was restored is lost.
func (s *Store) stateEra(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		era := s.Era()
		w.Header().Set(store.HeaderEra, era.String())
		next.ServeHTTP(&eraWriter{ResponseWriter: w, s: s, era: era}, r)
	})
}

// errNotSupported rejects requests outside the subset.
var errNotSupported = errors.New("request not supported")

// serve decodes a request, calls f and encodes its answer. If the answer is lost, it aborts the
// connection.
func serve[Req, Ans any](f func(context.Context, Req) (Ans, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var req Req
		if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
			writeError(w, http.StatusBadRequest, store.GatewayInvalidArgument, err.Error())
			return
		}
		ans, err := f(r.Context(), req)
		if err != nil {
			writeStoreError(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(ans) // an error means that the client has disconnected
	}
}

func writeStoreError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, store.ErrLeaseLost):
		writeError(w, http.StatusNotFound, store.GatewayNotFound, store.GatewayTextNoLease)
	case errors.Is(err, store.ErrTooLarge):
		writeError(w, http.StatusBadRequest, store.GatewayInvalidArgument, store.GatewayTextTooLarge)
	case errors.Is(err, store.ErrUnavailable):
		writeError(w, http.StatusServiceUnavailable, store.GatewayUnavailable, store.GatewayTextNoLeader)
	case errors.Is(err, errNotSupported):
		writeError(w, http.StatusBadRequest, store.GatewayInvalidArgument, err.Error())
	default:
		panic(http.ErrAbortHandler)
	}
}

func writeError(w http.ResponseWriter, status, code int, text string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(store.GatewayError{Error: text, Code: code, Message: text})
}

func (s *Store) header() store.GatewayHeader {
	return store.GatewayHeader{Revision: s.Revision()}
}

func gatewayKV(v store.Value) store.GatewayKV {
	return store.GatewayKV{Key: []byte(v.Key), Value: v.Data, ModRevision: v.Revision}
}

func (s *Store) serveRange(ctx context.Context, req store.GatewayRange) (store.GatewayRangeResponse, error) {
	var ans store.GatewayRangeResponse
	if len(req.RangeEnd) == 0 {
		v, err := s.get(ctx, string(req.Key))
		if err == nil && v.Revision > 0 {
			ans.KVs = append(ans.KVs, gatewayKV(v))
		}
		ans.Header, ans.Count = s.header(), int64(len(ans.KVs))
		return ans, err
	}
	vs, err := s.list(ctx, "")
	for _, v := range vs {
		if v.Key >= string(req.Key) && (string(req.RangeEnd) == "\x00" || v.Key < string(req.RangeEnd)) {
			ans.KVs = append(ans.KVs, gatewayKV(v))
		}
	}
	ans.Header, ans.Count = s.header(), int64(len(ans.KVs))
	return ans, err
}

// serveTxn runs a transaction with one comparison of a key's mod_revision, one write of that
// key on success and at most one read of it on failure.
func (s *Store) serveTxn(ctx context.Context, req store.GatewayTxn) (store.GatewayTxnResponse, error) {
	var ans store.GatewayTxnResponse
	if len(req.Compare) != 1 || len(req.Success) != 1 || len(req.Failure) > 1 {
		return ans, errNotSupported
	}
	cmp, op := req.Compare[0], req.Success[0]
	if cmp.Target != store.GatewayTargetMod || (cmp.Result != "" && cmp.Result != store.GatewayResultEqual) {
		return ans, errNotSupported
	}
	key := string(cmp.Key)
	var cur store.Value
	var err error
	switch {
	case op.Put != nil && string(op.Put.Key) == key:
		cur, err = s.swap(ctx, key, cmp.ModRevision, op.Put.Value, store.LeaseID(op.Put.Lease))
	case op.Delete != nil && string(op.Delete.Key) == key && cmp.ModRevision > 0:
		cur, err = s.compareAndDelete(ctx, key, cmp.ModRevision)
	default:
		return ans, errNotSupported
	}
	switch {
	case err == nil:
		ans.Succeeded, ans.Header.Revision = true, cur.Revision
		ans.Responses = []store.GatewayOpResponse{{}}
		return ans, nil
	case !errors.Is(err, store.ErrConflict):
		return ans, err
	}
	ans.Header = s.header()
	if len(req.Failure) == 1 && req.Failure[0].Range != nil {
		read := store.GatewayRangeResponse{Header: ans.Header}
		if cur.Revision > 0 {
			read.KVs, read.Count = []store.GatewayKV{gatewayKV(cur)}, 1
		}
		ans.Responses = []store.GatewayOpResponse{{Range: &read}}
	}
	return ans, nil
}

func (s *Store) compareAndDelete(ctx context.Context, key string, revision int64) (store.Value, error) {
	return store.Value{Key: key, Revision: s.Revision()}, s.deleteKey(ctx, key, revision)
}

func (s *Store) serveDelete(ctx context.Context, req store.GatewayDelete) (store.GatewayDeleteResponse, error) {
	err := s.deleteKey(ctx, string(req.Key), 0)
	return store.GatewayDeleteResponse{Header: s.header()}, err
}

func (s *Store) serveGrant(ctx context.Context, req store.GatewayLease) (store.GatewayLease, error) {
	id, err := s.grantLease(ctx, time.Duration(req.TTL)*time.Second)
	return store.GatewayLease{ID: int64(id), TTL: req.TTL}, err
}

func (s *Store) serveKeepAlive(ctx context.Context, req store.GatewayLease) (store.GatewayKeepAlive, error) {
	err := s.renewLease(ctx, store.LeaseID(req.ID))
	if errors.Is(err, store.ErrLeaseLost) {
		return store.GatewayKeepAlive{Result: store.GatewayLease{ID: req.ID}}, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var ttl int64
	if l, ok := s.leases[store.LeaseID(req.ID)]; ok {
		ttl = int64(l.ttl / time.Second)
	}
	return store.GatewayKeepAlive{Result: store.GatewayLease{ID: req.ID, TTL: ttl}}, err
}

func (s *Store) serveRevoke(ctx context.Context, req store.GatewayLease) (struct{}, error) {
	return struct{}{}, s.revokeLease(ctx, store.LeaseID(req.ID))
}

// serveWatch streams the changes of one key.
func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	var req store.GatewayWatch
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		writeError(w, http.StatusBadRequest, store.GatewayInvalidArgument, err.Error())
		return
	}
	ctx, key := r.Context(), string(req.Create.Key)
	if err := s.admit(ctx, "Watch", s.reads); err != nil {
		writeStoreError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	enc, out := json.NewEncoder(w), http.NewResponseController(w)
	send := func(res store.GatewayWatchResult) bool {
		return enc.Encode(store.GatewayWatchMessage{Result: res}) == nil && out.Flush() == nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	next := req.Create.StartRevision
	if next <= 0 {
		next = s.revision + 1
	}
	s.watching++
	defer func() { s.watching-- }()
	if !s.unlocked(func() bool { return send(store.GatewayWatchResult{Created: true}) }) {
		return
	}
	era := store.ParseEra(w.Header())
	for {
		if s.era != era {
			return
		}
		res := store.GatewayWatchResult{Header: store.GatewayHeader{Revision: s.revision}}
		if next <= s.compacted {
			res.Canceled, res.CompactRevision = true, s.compacted
			s.unlocked(func() bool { return send(res) })
			return
		}
		if s.outage == NoOutage {
			res.Events = s.events(key, next)
			next = s.revision + 1
			if len(res.Events) > 0 {
				if !s.unlocked(func() bool { return send(res) }) {
					return
				}
				continue // the key may have changed while mu was not held
			}
		}
		if err := s.wait(ctx, key); err != nil {
			return
		}
	}
}

// unlocked releases mu, which the caller holds, while it calls f.
func (s *Store) unlocked(f func() bool) bool {
	s.mu.Unlock()
	defer s.mu.Lock()
	return f()
}

// events returns the kept changes of key from a revision on. The caller holds mu.
func (s *Store) events(key string, from int64) []store.GatewayEvent {
	var out []store.GatewayEvent
	for _, c := range s.log {
		if c.key != key || c.entry.revision < from {
			continue
		}
		ev := store.GatewayEvent{KV: store.GatewayKV{Key: []byte(key), ModRevision: c.entry.revision}}
		if c.deleted {
			ev.Type = store.GatewayEventDelete
		} else {
			ev.KV.Value = c.entry.data
		}
		out = append(out, ev)
	}
	return out
}
