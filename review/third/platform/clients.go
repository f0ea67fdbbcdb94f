package main

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"sync"
	"time"
)

// counts counts answers by status; 0: no answer.
type counts struct {
	mu sync.Mutex
	n  map[int]int
}

func newCounts() *counts { return &counts{n: map[int]int{}} }

func (c *counts) add(status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n[status]++
}

// take returns the counts so far and resets them.
func (c *counts) take() map[int]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := maps.Clone(c.n)
	clear(c.n)
	return out
}

// steadyClient sends some ten requests a second, one after the other, without retries.
func (f *fleet) steadyClient(ctx context.Context, m *machine, r *route, name string, c *counts) {
	method := http.MethodGet
	if r.kind == "unsafe" {
		method = http.MethodPost
	}
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("%s-%d", name, i)
		res := m.call(r, method, id, time.Duration(r.timeout*float64(time.Second)), nil, nil)
		c.add(res.status)
		f.rec.logf("client at %s: %s %s, answered %d", m.name, method, id, res.status)
		select {
		case <-ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
	}
}
