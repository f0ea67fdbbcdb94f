package poison

import (
	"fmt"
	"math/rand/v2"
	"slices"
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

// all returns the suspects as a list to exchange.
func (s *Suspects) all() []Suspect { return s.list(maxListed, func(*entry) bool { return true }) }

// crash records that process of server crashed with these requests in flight, and returns what is sent.
func crash(s *Suspects, server ident.Addr, process int, requests ...int) []Suspect {
	list := make([]Fingerprint, len(requests))
	for i, n := range requests {
		list[i] = fingerprint(n)
	}
	return s.Crashed(Crash{server, fmt.Sprint(process), int64(process)}, list)
}

func TestCheck(t *testing.T) {
	tests := map[string]struct {
		crashes  func(s *Suspects)
		poisoned bool
	}{
		"no crash":  {func(*Suspects) {}, false},
		"one crash": {func(s *Suspects) { crash(s, "a", 1, 1) }, false},
		"one server crashes twice": {func(s *Suspects) {
			crash(s, "a", 1, 1)
			crash(s, "a", 2, 1)
		}, true},
		"one server crashes twice, and answers between": {func(s *Suspects) {
			crash(s, "a", 1, 1)
			s.Answered(fingerprint(1))
			crash(s, "a", 2, 1)
		}, false},
		"one crash is reported twice": {func(s *Suspects) {
			crash(s, "a", 1, 1)
			crash(s, "a", 1, 1)
		}, false},
		"two servers crash": {func(s *Suspects) { crash(s, "a", 1, 1); crash(s, "b", 1, 1) }, true},
		"other request at the second crash": {func(s *Suspects) {
			crash(s, "a", 1, 1)
			crash(s, "b", 1, 2)
		}, false},
		"answered between two crashes": {func(s *Suspects) {
			crash(s, "a", 1, 1)
			s.Answered(fingerprint(1))
			crash(s, "b", 1, 1)
		}, false},
		"answer to another request": {func(s *Suspects) {
			crash(s, "a", 1, 1)
			s.Answered(fingerprint(2))
			crash(s, "b", 1, 1)
		}, true},
		"answered after it was poisoned": {func(s *Suspects) {
			crash(s, "a", 1, 1)
			crash(s, "b", 1, 1)
			s.Answered(fingerprint(1))
		}, false},
		"answered before two crashes: it may have been in flight by chance": {func(s *Suspects) {
			s.Answered(fingerprint(1))
			time.Sleep(time.Second)
			crash(s, "a", 1, 1)
			crash(s, "b", 1, 1)
		}, false},
		"answered before three crashes": {func(s *Suspects) {
			s.Answered(fingerprint(1))
			time.Sleep(time.Second)
			crash(s, "a", 1, 1)
			crash(s, "b", 1, 1)
			crash(s, "c", 1, 1)
		}, true},
		"answered before three crashes that another request explains": {func(s *Suspects) {
			s.Answered(fingerprint(1))
			time.Sleep(time.Second)
			crash(s, "a", 1, 1, 2)
			crash(s, "b", 1, 1, 2)
			crash(s, "c", 1, 1, 2)
		}, false},
		"request that explains them": {func(s *Suspects) {
			s.Answered(fingerprint(2))
			time.Sleep(time.Second)
			crash(s, "a", 1, 1, 2)
			crash(s, "b", 1, 1, 2)
		}, true},
		"answered by another daemon between two crashes": {func(s *Suspects) {
			o := newSuspects()
			o.Merge(crash(s, "a", 1, 1))
			s.Merge(o.Answered(fingerprint(1)))
			s.Merge(crash(o, "b", 1, 1))
		}, false},
		"answer of another daemon arrives before the crash that it refutes": {func(s *Suspects) {
			o, p := newSuspects(), newSuspects()
			late := crash(o, "a", 1, 1)
			p.Merge(late)
			s.Merge(p.Answered(fingerprint(1)))
			s.Merge(late)
			s.Merge(crash(o, "b", 1, 1))
		}, false},
		"answered by another daemon while the crash was on its way": {func(s *Suspects) {
			o := newSuspects()
			o.Answered(fingerprint(1))
			s.Merge(o.Merge(crash(s, "a", 1, 1)))
			crash(s, "b", 1, 1)
		}, false},
		"second crash seen by another daemon": {func(s *Suspects) {
			crash(s, "a", 1, 1)
			s.Merge(crash(newSuspects(), "b", 1, 1))
		}, true},
		"daemon that missed a crash is told at its own": {func(s *Suspects) {
			o := newSuspects()
			crash(o, "a", 1, 1)
			s.Merge(o.Merge(crash(s, "b", 1, 1)))
		}, true},
		"same crash seen by two daemons": {func(s *Suspects) {
			crash(s, "a", 1, 1)
			s.Merge(crash(newSuspects(), "a", 1, 1))
		}, false},
		"crashes long ago": {func(s *Suspects) {
			crash(s, "a", 1, 1)
			crash(s, "b", 1, 1)
			time.Sleep(VerdictExpiry)
		}, false},
		"first crash long ago": {func(s *Suspects) {
			crash(s, "a", 1, 1)
			time.Sleep(Expiry)
			crash(s, "b", 1, 1)
		}, false},
		"lists go to and fro: they do not prolong each other": {func(s *Suspects) {
			o := newSuspects()
			crash(s, "a", 1, 1)
			crash(s, "b", 1, 1)
			for range int(VerdictExpiry/time.Hour) + 1 {
				o.Merge(s.all())
				time.Sleep(30 * time.Minute)
				s.Merge(o.all())
				time.Sleep(30 * time.Minute)
			}
		}, false},
		"poisoned request outlasts a flood of suspects": {func(s *Suspects) {
			crash(s, "a", 1, 1)
			crash(s, "b", 1, 1)
			for i := range 2 * maxSuspects {
				crash(s, "c", i, i+2)
			}
		}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newSuspects()
				tt.crashes(s)
				wait, err := s.Check(fingerprint(1))
				r := refuse.From(err)
				is.Equal(r != nil, tt.poisoned)
				is.Equal(wait > 0, tt.poisoned)
				if r != nil {
					is.Equal(r.Reason, refuse.Poisoned)
					is.Equal(r.Ran, refuse.RanNo)
				}
			})
		})
	}
}

