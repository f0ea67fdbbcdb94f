package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// uploadBytes is the size of a long body. The configuration allows 64 MB (max_body_bytes).
	uploadBytes = 6_900_000
	// ordinaryBytes is the size of a usual body.
	ordinaryBytes = 1200
	uploaders     = 4 // clients at each machine
	uploadTime    = 85 * time.Second
	// restartPause is how long the platform takes to start a process again.
	restartPause = 500 * time.Millisecond
	// faultMachines and faultEnds are the bounds of the rule: on a tenth of the machines in use, two at least, processes
	// end by themselves three times.
	faultMachines = 2
	faultEnds     = 3
)

// playBodies checks Fault. Clients in three zones upload long bodies that are within the limits. The platform kills a process
// whose memory exceeds that of its machine, and starts it again.
func playBodies(f *fleet, trouble bool) error {
	routes := []route{
		{"status", "safe", "counter", 2.5, 0.6}, {"pickup", "unsafe", "dispatch", 2.5, 0.6}, {"history", "safe", "ledger", 5, 1.2},
	}
	err := f.deploy(deployment{
		services: []string{"counter", "dispatch", "ledger"}, memoryMB: 134, slots: 12, work: 180 * time.Millisecond,
		zones: [][2]string{{"kigali-a", "rw-east"}, {"kigali-b", "rw-east"}, {"rwamagana-a", "rw-east"}, {"rubavu-a", "rw-west"}},
	})
	if err != nil {
		return err
	}
	if err := f.configure(1, routes); err != nil {
		return err
	}
	if err := f.startAll(); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	size := ordinaryBytes
	if trouble {
		size = uploadBytes
	}
	ctx, cancel := context.WithTimeout(context.Background(), uploadTime)
	defer cancel()
	var wg sync.WaitGroup
	ends := make([]int, len(f.machines))
	peaks := make([]int, len(f.machines))
	for i, m := range f.machines {
		wg.Go(func() { ends[i], peaks[i] = m.limitMemory(ctx) })
	}
	c := newCounts()
	body := bytes.Repeat([]byte("b"), size)
	for i, m := range f.machines {
		if m.region != "rw-east" {
			continue
		}
		for j := range uploaders {
			wg.Go(func() { m.upload(ctx, &routes[1], fmt.Sprintf("u%d-%d", i, j), body, c) })
		}
	}
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(5 * time.Second):
		}
		f.rec.logf("answers to bodies of %d bytes in the last 5 s, by status: %v", size, c.take())
	}
	wg.Wait()
	ended := 0
	for i, m := range f.machines {
		f.rec.logf("%s (%s): at most %d MB of anonymous memory, the machine has %d; its process ended %d times", m.name, m.service, peaks[i], m.memoryMB, ends[i])
		if ends[i] >= faultEnds {
			ended++
		}
	}
	if ended >= faultMachines {
		return fmt.Errorf("%w: Fault: on %d of %d machines processes ended three times or more since they exceeded their memory", errBroken, ended, len(f.machines))
	}
	return nil
}

// limitMemory plays the platform for the daemon until ctx is done: a process above the memory of the machine is killed and
// started again. It returns how often, and the most memory of a process in MB. Memory of files, such as the program, does
// not count, nor do bytes in sockets.
func (m *machine) limitMemory(ctx context.Context) (ends, peak int) {
	for ctx.Err() == nil {
		now := m.anonymousMB()
		peak = max(peak, now)
		if now > m.memoryMB {
			ends++
			m.f.rec.logf("platform: the daemon of %s has %d MB, the machine %d; it is killed", m.name, now, m.memoryMB)
			m.kill()
			time.Sleep(restartPause)
			if err := m.start(); err != nil {
				m.f.rec.logf("%v", err)
				return ends, peak
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	return ends, peak
}

// upload sends requests with body one after the other. After a refusal it waits as it was told.
func (m *machine) upload(ctx context.Context, r *route, name string, body []byte, c *counts) {
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("%s-%d", name, i)
		res := m.call(r, http.MethodPost, id, time.Duration(r.timeout*float64(time.Second)), body, nil)
		c.add(res.status)
		m.f.rec.logf("client at %s: POST %s with %d bytes, answered %d", m.name, id, len(body), res.status)
		if res.status != http.StatusOK {
			time.Sleep(max(200*time.Millisecond, res.retryAfter))
		}
	}
}
