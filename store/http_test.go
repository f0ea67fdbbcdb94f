package store

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestHTTPDriverConformsToPublishedProtocol compares requests and answers with literal messages, to
// find faults that the driver and the emulator have in common. In base64, "a" is YQ== and "1" is MQ==.
func TestHTTPDriverConformsToPublishedProtocol(t *testing.T) {
	tests := map[string]struct {
		call               func(ctx context.Context, d Driver) (any, error)
		path, body, answer string
		want               any
		err                error
	}{
		"get": {
			func(ctx context.Context, d Driver) (any, error) { return d.Get(ctx, "a") },
			"/v3/kv/range", `{"key":"YQ=="}`,
			`{"header":{"cluster_id":"14841639068965178418","member_id":"10276657743932975437","revision":"9","raft_term":"2"},` +
				`"kvs":[{"key":"YQ==","create_revision":"2","mod_revision":"7","version":"2","value":"MQ=="}],"count":"1"}`,
			Value{Key: "a", Data: []byte("1"), Revision: 7},
			nil,
		},
		"get of an absent key": {
			func(ctx context.Context, d Driver) (any, error) { return d.Get(ctx, "a") },
			"/v3/kv/range", `{"key":"YQ=="}`, `{"header":{"revision":"9"}}`,
			Value{Key: "a"},
			nil,
		},
		"list": {
			func(ctx context.Context, d Driver) (any, error) { return d.List(ctx, "a") },
			"/v3/kv/range", `{"key":"YQ==","range_end":"Yg=="}`,
			`{"kvs":[{"key":"YQ==","mod_revision":"7","value":"MQ=="}],"count":"1"}`,
			[]Value{{Key: "a", Data: []byte("1"), Revision: 7}},
			nil,
		},
		"swap": {
			func(ctx context.Context, d Driver) (any, error) { return d.Swap(ctx, "a", 7, []byte("1"), 5) },
			"/v3/kv/txn",
			`{"compare":[{"result":"EQUAL","target":"MOD","key":"YQ==","mod_revision":"7"}],` +
				`"success":[{"request_put":{"key":"YQ==","value":"MQ==","lease":"5"}}],` +
				`"failure":[{"request_range":{"key":"YQ=="}}]}`,
			`{"header":{"revision":"10"},"succeeded":true,"responses":[{"response_put":{"header":{"revision":"10"}}}]}`,
			Value{Key: "a", Data: []byte("1"), Revision: 10},
			nil,
		},
		"swap of an absent key compares with revision 0": {
			func(ctx context.Context, d Driver) (any, error) { return d.Swap(ctx, "a", 0, []byte("1"), 0) },
			"/v3/kv/txn",
			`{"compare":[{"result":"EQUAL","target":"MOD","key":"YQ==","mod_revision":"0"}],` +
				`"success":[{"request_put":{"key":"YQ==","value":"MQ=="}}],` +
				`"failure":[{"request_range":{"key":"YQ=="}}]}`,
			`{"header":{"revision":"10"},"responses":[{"response_range":{"kvs":[{"key":"YQ==","mod_revision":"8"}],"count":"1"}}]}`,
			Value{Key: "a", Revision: 8},
			ErrConflict,
		},
		"delete": {
			func(ctx context.Context, d Driver) (any, error) { return nil, d.Delete(ctx, "a", 0) },
			"/v3/kv/deleterange", `{"key":"YQ=="}`, `{"header":{"revision":"10"},"deleted":"1"}`, nil, nil,
		},
		"delete of a revision": {
			func(ctx context.Context, d Driver) (any, error) { return nil, d.Delete(ctx, "a", 7) },
			"/v3/kv/txn",
			`{"compare":[{"result":"EQUAL","target":"MOD","key":"YQ==","mod_revision":"7"}],` +
				`"success":[{"request_delete_range":{"key":"YQ=="}}],"failure":[{"request_range":{"key":"YQ=="}}]}`,
			`{"header":{"revision":"10"}}`, nil, ErrConflict,
		},
		"grant rounds up to whole seconds": {
			func(ctx context.Context, d Driver) (any, error) { return d.Grant(ctx, 1500*time.Millisecond) },
			"/v3/lease/grant", `{"TTL":"2"}`, `{"header":{"revision":"9"},"ID":"7587862094816345095","TTL":"2"}`,
			LeaseID(7587862094816345095), nil,
		},
		"renew": {
			func(ctx context.Context, d Driver) (any, error) { return nil, d.Renew(ctx, 5) },
			"/v3/lease/keepalive", `{"ID":"5"}`, `{"result":{"header":{"revision":"9"},"ID":"5","TTL":"2"}}`, nil, nil,
		},
		"renew of a lease that ended": {
			func(ctx context.Context, d Driver) (any, error) { return nil, d.Renew(ctx, 5) },
			"/v3/lease/keepalive", `{"ID":"5"}`, `{"result":{"header":{"revision":"9"},"ID":"5"}}`, nil, ErrLeaseLost,
		},
		"revoke": {
			func(ctx context.Context, d Driver) (any, error) { return nil, d.Revoke(ctx, 5) },
			"/v3/lease/revoke", `{"ID":"5"}`, `{"header":{"revision":"9"}}`, nil, nil,
		},
		"watch takes the last of several events": {
			func(ctx context.Context, d Driver) (any, error) { return d.Watch(ctx, "a", Position{Revision: 6}) },
			"/v3/watch", `{"create_request":{"key":"YQ==","start_revision":"7"}}`,
			`{"result":{"header":{"revision":"9"},"created":true}}` + "\n" +
				`{"result":{"events":[{"type":"DELETE","kv":{"key":"YQ==","mod_revision":"7"}},` +
				`{"kv":{"key":"YQ==","mod_revision":"8","value":"MQ=="}}]}}`,
			Value{Key: "a", Data: []byte("1"), Revision: 8},
			nil,
		},
		"watch that the store cancels": {
			func(ctx context.Context, d Driver) (any, error) { return d.Watch(ctx, "a", Position{Revision: 6}) },
			"/v3/watch", `{"create_request":{"key":"YQ==","start_revision":"7"}}`,
			`{"result":{"created":true,"canceled":true}}`,
			Value{},
			ErrUnavailable,
		},
		"truncated answer": {
			func(ctx context.Context, d Driver) (any, error) { return d.Swap(ctx, "a", 7, []byte("1"), 0) },
			"/v3/kv/txn",
			`{"compare":[{"result":"EQUAL","target":"MOD","key":"YQ==","mod_revision":"7"}],` +
				`"success":[{"request_put":{"key":"YQ==","value":"MQ=="}}],` +
				`"failure":[{"request_range":{"key":"YQ=="}}]}`,
			`{"header":{"revi`,
			Value{},
			ErrUnknown,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				body, err := io.ReadAll(r.Body)
				is.NoErr(err)
				is.Equal(r.Method+" "+r.URL.Path, "POST "+tt.path)
				is.Equal(string(body), tt.body)
				fmt.Fprintln(w, tt.answer)
				if tt.path == "/v3/lease/keepalive" {
					is.NoErr(http.NewResponseController(w).Flush())
					<-r.Context().Done() // keep the stream open until the client closes it
				}
			}))
			defer srv.Close()
			got, err := tt.call(t.Context(), NewHTTP(srv.URL+"/", srv.Client()))
			is.True(errors.Is(err, tt.err))
			is.Equal(got, tt.want)
		})
	}
}

