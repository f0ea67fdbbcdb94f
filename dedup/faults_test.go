package dedup

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/quota"
	"github.com/marjoramcroft/marjoramcroft/refuse"
)

var done = Answer{Ran: refuse.RanYes, Kept: true, Status: 200, Body: []byte("done")}

// Each case repeats a request after a fault and checks the result that its caller gets. The
// call must not run twice, except after its records have expired.
func TestFaults(t *testing.T) {
	const home = ident.Addr("vm-1:7000")
	tests := map[string]struct {
		first  Answer // how the first call ends
		fault  func(s *sim, key Key)
		kind   Kind // of the repeated request; empty for an error
		reason refuse.Reason
		ran    refuse.Ran
	}{
		"first answer is replayed":      {done, func(*sim, Key) {}, Replay, "", refuse.RanYes},
		"call provably not run may run": {Answer{Ran: refuse.RanNo}, func(*sim, Key) {}, Fresh, "", refuse.RanYes},
		"answer lost after the run":     {Answer{Ran: refuse.RanUnknown}, func(*sim, Key) {}, Unknown, refuse.AnswerLost, refuse.RanUnknown},
		"answer too long to keep": {
			Answer{Ran: refuse.RanYes, Kept: true, Body: make([]byte, MaxBody+1)},
			func(*sim, Key) {}, Unknown, refuse.AnswerNotKept, refuse.RanYes,
		},
		"home lost: its records are gone": {done, func(s *sim, _ Key) {
			s.node(home).process.Load().cancel()
		}, "", refuse.KeyHomeUnreachable, refuse.RanUnknown},
		"home lost and retired: the next home does not know the key": {done, func(s *sim, _ Key) {
			s.node(home).process.Load().cancel()
			s.remove(home, true)
			time.Sleep(5 * time.Second)
		}, Unknown, refuse.KeyUnknown, refuse.RanUnknown},
		"home restarted uncleanly": {done, func(s *sim, _ Key) {
			s.node(home).process.Load().cancel()
			s.node(home).start()
			time.Sleep(2 * time.Second)
		}, Unknown, refuse.KeyUnknown, refuse.RanUnknown},
		"home restarted cleanly": {done, func(s *sim, _ Key) {
			s.node(home).stop()
			s.node(home).start()
			time.Sleep(2 * time.Second)
		}, Replay, "", refuse.RanYes},
		"home restarted cleanly, then uncleanly: custody is stale": {done, func(s *sim, _ Key) {
			s.node(home).stop()
			s.node(home).start()
			time.Sleep(2 * time.Second)
			s.node(home).process.Load().cancel()
			s.node(home).start()
			time.Sleep(2 * time.Second)
		}, Unknown, refuse.KeyUnknown, refuse.RanUnknown},
		"custodian lost while the home is stopped": {done, func(s *sim, _ Key) {
			c := s.node(custodian(home, s.list))
			s.node(home).stop()
			c.process.Load().cancel()
			c.start()
			s.node(home).start()
			time.Sleep(5 * time.Second)
		}, Unknown, refuse.KeyUnknown, refuse.RanUnknown},
		"home left the list": {done, func(s *sim, _ Key) {
			if s.node(home).process.Load().table.HandOverAll(s.ctx) == nil {
				s.remove(home, false)
			}
			time.Sleep(5 * time.Second)
		}, Replay, "", refuse.RanYes},
		"keys move to a new holder": {done, func(s *sim, _ Key) {
			s.addAndStart("vm-9:7000")
			time.Sleep(5 * time.Second)
		}, Replay, "", refuse.RanYes},
		"keys move while their old home is partitioned: it may still run them": {done, func(s *sim, key Key) {
			s.addAndStart("vm-9:7000")
			s.node(home).partitioned.Store(true)
			time.Sleep(5 * time.Second)
		}, "", refuse.KeyHomeUnreachable, refuse.RanNo},
		"records expire": {done, func(*sim, Key) {
			time.Sleep(quota.RecordRetention + time.Second)
		}, Fresh, "", refuse.RanYes},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newSim(t.Context(), 1, 4)
				defer s.stop()
				key := s.movingKey(home, "vm-9:7000")
				out := s.node("vm-0:7000").send(key, 1, time.Second, tt.first)
				is.Equal(out.outcome.Kind, Fresh)
				tt.fault(s, key)
				out = s.node("vm-2:7000").send(key, 1, time.Second, done)
				is.Equal(out.outcome.Kind, tt.kind)
				is.Equal(out.reason, tt.reason)
				is.Equal(out.ran, tt.ran)
				if tt.kind == Replay {
					is.Equal(out.outcome.Answer, done)
				}
				if name != "records expire" {
					is.Equal(s.violations, nil) // the call ran twice
				}
			})
		})
	}
}

