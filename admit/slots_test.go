package admit

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/refuse"
)

const ms = time.Millisecond

func newAsk(route ident.RouteID, priority int, goal, deadline, maxWait time.Duration) SlotRequest {
	now := time.Now()
	return SlotRequest{Route: route, Priority: priority, Goal: now.Add(goal), Deadline: now.Add(deadline), MaxWait: maxWait}
}

// TestSlotsOrder guards against requests that get a slot before a more urgent one.
func TestSlotsOrder(t *testing.T) {
	tests := map[string]struct {
		asks []SlotRequest
		want []ident.RouteID
	}{
		"higher priority first": {
			[]SlotRequest{{Route: "low", Priority: 2}, {Route: "high", Priority: 1}}, []ident.RouteID{"high", "low"},
		},
		"earlier goal first": {
			[]SlotRequest{{Route: "slow", Goal: at(800)}, {Route: "fast", Goal: at(300)}}, []ident.RouteID{"fast", "slow"},
		},
		"late ones do not make others late": {
			[]SlotRequest{{Route: "late", Goal: at(10)}, {Route: "on time", Goal: at(500)}}, []ident.RouteID{"on time", "late"},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := NewSlots(nil)
				s.Open(1)
				hold, err := s.Enter(t.Context(), newAsk("first", 0, time.Second, time.Minute, 0))
				is.NoErr(err)
				order := make(chan ident.RouteID, len(tt.asks))
				for _, a := range tt.asks {
					full := newAsk(a.Route, a.Priority, time.Second, time.Minute, time.Minute)
					if !a.Goal.IsZero() {
						full.Goal = time.Now().Add(a.Goal.Sub(at(0)))
					}
					go func() {
						release, err := s.Enter(t.Context(), full)
						if err == nil {
							order <- full.Route
							release(0)
						}
					}()
					synctest.Wait()
				}
				hold(0)
				synctest.Wait()
				for _, w := range tt.want {
					is.Equal(<-order, w)
				}
			})
		})
	}
}

func at(n int) time.Time { return time.Unix(1, 0).Add(time.Duration(n) * ms) }

// TestSlotsRefuseAtOnce guards against requests that wait although they cannot get an answer in time.
func TestSlotsRefuseAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := NewSlots(nil)
		s.Open(2)
		for range 10 { // learns a service time of 100 ms
			release, err := s.Enter(t.Context(), newAsk("r", 0, time.Second, time.Second, 0))
			is.NoErr(err)
			release(100 * ms)
		}
		for range 2 {
			_, err := s.Enter(t.Context(), newAsk("r", 0, time.Second, time.Second, 0))
			is.NoErr(err)
		}
		began := time.Now()
		_, err := s.Enter(t.Context(), newAsk("r", 0, 300*ms, time.Second, 20*ms))
		var busy *Busy
		is.True(errors.As(err, &busy))
		is.Equal(busy.Ran, refuse.RanNo)
		is.True(busy.Wait > 0)
		_, err = s.Enter(t.Context(), newAsk("r", 0, 300*ms, 90*ms, time.Second)) // cannot end in time
		is.True(errors.As(err, &busy))
		is.Equal(time.Since(began), time.Duration(0))
	})
}

// TestSlotsPatience guards against requests that are held until their deadline behind newer ones.
func TestSlotsPatience(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := NewSlots(nil)
		s.Open(1)
		_, err := s.Enter(t.Context(), newAsk("r", 0, time.Second, time.Minute, 0))
		is.NoErr(err)
		began := time.Now()
		_, err = s.Enter(t.Context(), newAsk("r", 0, time.Second, time.Minute, 200*ms))
		var busy *Busy
		is.True(errors.As(err, &busy))
		is.Equal(time.Since(began), 200*ms)
		is.Equal(s.Status().Waiting, 0)
	})
}

