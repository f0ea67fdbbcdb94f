package dedup

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/quota"
	"github.com/marjoramcroft/marjoramcroft/refuse"
)

func TestBoundKeys(t *testing.T) {
	tests := map[string]struct {
		fault  func(s *sim)
		kind   Kind
		reason refuse.Reason
	}{
		"first answer is replayed":              {func(*sim) {}, Replay, ""},
		"list changes do not affect bound keys": {func(s *sim) { s.addAndStart("vm-9:7000") }, Replay, ""},
		"home is gone":                          {func(s *sim) { s.node("vm-1:7000").process.Load().cancel() }, "", refuse.KeyHomeUnreachable},
		"home has restarted": {func(s *sim) {
			s.node("vm-1:7000").process.Load().cancel()
			s.node("vm-1:7000").start()
			time.Sleep(2 * time.Second)
		}, Unknown, refuse.KeyUnknown},
		"key is older than the records": {func(*sim) { time.Sleep(quota.RecordRetention + time.Minute) }, Unknown, refuse.KeyUnknown},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newSim(t.Context(), 1, 4)
				defer s.stop()
				key, err := s.node("vm-1:7000").process.Load().table.Issue()
				is.NoErr(err)
				is.Equal(s.node("vm-0:7000").send(key, 1, time.Second, done).outcome.Kind, Fresh)
				tt.fault(s)
				out := s.node("vm-2:7000").send(key, 1, time.Second, done)
				is.Equal(out.outcome.Kind, tt.kind)
				is.Equal(out.reason, tt.reason)
				is.Equal(s.runCount(key), 1)
			})
		})
	}
}

func TestParseRefusesMalformedKeys(t *testing.T) {
	tests := map[string]Key{
		"empty":           "",
		"too long":        Key(make([]byte, MaxKey+1)),
		"not base64":      "mjcr1.%%",
		"not msgpack":     "mjcr1.AAAA",
		"truncated bound": "mjcr1.hA",
	}
	for name, k := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := k.Parse()
			is.New(t).True(errors.Is(err, ErrKey))
		})
	}
}

// Guards against a table that exceeds its bounds, and against the eviction of live records,
// after which a call could run twice.
func TestTableRefusesWhenFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSim(t.Context(), 1, 1)
		defer s.stop()
		table := s.node("vm-0:7000").process.Load().table
		claim := func(k Key) Reply {
			return table.claim(s.ctx, Claim{
				Scope: Scope{testService, member, k}, ListVersion: 1, Call: 1, Left: time.Second,
			})
		}
		full := 0
		for i := range MaxEntries {
			k := Key(fmt.Sprintf("k%d", i))
			if r := claim(k); r.Kind != Fresh {
				is.Equal(r.Reason, refuse.KeyTableFull)
				is.Equal(r.Ran, refuse.RanNo)
				full++
			}
			table.finish(Finish{Scope: Scope{testService, member, k}, Call: 1, Answer: Answer{
				Ran: refuse.RanYes, Kept: true, Body: make([]byte, 100),
			}})
		}
		is.True(full > 0)
		is.True(table.bytes.Load() <= MaxBytes)
		is.Equal(claim("k0").Kind, Replay) // nothing was evicted
		time.Sleep(quota.RecordRetention + 10*time.Second)
		is.Equal(table.Len(), 0)
		is.Equal(table.bytes.Load(), int64(0))
		is.Equal(claim("new").Kind, Fresh)
	})
}
