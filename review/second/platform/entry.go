package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// kept is a client that sends its requests over one kept connection.
type kept struct {
	m    *machine
	nc   net.Conn
	r    *bufio.Reader
	used int // answers on the connection
}

// errNoConn means that no connection could be opened, so that nothing was sent.
var errNoConn = errors.New("no connection")

// try sends a GET request and reads its answer. used is the number of answers that the connection had carried before.
func (k *kept) try(rec *record, host, path string, deadline time.Duration) (id string, status, used int, err error) {
	id = newID()
	if k.nc == nil {
		nc, err := net.DialTimeout("tcp", k.m.callers, time.Second)
		if err != nil {
			return id, 0, 0, fmt.Errorf("%w: %w", errNoConn, err)
		}
		k.nc, k.r, k.used = nc, bufio.NewReader(nc), 0
	}
	used = k.used
	_ = k.nc.SetDeadline(time.Now().Add(deadline + 500*time.Millisecond))
	rec.log("sent      id=%s GET %s%s to %s on a connection with %d answers", id, host, path, k.m.name, used)
	_, err = fmt.Fprintf(k.nc, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n\r\n", path, host, hdrID, id, hdrDeadline, deadline.Milliseconds())
	var res *http.Response
	if err == nil {
		res, err = http.ReadResponse(k.r, nil)
	}
	if err == nil {
		status = res.StatusCode
		_, err = io.Copy(io.Discard, res.Body)
	}
	rec.log("answered  id=%s status=%d err=%v", id, status, err)
	k.used++
	if err != nil || res.Close {
		_ = k.nc.Close()
		k.nc = nil
	}
	return id, status, used, err
}

// withNilTime returns a daemon's entry with the value of its field WarmAt, a msgpack timestamp, replaced by nil.
func withNilTime(entry []byte) ([]byte, bool) {
	field := []byte("\xa6WarmAt")
	i := bytes.Index(entry, field)
	if i < 0 || i+len(field)+2 > len(entry) {
		return nil, false
	}
	i += len(field)
	n := map[byte]int{0xd6: 6, 0xd7: 10, 0xc7: 15}[entry[i]]
	if n == 0 || i+n > len(entry) {
		return nil, false
	}
	out := append([]byte{}, entry[:i]...)
	return append(append(out, 0xc0), entry[i+n:]...), true
}

func init() { cases["entry"] = caseEntry }

// caseEntry checks LOST: an entry of another writer, with a field of another type, names no target to use, and the others hold.
func caseEntry(rec *record, dir string, trouble bool) error {
	st, err := startStore()
	if err != nil {
		return err
	}
	st.put("op/config", config(7, []string{"bookings", "registry"}, [][5]string{{"r-check", "seats.example", "/check/", "safe", "bookings"}}))
	var ms []*machine
	var ts []*target
	for i, m := range []struct{ zone, region, service string }{
		{"riga-a", "riga", "bookings"}, {"riga-b", "riga", "bookings"}, {"dgp-a", "daugavpils", "bookings"}, {"dgp-b", "daugavpils", "registry"},
	} {
		vm, err := newMachine(dir, i, m.zone, m.region, m.service, st.addr)
		if err != nil {
			return err
		}
		ms = append(ms, vm)
		if err := vm.start(); err != nil {
			return err
		}
		defer vm.kill()
		t := newTarget(rec, fmt.Sprintf("i-%d%08x", i, 0x7f3a91c2), m.service, m.zone, vm.control, vm.appLn)
		t.work = 150 * time.Millisecond
		ts = append(ts, t)
	}
	if err := awaitReady(ms, 15*time.Second); err != nil {
		return err
	}
	for _, t := range ts {
		t.startBeats()
	}
	time.Sleep(6 * time.Second)

	var stop atomic.Bool
	var mu sync.Mutex
	var wg sync.WaitGroup
	served, lost := 0, map[string][]string{} // ids by machine
	for _, m := range ms {
		for range 6 {
			wg.Go(func() {
				for k := (&kept{m: m}); !stop.Load(); time.Sleep(20 * time.Millisecond) {
					id, status, used, err := k.try(rec, "seats.example", "/check/1", 1200*time.Millisecond)
					mu.Lock()
					if status == http.StatusOK {
						served++
					}
					if err != nil && !errors.Is(err, errNoConn) && used > 0 {
						lost[m.name] = append(lost[m.name], id)
					}
					mu.Unlock()
				}
			})
		}
	}
	time.Sleep(4 * time.Second)
	mu.Lock()
	calm := served
	mu.Unlock()
	ends := map[string]int{}
	if trouble {
		entry := st.value("own/daemon/")
		bad, ok := withNilTime(entry)
		if !ok {
			stop.Store(true)
			wg.Wait()
			return errors.New("no entry with a time in the store")
		}
		st.put("own/daemon/127.0.8.99:7620", bad)
		rec.log("entry     another writer leaves a copy of an entry with WarmAt = nil under own/daemon/127.0.8.99:7620")
	}
	// The platform starts a process again that has ended.
	for end := time.Now().Add(12 * time.Second); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		for _, m := range ms {
			if m.alive() {
				continue
			}
			ends[m.name]++
			rec.log("ended     the daemon of %s has ended by itself: %s", m.name, m.exit())
			if err := m.start(); err != nil {
				return err
			}
		}
	}
	mu.Lock()
	before := served
	mu.Unlock()
	time.Sleep(3 * time.Second)
	stop.Store(true)
	wg.Wait()
	ran := map[string]bool{}
	for _, t := range ts {
		for _, r := range t.after(time.Time{}) {
			ran[r.id] = true
		}
	}
	most, sum := 0, 0
	for name, ids := range lost {
		n := 0
		for _, id := range ids {
			if ran[id] {
				n++
			}
		}
		rec.log("count     %s: %d requests of kept connections passed on and ended without an answer", name, n)
		most, sum = max(most, n), sum+n
	}
	text := []string{}
	for name, n := range ends {
		text = append(text, fmt.Sprintf("%s %d", name, n))
	}
	rec.log("count     served: %d in 4 calm seconds, %d in the last 3 seconds; ends of processes: %v", calm, served-before, text)
	if most > 3 {
		return fmt.Errorf("%w: LOST: %d requests of kept connections were passed on to sound targets and ended without an answer, at most %d at one machine; ends of processes by themselves: %s; served in the last 3 s: %d",
			errBroken, sum, most, strings.Join(text, ", "), served-before)
	}
	if len(ends) > 0 {
		return fmt.Errorf("%w: Fault: ends of processes by themselves: %v", errBroken, text)
	}
	if calm < 100 {
		return fmt.Errorf("calm: %d served", calm)
	}
	return nil
}
