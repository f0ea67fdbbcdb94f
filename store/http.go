package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// gatewayDriver implements a Driver with the etcd v3 JSON gateway protocol.
type gatewayDriver struct {
	base   string
	client *http.Client
	eras   EraTracker
}

// NewHTTP returns a Driver for a store that serves the etcd v3 JSON gateway at the URL base. client
// must have no timeout of its own, because watches block; the contexts of the calls set the deadlines.
func NewHTTP(base string, client *http.Client) Driver {
	d := &gatewayDriver{base: strings.TrimSuffix(base, "/"), client: client}
	return Driver{
		Get: d.get, List: d.list, Swap: d.swap, Delete: d.remove,
		Grant: d.grant, Renew: d.renew, Revoke: d.revoke, Watch: d.watch, Era: d.eras.Era,
	}
}

func (d *gatewayDriver) get(ctx context.Context, key string) (Value, error) {
	var ans GatewayRangeResponse
	era, err := d.post(ctx, "/v3/kv/range", GatewayRange{Key: []byte(key)}, &ans)
	if err != nil {
		return Value{}, err
	}
	return firstValue(key, ans.KVs, era), nil
}

func firstValue(key string, kvs []GatewayKV, e Era) Value {
	if len(kvs) == 0 {
		return Value{Key: key, Era: e}
	}
	return kvs[0].value(e)
}

func (kv GatewayKV) value(e Era) Value {
	return Value{Key: string(kv.Key), Data: kv.Value, Revision: kv.ModRevision, Era: e}
}

func (d *gatewayDriver) list(ctx context.Context, prefix string) ([]Value, error) {
	var ans GatewayRangeResponse
	req := GatewayRange{Key: []byte(prefix), RangeEnd: prefixEnd(prefix)}
	if prefix == "" {
		req.Key = []byte{0}
	}
	era, err := d.post(ctx, "/v3/kv/range", req, &ans)
	if err != nil {
		return nil, err
	}
	out := make([]Value, 0, len(ans.KVs))
	for _, kv := range ans.KVs {
		out = append(out, kv.value(era))
	}
	return out, nil
}

// prefixEnd returns the end of the key range that holds all keys with the prefix, exclusive. A
// single zero byte means the end of the key space.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}

func (d *gatewayDriver) swap(ctx context.Context, key string, revision int64, data []byte, lease LeaseID) (Value, error) {
	if len(data) > MaxValue {
		return Value{}, fmt.Errorf("%w: %d bytes", ErrTooLarge, len(data))
	}
	ans, era, err := d.txn(ctx, key, revision, GatewayOp{Put: &GatewayPut{Key: []byte(key), Value: data, Lease: int64(lease)}})
	if err != nil {
		return Value{}, err
	}
	if ans.Succeeded {
		return Value{Key: key, Data: data, Revision: ans.Header.Revision, Era: era}, nil
	}
	cur := Value{Key: key, Era: era}
	if len(ans.Responses) > 0 && ans.Responses[0].Range != nil {
		cur = firstValue(key, ans.Responses[0].Range.KVs, era)
	}
	return cur, fmt.Errorf("%w: key %s is at revision %d, not %d", ErrConflict, key, cur.Revision, revision)
}

// txn runs o if key is at revision, else it reads key, in one transaction.
func (d *gatewayDriver) txn(ctx context.Context, key string, revision int64, o GatewayOp) (GatewayTxnResponse, Era, error) {
	var ans GatewayTxnResponse
	req := GatewayTxn{
		Compare: []GatewayCompare{{
			Result: GatewayResultEqual, Target: GatewayTargetMod, Key: []byte(key), ModRevision: revision,
		}},
		Success: []GatewayOp{o},
		Failure: []GatewayOp{{Range: &GatewayRange{Key: []byte(key)}}},
	}
	era, err := d.post(ctx, "/v3/kv/txn", req, &ans)
	return ans, era, err
}

func (d *gatewayDriver) remove(ctx context.Context, key string, revision int64) error {
	req := GatewayDelete{Key: []byte(key)}
	if revision == 0 {
		_, err := d.post(ctx, "/v3/kv/deleterange", req, &GatewayDeleteResponse{})
		return err
	}
	ans, _, err := d.txn(ctx, key, revision, GatewayOp{Delete: &req})
	if err != nil {
		return err
	}
	if !ans.Succeeded {
		return fmt.Errorf("%w: key %s is not at revision %d", ErrConflict, key, revision)
	}
	return nil
}

func (d *gatewayDriver) grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	// A lease that lasts longer than requested is safe, because the owner measures the ttl itself.
	seconds := int64((ttl + time.Second - 1) / time.Second)
	var ans GatewayLease
	if _, err := d.post(ctx, "/v3/lease/grant", GatewayLease{TTL: seconds}, &ans); err != nil {
		return 0, err
	}
	return LeaseID(ans.ID), nil
}

