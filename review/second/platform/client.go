package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// answer is what a client attempt got; status 0: a closed connection or no answer.
type answer struct {
	id      string
	sent    time.Time
	took    time.Duration
	status  int
	stamp   string
	body    string
	err     error
	machine *machine
}

var lastID atomic.Int64

func newID() string { return fmt.Sprintf("%016x", 0x9c41d07b00000000+uint64(lastID.Add(1))) }

// send sends one client attempt to the outbound address of m, on a new connection.
func send(rec *record, m *machine, method, host, path string, deadline time.Duration) answer {
	return sendWithKey(rec, m, method, host, path, "", deadline)
}

// sendWithKey is send with the key of a tenant; empty: none.
func sendWithKey(rec *record, m *machine, method, host, path, key string, deadline time.Duration) answer {
	a := answer{id: newID(), sent: time.Now(), machine: m}
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("body of " + a.id)
	}
	req, err := http.NewRequest(method, "http://"+m.callers+path, body)
	if err != nil {
		a.err = err
		return a
	}
	req.Host = host
	req.Header.Set(hdrID, a.id)
	req.Header.Set(hdrDeadline, fmt.Sprint(deadline.Milliseconds()))
	if key != "" {
		req.Header.Set("Authorization", "Token "+key)
	}
	c := http.Client{Timeout: deadline + 500*time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	rec.log("sent      id=%s %s %s%s to %s key=%q", a.id, method, host, path, m.name, key)
	res, err := c.Do(req)
	if err == nil {
		var b []byte
		b, err = io.ReadAll(res.Body)
		res.Body.Close()
		a.status, a.stamp, a.body = res.StatusCode, res.Header.Get(hdrStamp), string(b)
	}
	a.err, a.took = err, time.Since(a.sent)
	rec.log("answered  id=%s status=%d stamp=%q err=%v", a.id, a.status, a.stamp, a.err)
	return a
}
