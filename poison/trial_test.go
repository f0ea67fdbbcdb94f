package poison

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/stats"
)

// Guards against a request that is refused for long though it does no harm, and against one that crashes backend servers
// without end.
func TestTrials(t *testing.T) {
	tests := map[string]struct {
		answered bool // before the first crash
		first    int  // crashes until it is refused
	}{
		"never answered":  {false, 2},
		"answered before": {true, 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newSuspects()
				if tt.answered {
					s.Answered(fingerprint(1))
					time.Sleep(time.Second)
				}
				crashes := 0
				for ; crashes < tt.first; crashes++ {
					_, _, err := s.Admit(fingerprint(1))
					is.NoErr(err)
					crash(s, "a", crashes, 1)
				}
				var trials []time.Duration
				for began := time.Now(); ; {
					trial, wait, err := s.Admit(fingerprint(1))
					is.Equal(err != nil, wait > 0)
					if time.Since(began)+wait >= VerdictExpiry {
						break
					}
					if err != nil {
						time.Sleep(min(wait, time.Minute))
						continue
					}
					is.Equal(len(trial), 1)
					is.True(trial[0].Trial)
					_, _, err = s.Admit(fingerprint(1))
					is.True(err != nil) // one at a time
					trials = append(trials, time.Since(began))
					crash(s, "a", crashes, 1)
					crashes++
				}
				is.Equal(crashes, 5) // the fourth and the fifth may be late, one less than is allowed
				is.True(trials[0] >= 20*time.Second && trials[0] <= 41*time.Second)
			})
		})
	}
}

// Guards against a request that is refused after it was answered in a trial.
func TestTrialThatIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSuspects()
		crash(s, "x", 1, 2)
		crash(s, "y", 1, 2)
		time.Sleep(41 * time.Second)
		_, _, err := s.Admit(fingerprint(2))
		is.NoErr(err)
		is.Equal(len(s.Answered(fingerprint(2))), 1)
		_, _, err = s.Admit(fingerprint(2))
		is.NoErr(err)
	})
}

// Guards against trials of several daemons at once.
func TestTrialsOfDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var daemons []*Suspects
		for i := range 32 {
			s := New(Deps{Self: ident.Addr(fmt.Sprintf("vm-%d", i)), Log: event.Discard(), Stats: stats.New()})
			s.Merge(crash(newSuspects(), "a", 1, 1))
			s.Merge(crash(newSuspects(), "b", 1, 1))
			daemons = append(daemons, s)
		}
		trials := 0
		for began := time.Now(); time.Since(began) < trialDelays[0]+trialTime; time.Sleep(50 * time.Millisecond) {
			for _, s := range daemons {
				if trial, _, err := s.Admit(fingerprint(1)); err == nil {
					trials++
					for _, o := range daemons {
						o.Merge(trial)
					}
				}
			}
		}
		is.Equal(trials, 1)
	})
}