func (d *gatewayDriver) renew(ctx context.Context, id LeaseID) error {
	const path = "/v3/lease/keepalive"
	res, err := d.send(ctx, path, GatewayLease{ID: int64(id)})
	if err != nil {
		return err
	}
	// The answer is a stream, which the store may keep open after the first message.
	defer res.Body.Close()
	var ans GatewayKeepAlive
	if err := json.NewDecoder(res.Body).Decode(&ans); err != nil {
		return fmt.Errorf("%w: read answer of %s: %w", ErrUnknown, path, err)
	}
	if ans.Error != nil {
		return fmt.Errorf("%w: keepalive of lease %s: %s", ErrUnknown, id, ans.Error.Message)
	}
	if ans.Result.TTL <= 0 {
		return fmt.Errorf("%w: lease %s", ErrLeaseLost, id)
	}
	return nil
}

func (d *gatewayDriver) revoke(ctx context.Context, id LeaseID) error {
	_, err := d.post(ctx, "/v3/lease/revoke", GatewayLease{ID: int64(id)}, &struct{}{})
	return err
}

func (d *gatewayDriver) watch(ctx context.Context, key string, after Position) (Value, error) {
	from := after
	for {
		v, err := d.watchFrom(ctx, key, from)
		if !errors.Is(err, ErrCompacted) {
			return v, err
		}
		// The store no longer has the events after the position, so read the current state of the key.
		var ans GatewayRangeResponse
		era, err := d.post(ctx, "/v3/kv/range", GatewayRange{Key: []byte(key)}, &ans)
		if err != nil {
			return Value{}, err
		}
		v = firstValue(key, ans.KVs, era)
		if after.IsPassedBy(v) {
			return v, nil
		}
		from = Position{Era: era, Revision: ans.Header.Revision}
	}
}

// watchFrom waits for an event of key after a position. It returns ErrCompacted if the store no longer has the events
// after it, or is in another era.
func (d *gatewayDriver) watchFrom(ctx context.Context, key string, after Position) (Value, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	res, err := d.send(ctx, "/v3/watch", GatewayWatch{GatewayWatchCreate{Key: []byte(key), StartRevision: after.Revision + 1}})
	if err != nil {
		return Value{}, err
	}
	defer res.Body.Close()
	era := ParseEra(res.Header)
	if era != after.Era {
		return Value{}, fmt.Errorf("%w: position %s, the store is in era %d", ErrCompacted, after, era)
	}
	dec := json.NewDecoder(res.Body)
	for {
		var m GatewayWatchMessage
		if err := dec.Decode(&m); err != nil {
			return Value{}, fmt.Errorf("watch %s: %w", key, err)
		}
		if m.Error != nil {
			return Value{}, fmt.Errorf("%w: watch %s: %s", ErrUnavailable, key, m.Error.Message)
		}
		if m.Result.Canceled {
			if m.Result.CompactRevision > 0 {
				return Value{}, fmt.Errorf("%w: watch %s after %s", ErrCompacted, key, after)
			}
			return Value{}, fmt.Errorf("%w: watch %s cancelled by the store", ErrUnavailable, key)
		}
		if n := len(m.Result.Events); n > 0 {
			ev := m.Result.Events[n-1]
			if ev.Type == GatewayEventDelete {
				return Value{Key: key, Era: era}, nil
			}
			return ev.KV.value(era), nil
		}
	}
}

// post sends req and decodes the answer, one JSON value, into ans. It returns the era of the answer.
func (d *gatewayDriver) post(ctx context.Context, path string, req, ans any) (Era, error) {
	res, err := d.send(ctx, path, req)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	if err := json.NewDecoder(res.Body).Decode(ans); err != nil {
		return 0, fmt.Errorf("%w: read answer of %s: %w", ErrUnknown, path, err)
	}
	// The connection is reused only if the body is read to its end.
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, 4096))
	return ParseEra(res.Header), nil
}

func (d *gatewayDriver) send(ctx context.Context, path string, req any) (*http.Response, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, fmt.Errorf("encode request of %s: %w", path, err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, d.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	r.Header.Set("Content-Type", "application/json")
	res, err := d.client.Do(r)
	if err != nil {
		return nil, ClassifySendError(path, err)
	}
	d.eras.Observe(ParseEra(res.Header))
	if res.StatusCode == http.StatusOK {
		return res, nil
	}
	defer res.Body.Close()
	var e GatewayError
	if err := json.NewDecoder(io.LimitReader(res.Body, 1<<16)).Decode(&e); err != nil {
		return nil, fmt.Errorf("%w: %s: status %s", ErrUnknown, path, res.Status)
	}
	return nil, e.asError(path)
}

// ClassifySendError classifies the error of an HTTP request to path that got no response: ErrUnavailable if
// dialling failed, so that the store cannot have received the request, else ErrUnknown.
func ClassifySendError(path string, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %s: %w", ErrUnavailable, path, err)
	}
	return fmt.Errorf("%w: %s: %w", ErrUnknown, path, err)
}

// asError maps an error of the store to the errors of this package. Errors that do not rule out that
// a write took effect, such as a timeout within the store, become ErrUnknown.
func (e GatewayError) asError(path string) error {
	text := e.Message
	if text == "" {
		text = e.Error
	}
	kind := ErrUnknown
	switch {
	case e.Code == GatewayNotFound && strings.Contains(text, "lease"):
		kind = ErrLeaseLost
	case e.Code == GatewayInvalidArgument && strings.Contains(text, "too large"):
		kind = ErrTooLarge
	case e.Code == GatewayResourceExhausted, text == GatewayTextNoLeader:
		kind = ErrUnavailable
	}
	return fmt.Errorf("%w: %s: %s", kind, path, text)
}