// TestSlotsLoseNone guards against slots that are lost or granted twice when callers cancel as they get one.
func TestSlotsLoseNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := NewSlots(nil)
		s.Open(3)
		for i := range 400 {
			go func() {
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i%37)*ms)
				defer cancel()
				release, err := s.Enter(ctx, newAsk("r", i%3, 100*ms, time.Second, time.Duration(i%90)*ms))
				if err != nil {
					return
				}
				if n := s.Status().Running; n > 3 {
					t.Errorf("%d run in 3 slots", n)
				}
				time.Sleep(time.Duration(i%11) * ms)
				release(time.Duration(i%11) * ms)
			}()
			time.Sleep(time.Duration(i%3) * ms)
		}
		synctest.Wait()
		time.Sleep(2 * time.Second)
		is.Equal(s.Status().Running, 0)
		is.Equal(s.Status().Waiting, 0)
	})
}

// TestSlotsClose guards against requests that run at a draining backend server.
func TestSlotsClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := NewSlots(nil)
		_, err := s.Enter(t.Context(), newAsk("r", 0, time.Second, time.Minute, time.Minute))
		is.Equal(refuse.From(err).Reason, refuse.Starting)
		s.Open(1)
		hold, err := s.Enter(t.Context(), newAsk("r", 0, time.Second, time.Minute, 0))
		is.NoErr(err)
		waits := make(chan error, 1)
		go func() {
			_, err := s.Enter(t.Context(), newAsk("r", 0, time.Second, time.Minute, time.Minute))
			waits <- err
		}()
		synctest.Wait()
		s.Close(refuse.NotRun(refuse.Draining, "leaving"))
		is.Equal(refuse.From(<-waits).Reason, refuse.Draining)
		hold(0)
		_, err = s.Enter(t.Context(), newAsk("r", 0, time.Second, time.Minute, time.Minute))
		is.Equal(refuse.From(err).Reason, refuse.Draining)
	})
}

// TestSlotsOverloaded guards against late requests that wait behind newer ones until their longest wait ends. This
// happens in a sustained overload of one service, while others wait for its calls of higher priority.
func TestSlotsOverloaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := NewSlots(nil)
		s.Open(1)
		for range 10 {
			release, err := s.Enter(t.Context(), newAsk("r", 2, time.Second, time.Second, 0))
			is.NoErr(err)
			release(100 * ms)
		}
		_, err := s.Enter(t.Context(), newAsk("r", 2, time.Second, time.Second, 0))
		is.NoErr(err)
		enter := func(priority int, goal time.Duration) error {
			ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
			defer cancel()
			_, err := s.Enter(ctx, newAsk("r", priority, goal, 2*time.Second, time.Second))
			return err
		}
		is.Equal(refuse.From(enter(2, 10*ms)).Reason, refuse.DeadlinePassed) // late, and waits
		_, err = s.Enter(t.Context(), newAsk("r", 2, 150*ms, 2*time.Second, 20*ms))
		is.Equal(refuse.From(err).Reason, refuse.QueueFull) // could have been in time
		is.Equal(refuse.From(enter(2, 10*ms)).Reason, refuse.QueueFull)
		is.Equal(refuse.From(enter(1, 10*ms)).Reason, refuse.DeadlinePassed) // more urgent, and waits
		time.Sleep(overloadSpan)
		is.Equal(refuse.From(enter(2, 10*ms)).Reason, refuse.DeadlinePassed)
	})
}

// TestSlotsLevel guards against a daemon that crashes when another one asks for a slot before its backend server
// has announced itself, and against a reported queue while a slot is free.
func TestSlotsLevel(t *testing.T) {
	is := is.New(t)
	s := NewSlots(nil)
	is.Equal(s.Status(), Status{Mean: initialServiceTime, Closed: true})
	s.Open(1)
	is.Equal(s.Status().DrainTime, time.Duration(0))
	leave, err := s.Enter(t.Context(), SlotRequest{Deadline: time.Now().Add(time.Second)})
	is.NoErr(err)
	is.Equal(s.Status().DrainTime, initialServiceTime)
	leave(0)
	is.Equal(s.Status().DrainTime, time.Duration(0))
}
