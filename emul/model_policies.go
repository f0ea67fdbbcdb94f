package emul

import (
	"time"

	"github.com/marjoramcroft/marjoramcroft/admit"
	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/peers"
	"github.com/marjoramcroft/marjoramcroft/retry"
	"github.com/marjoramcroft/marjoramcroft/route"
)

// EntryPolicy holds the functions with which an entry daemon chooses servers, hedges and retries.
type EntryPolicy struct {
	Choose     route.ChooseFunc
	HedgeAfter func(ident.ServiceID, agree.Class) (time.Duration, bool)
	Class      func(route.Request) agree.Class // nil: the class of the route
	Report     func(ident.ServiceID, ident.Addr, ident.Units)
	Next       retry.NextFunc
	Budget     *retry.Budget // nil: no limit
}

// Policies creates the policies that one run of a Model measures.
type Policies struct {
	Name  string
	Entry func(m *Model, place ident.Place) EntryPolicy
	Enter func(m *Model, s peers.Server) admit.EnterFunc
}

// Current returns the policies that the daemons use for choice, admission and retries.
func Current() Policies {
	return Policies{Name: "marjoramcroft", Entry: currentEntry, Enter: currentEnter}
}

func currentEntry(m *Model, place ident.Place) EntryPolicy {
	c := route.New(route.Deps{
		Config: route.DefaultConfig(), Place: place, Random: m.Random, Stats: m.Stats, Log: event.Discard(),
	})
	return EntryPolicy{
		Choose: c.Choose, HedgeAfter: c.HedgeAfter, Class: c.Class, Report: c.Report, Next: retry.DefaultPolicy().Next,
		Budget: retry.NewBudget(retry.DefaultShare, m.Stats),
	}
}

func currentEnter(m *Model, s peers.Server) admit.EnterFunc {
	g := admit.New(admit.DefaultConfig(), m.Stats, event.Discard())
	g.Configure(s.Slots, s.State)
	m.waiting[s.Addr] = g.Waiting
	return g.Enter
}

// fifoQueueLength is the maximum number of calls in the queue of the baselines.
const fifoQueueLength = 256

func fifoEnter(_ *Model, s peers.Server) admit.EnterFunc {
	return admit.FIFO(s.Slots, fifoQueueLength)
}

// Baselines returns the policies to compare Current with: three ways to choose a server with
// unlimited retries and a FIFO queue, and Current with each of its three parts replaced.
func Baselines() []Policies {
	baseline := func(name string, choose func(m *Model) route.ChooseFunc) Policies {
		return Policies{Name: name, Enter: fifoEnter, Entry: func(m *Model, _ ident.Place) EntryPolicy {
			return EntryPolicy{Choose: choose(m), Next: retry.Unlimited}
		}}
	}
	return []Policies{
		baseline("random, fifo, unlimited", func(m *Model) route.ChooseFunc { return route.RandomChoice(m.Random) }),
		baseline("round robin, fifo, unlimited", func(*Model) route.ChooseFunc { return route.RoundRobin() }),
		baseline("least reported, fifo, unlimited", func(m *Model) route.ChooseFunc { return route.LeastReported(m.Reported) }),
		{Name: "with random choice", Enter: currentEnter, Entry: func(m *Model, p ident.Place) EntryPolicy {
			e := currentEntry(m, p)
			e.Choose, e.HedgeAfter, e.Class = route.RandomChoice(m.Random), nil, nil
			return e
		}},
		{Name: "with fifo queue", Entry: currentEntry, Enter: fifoEnter},
		{Name: "with unlimited retries", Enter: currentEnter, Entry: func(m *Model, p ident.Place) EntryPolicy {
			e := currentEntry(m, p)
			e.Next, e.Budget, e.HedgeAfter = retry.Unlimited, nil, nil
			return e
		}},
	}
}