// movingKey returns a key whose home is addr, and is next once next has joined.
func (s *sim) movingKey(addr, next ident.Addr) Key {
	for i := 0; ; i++ {
		p := Scope{testService, member, Key(fmt.Sprintf("k%d", i))}
		if quota.FirstRanked(p.homeKey(), s.list.Holders) == addr && quota.FirstRanked(p.homeKey(), append(s.addrs(), next)) == next {
			return p.Key
		}
	}
}

// addAndStart adds a new daemon to the list and starts it.
func (s *sim) addAndStart(addr ident.Addr) {
	s.add(addr)
	n := &node{s: s, addr: addr}
	s.mu.Lock()
	s.nodes[addr] = n
	s.mu.Unlock()
	n.start()
}

// Guards against a second run of the call when the home's reply to a fresh claim is lost,
// and when the list also changes before the claim is retried.
func TestClaimIsRepeatedWithItsID(t *testing.T) {
	tests := map[string]func(s *sim, key Key){
		"answer lost": func(*sim, Key) {},
		"answer lost and list changes during claim": func(s *sim, _ Key) { s.addAndStart("vm-9:7000") },
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newSim(t.Context(), 1, 4)
				defer s.stop()
				key := s.movingKey("vm-1:7000", "vm-9:7000")
				s.mu.Lock()
				s.lossRate = 1
				s.mu.Unlock()
				time.AfterFunc(45*time.Millisecond, func() {
					s.mu.Lock()
					s.lossRate = 0
					s.mu.Unlock()
					fault(s, key)
				})
				out := s.node("vm-0:7000").send(key, 1, time.Second, done)
				is.Equal(out.outcome.Kind, Fresh)
				time.Sleep(3 * time.Second)
				out = s.node("vm-2:7000").send(key, 1, time.Second, done)
				is.Equal(out.outcome.Kind, Replay)
				is.Equal(s.runCount(key), 1)
			})
		})
	}
}

// Guards against a repeated request that runs concurrently with the first, or is told that
// the call did not run.
func TestRepeatedRequestWaitsForTheFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSim(t.Context(), 1, 4)
		defer s.stop()
		go s.node("vm-0:7000").send("k", 1, 2*time.Second, done)
		time.Sleep(100 * time.Millisecond)
		begin := time.Now()
		out := s.node("vm-2:7000").send("k", 1, time.Second, done)
		is.Equal(out.outcome.Kind, Replay)
		is.True(time.Since(begin) > 1800*time.Millisecond)
		out = s.node("vm-2:7000").send("k", 2, time.Second, done)
		is.Equal(out.reason, refuse.KeyReused) // another request with the same key
		is.Equal(out.ran, refuse.RanNo)
		go s.node("vm-0:7000").send("slow", 1, 4900*time.Millisecond, done)
		time.Sleep(100 * time.Millisecond)
		s.node("vm-0:7000").process.Load().cancel() // the first call's entry daemon crashes
		out = s.node("vm-2:7000").send("slow", 1, time.Second, done)
		is.Equal(out.ran, refuse.RanUnknown)
	})
}