// Guards against daemons that keep different views of a request after they have exchanged all that they know, in
// whatever order, and against exchanges without end.
func TestExchangeConverges(t *testing.T) {
	for seed := range uint64(200) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			rnd := rand.New(rand.NewPCG(seed, 1))
			daemons := make([]*Suspects, 4)
			for i := range daemons {
				daemons[i] = newSuspects()
			}
			type message struct {
				from, to int
				list     []Suspect
			}
			var queue []message
			send := func(from, to int, list []Suspect) {
				if len(list) > 0 && rnd.IntN(3) > 0 { // a third of the messages is lost
					queue = append(queue, message{from, to, list})
				}
			}
			tell := func(from int, list []Suspect) {
				for i := range daemons {
					if i != from {
						send(from, i, list)
					}
				}
			}
			deliver := func() {
				i := rnd.IntN(len(queue))
				m := queue[i]
				queue = slices.Delete(queue, i, i+1)
				send(m.to, m.from, daemons[m.to].Merge(m.list))
			}
			for step := range 60 {
				i := rnd.IntN(len(daemons))
				switch rnd.IntN(3) {
				case 0:
					tell(i, crash(daemons[i], ident.Addr(fmt.Sprint(i)), step, 1+rnd.IntN(2)))
				case 1:
					tell(i, daemons[i].Answered(fingerprint(1)))
				case 2:
					if len(queue) > 0 {
						deliver()
					}
				}
				time.Sleep(time.Duration(rnd.IntN(1000)) * time.Millisecond)
			}
			for n := 0; len(queue) > 0; n++ {
				is.True(n < 10000) // the exchange ends
				deliver()
			}
			time.Sleep(time.Second) // no answer is recent
			for range 2 {
				for _, a := range daemons {
					for _, b := range daemons {
						b.Merge(a.all())
					}
				}
			}
			for _, s := range daemons[1:] {
				for n := 1; n <= 2; n++ {
					_, first := daemons[0].Check(fingerprint(n))
					_, err := s.Check(fingerprint(n))
					is.Equal(err == nil, first == nil)
				}
			}
		})
	}
}

// Guards against memory use and message sizes that grow with the number of crashes or answers.
func TestSuspectsAreBounded(t *testing.T) {
	is := is.New(t)
	s := newSuspects()
	for i := range 3 * maxSuspects {
		crash(s, ident.Addr(fmt.Sprintf("vm-%d", i%7)), 1, i)
		s.Answered(fingerprint(-i))
	}
	for i := range 3 * maxCrashes {
		crash(s, "a", i, 1)
		crash(s, "b", i, 1)
	}
	n, answers := 0, 0
	for i := range s.shards {
		n += len(s.shards[i].entries)
		answers += len(s.shards[i].answers) + len(s.shards[i].older)
	}
	is.True(n <= maxSuspects)
	is.True(answers <= 2*answersKept*shardCount)
	list := s.all()
	is.Equal(len(list), maxListed)
	is.Equal(list[0].Fingerprint, fingerprint(1)) // poisoned ones come first
	is.True(len(list[0].Crashes) <= maxCrashes)
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
