package emul

import (
	"slices"
	"time"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/refuse"
)

// Result holds the measurements of a Model in its period.
type Result struct {
	Period  time.Duration
	Slots   float64 // mean over the period; a slot of a slow server counts in proportion to its speed
	Calls   int
	Good    time.Duration // service time of the calls that succeeded before their deadline
	Wasted  time.Duration // slot time of attempts in the period that returned no response
	Latency map[agree.Class][]time.Duration
	Added   map[agree.Class][]time.Duration // Latency minus the service time on an idle server
	Members map[ident.MemberID]*MemberResult

	// Counted over the whole run.
	Retries int64 // hedges, and retries of attempts that may have run
	NotRun  int64 // retries of attempts that did not run
	Remote  int64 // attempts over the paid link between regions
	Total   int64 // calls sent
}

// MemberResult counts the calls of one member.
type MemberResult struct {
	Calls   int
	Good    int
	OverCap int
	Refused map[refuse.Reason]int // not counting OverCap
	Latency []time.Duration       // of the successful calls
}

func (r *Result) add(s *Stream, latency, work time.Duration, err error) {
	m := r.Members[s.Member]
	if f := refuse.From(err); f != nil && f.Reason == refuse.CapReached {
		m.OverCap++
		return
	}
	r.Calls++
	m.Calls++
	if err != nil {
		reason := refuse.AnswerLost
		if f := refuse.From(err); f != nil {
			reason = f.Reason
		}
		m.Refused[reason]++
		return
	}
	m.Good++
	m.Latency = append(m.Latency, latency)
	r.Good += work
	if r.Latency == nil {
		r.Latency, r.Added = map[agree.Class][]time.Duration{}, map[agree.Class][]time.Duration{}
	}
	r.Added[s.Class] = append(r.Added[s.Class], latency-work)
	r.Latency[s.Class] = append(r.Latency[s.Class], latency)
}

// Goodput returns the service time of successful calls as a share of the slot capacity.
func (r *Result) Goodput() float64 {
	return r.Good.Seconds() / (r.Period.Seconds() * r.Slots)
}

// Quantile returns the q-quantile of the latency of successful calls of class.
func (r *Result) Quantile(class agree.Class, q float64) time.Duration {
	return quantile(r.Latency[class], q)
}

// AddedQuantile returns the q-quantile of the latency beyond the service time of successful calls of class.
func (r *Result) AddedQuantile(class agree.Class, q float64) time.Duration {
	return quantile(r.Added[class], q)
}

// MemberQuantile returns the q-quantile of the latency of the successful calls of member.
func (r *Result) MemberQuantile(member ident.MemberID, q float64) time.Duration {
	return quantile(r.Members[member].Latency, q)
}

func quantile(l []time.Duration, q float64) time.Duration {
	if len(l) == 0 {
		return 0
	}
	l = slices.Sorted(slices.Values(l))
	return l[min(len(l)-1, int(q*float64(len(l))))]
}

// Failed returns the number of calls that were sent and got no response in time.
func (r *Result) Failed() int {
	n := 0
	for _, m := range r.Members {
		n += m.Calls - m.Good
	}
	return n
}

// Waste returns the slot time of attempts without a response as a share of the slot capacity.
func (r *Result) Waste() float64 {
	return r.Wasted.Seconds() / (r.Period.Seconds() * r.Slots)
}