// TestHTTPDriverTakesTheEraFromTheHeader guards against a driver that orders the changes of a restored store by
// revision, and against one that needs the header, which a store may not send.
func TestHTTPDriverTakesTheEraFromTheHeader(t *testing.T) {
	const absent, present = `{}`, `{"kvs":[{"key":"YQ==","mod_revision":"7"}]}`
	tests := map[string]struct {
		header, answer string
		want           Value
	}{
		"stated":           {"3", present, Value{Key: "a", Revision: 7, Era: 3}},
		"stated, no key":   {"3", absent, Value{Key: "a", Era: 3}},
		"not stated":       {"", present, Value{Key: "a", Revision: 7}},
		"not a number":     {"x", present, Value{Key: "a", Revision: 7}},
		"out of its range": {"99999999999999999999", present, Value{Key: "a", Revision: 7}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if tt.header != "" {
					w.Header().Set("Store-Era", tt.header)
				}
				fmt.Fprintln(w, tt.answer)
			}))
			defer srv.Close()
			d := NewHTTP(srv.URL, srv.Client())
			got, err := d.Get(t.Context(), "a")
			is.NoErr(err)
			is.Equal(got, tt.want)
			is.Equal(d.Era(), tt.want.Era)
		})
	}
}

func TestHTTPDriverReportsNotRunOnlyIfCertain(t *testing.T) {
	tests := map[string]struct {
		status int
		body   string
		want   error
	}{
		"request too large": {400, `{"error":"etcdserver: request is too large","code":3,"message":"etcdserver: request is too large"}`, ErrTooLarge},
		"lease not found":   {404, `{"error":"etcdserver: requested lease not found","code":5,"message":"etcdserver: requested lease not found"}`, ErrLeaseLost},
		"too many requests": {429, `{"error":"etcdserver: too many requests","code":8,"message":"etcdserver: too many requests"}`, ErrUnavailable},
		"no leader":         {503, `{"error":"etcdserver: no leader","code":14,"message":"etcdserver: no leader"}`, ErrUnavailable},
		"timeout after the proposal, which may still be applied": {
			503, `{"error":"etcdserver: request timed out","code":14,"message":"etcdserver: request timed out"}`, ErrUnknown,
		},
		"path not found":          {404, `404 page not found`, ErrUnknown},
		"answer that is not JSON": {502, `<html>Bad Gateway</html>`, ErrUnknown},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(tt.status)
				fmt.Fprintln(w, tt.body)
			}))
			defer srv.Close()
			_, err := NewHTTP(srv.URL, srv.Client()).Swap(t.Context(), "a", 0, nil, 0)
			is.True(errors.Is(err, tt.want))
		})
	}
	t.Run("connection refused", func(t *testing.T) {
		is := is.New(t)
		srv := httptest.NewServer(nil)
		srv.Close()
		_, err := NewHTTP(srv.URL, http.DefaultClient).Swap(t.Context(), "a", 0, nil, 0)
		is.True(errors.Is(err, ErrUnavailable))
	})
}
