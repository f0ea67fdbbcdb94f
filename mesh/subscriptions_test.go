package mesh

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/link"
)

// TestRecordBehind guards against a state that is requested from both parents in a storm of changes, and against a
// follower that waits for a first parent that no longer has recent state.
func TestRecordBehind(t *testing.T) {
	const lag = 1200 * time.Millisecond
	type step struct {
		own, shown ident.Version // after gap
		confirmed  bool          // by the first parent before
		want       bool
	}
	tests := map[string]struct {
		gap   time.Duration
		steps []step
	}{
		"each change arrives after the confirmation": {500 * time.Millisecond, []step{
			{1, 2, true, false}, {2, 3, true, false}, {3, 4, true, false}, {4, 5, true, false},
		}},
		"a change does not arrive": {400 * time.Millisecond, []step{
			{1, 2, true, false}, {1, 3, true, false}, {1, 4, true, true},
		}},
		"up to date": {time.Second, []step{{2, 2, false, false}, {2, 2, false, false}, {2, 2, false, false}}},
		"first parent has old state": {500 * time.Millisecond, []step{
			{1, 1, false, false}, {1, 1, false, false}, {1, 2, false, true},
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newSubscriptions()
				first, second := &link.Conn{}, &link.Conn{}
				s.following[first] = &subscription{full: true, current: time.Now()}
				s.following[second] = &subscription{full: true, brief: true, current: time.Now()}
				for _, st := range tt.steps {
					time.Sleep(tt.gap)
					if st.confirmed {
						s.recordAge(first, 0)
					}
					is.Equal(s.recordBehind(second, progress{version: st.own}, progress{version: st.shown}, lag), st.want)
				}
			})
		})
	}
}
