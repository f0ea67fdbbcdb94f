package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	optionsTime  = 10 * time.Second
	optionsEvery = 500 * time.Millisecond
)

// playOptions checks MIXED. Beside the usual requests, one client at each machine asks for the options of the server as a whole,
// which is a request that no route matches; without the disruption it asks for those of a path that a route matches.
func playOptions(f *fleet, trouble bool) error {
	if err := f.startSchool(); err != nil {
		return err
	}
	at := "*"
	if !trouble {
		at = schoolRoutes[2].prefix() + "x"
	}
	ctx, cancel := context.WithTimeout(context.Background(), optionsTime)
	defer cancel()
	var wg sync.WaitGroup
	usual, options := newCounts(), newCounts()
	var mu sync.Mutex
	var unstamped []string
	for i, m := range f.machines {
		wg.Go(func() { f.steadyClient(ctx, m, &schoolRoutes[2], fmt.Sprintf("c%d", i), usual) })
		wg.Go(func() {
			for k := 0; ctx.Err() == nil; k++ {
				id := fmt.Sprintf("o%d-%d", i, k)
				res := m.options(&schoolRoutes[2], at, id)
				options.add(res.status)
				f.rec.logf("client at %s: OPTIONS %s %s, answered %d, stamp %q, body %q %v", m.name, at, id, res.status, res.stamp, res.body, res.err)
				if res.status/100 == 2 && res.stamp == "" {
					mu.Lock()
					unstamped = append(unstamped, id)
					mu.Unlock()
				}
				select {
				case <-ctx.Done():
				case <-time.After(optionsEvery):
				}
			}
		})
	}
	wg.Wait()
	all, ran := options.take(), 0
	for _, m := range f.machines {
		for _, a := range m.target.after(time.Time{}) {
			if a.method == http.MethodOptions {
				ran++
			}
		}
	}
	f.rec.logf("usual requests by status: %v; OPTIONS %s by status: %v, of which %d reached a target", usual.take(), at, all, ran)
	if delete(all, 0); len(all) == 0 { // 0: without an answer
		return errors.New("no OPTIONS request was answered")
	}
	if len(unstamped) > 0 {
		return fmt.Errorf("%w: MIXED: %d requests got a 2xx without the stamp of a target, though %d reached one", errBroken, len(unstamped), ran)
	}
	return nil
}

// options sends an OPTIONS request whose target is at.
func (m *machine) options(r *route, at, id string) result {
	c, err := net.DialTimeout("tcp", m.addr(m.f.ports.callers), time.Second)
	if err != nil {
		return result{err: err}
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(2 * time.Second)); err != nil {
		return result{err: err}
	}
	if _, err := fmt.Fprintf(c, "OPTIONS %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 2000\r\n\r\n", at, r.host(), headerRequest, id, headerDeadline); err != nil {
		return result{err: err}
	}
	res, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodOptions})
	if err != nil {
		return result{err: err}
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return result{err: err}
	}
	return result{status: res.StatusCode, stamp: res.Header.Get(headerStamp), body: b}
}
