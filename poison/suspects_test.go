package poison

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/refuse"
	"github.com/marjoramcroft/marjoramcroft/stats"
)

func fingerprint(n int) Fingerprint {
	return NewFingerprint("office", "r", "POST", fmt.Sprintf("/%d", n), nil)
}

func newSuspects() *Suspects { return New(Deps{Log: event.Discard(), Stats: stats.New()}) }

func TestCheck(t *testing.T) {
	tests := map[string]struct {
		crashes  func(s *Suspects)
		poisoned bool
	}{
		"no crash":  {func(s *Suspects) { s.Begin(fingerprint(1), "a")(false); s.Begin(fingerprint(1), "b")(false) }, false},
		"one crash": {func(s *Suspects) { s.Begin(fingerprint(1), "a")(true) }, false},
		"one server crashes twice: the server is to blame": {func(s *Suspects) {
			s.Begin(fingerprint(1), "a")(true)
			s.Begin(fingerprint(1), "a")(true)
		}, false},
		"two servers crash": {func(s *Suspects) { s.Begin(fingerprint(1), "a")(true); s.Begin(fingerprint(1), "b")(true) }, true},
		"other request at the second crash": {func(s *Suspects) {
			s.Begin(fingerprint(1), "a")(true)
			s.Begin(fingerprint(2), "b")(true)
		}, false},
		"popular request: it completes between two crashes": {func(s *Suspects) {
			s.Begin(fingerprint(1), "a")(true)
			s.Clear(fingerprint(1))
			s.Begin(fingerprint(1), "b")(true)
		}, false},
		"completion of another request": {func(s *Suspects) {
			s.Begin(fingerprint(1), "a")(true)
			s.Clear(fingerprint(2))
			s.Begin(fingerprint(1), "b")(true)
		}, true},
		"late completion of a poisoned request": {func(s *Suspects) {
			s.Begin(fingerprint(1), "a")(true)
			s.Begin(fingerprint(1), "b")(true)
			s.Clear(fingerprint(1))
		}, true},
		"second crash seen by another daemon": {func(s *Suspects) {
			s.Begin(fingerprint(1), "a")(true)
			o := newSuspects()
			o.Begin(fingerprint(1), "b")(true)
			s.Merge(o.List())
		}, true},
		"same crash seen by two daemons": {func(s *Suspects) {
			s.Begin(fingerprint(1), "a")(true)
			o := newSuspects()
			o.Begin(fingerprint(1), "a")(true)
			s.Merge(o.List())
		}, false},
		"crashes long ago": {func(s *Suspects) {
			s.Begin(fingerprint(1), "a")(true)
			s.Begin(fingerprint(1), "b")(true)
			time.Sleep(Expiry)
		}, false},
		"lists go to and fro: they do not prolong each other": {func(s *Suspects) {
			o := newSuspects()
			s.Begin(fingerprint(1), "a")(true)
			s.Begin(fingerprint(1), "b")(true)
			for range 310 {
				list := s.List()
				time.Sleep(time.Second)
				o.Merge(list)
				list = o.List()
				time.Sleep(time.Second)
				s.Merge(list)
			}
		}, false},
		"poisoned request outlasts a flood of suspects": {func(s *Suspects) {
			s.Begin(fingerprint(1), "a")(true)
			s.Begin(fingerprint(1), "b")(true)
			for i := range 2 * maxSuspects {
				s.Begin(fingerprint(i+2), "c")(true)
			}
		}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newSuspects()
				tt.crashes(s)
				r := refuse.From(s.Check(fingerprint(1)))
				is.Equal(r != nil, tt.poisoned)
				if r != nil {
					is.Equal(r.Reason, refuse.Poisoned)
					is.Equal(r.Ran, refuse.RanNo)
				}
			})
		})
	}
}

// Guards against memory use and heartbeat sizes that grow with the number of crashes.
func TestSuspectsAreBounded(t *testing.T) {
	is := is.New(t)
	s := newSuspects()
	for i := range 3 * maxSuspects {
		s.Begin(fingerprint(i), ident.Addr(fmt.Sprintf("vm-%d", i%7)))(true)
	}
	s.Begin(fingerprint(1), "a")(true)
	s.Begin(fingerprint(1), "b")(true)
	n := 0
	for i := range s.shards {
		n += len(s.shards[i].entries)
	}
	is.True(n <= maxSuspects)
	list := s.List()
	is.Equal(len(list), maxListed)
	is.Equal(list[0].Fingerprint, fingerprint(1)) // poisoned ones come first
}

func TestFingerprint(t *testing.T) {
	is := is.New(t)
	body := make([]byte, BodyPrefix+10)
	a := NewFingerprint("office", "r", "POST", "/x", body)
	body[BodyPrefix+5] = 1
	is.Equal(a, NewFingerprint("office", "r", "POST", "/x", body)) // only the first BodyPrefix bytes are hashed
	body[5] = 1
	is.True(a != NewFingerprint("office", "r", "POST", "/x", body))
	is.True(NewFingerprint("a", "bc", "", "", nil) != NewFingerprint("ab", "c", "", "", nil)) // fields are delimited
}
