package admit

import (
	"slices"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// queue holds the waiting calls of one member and class, the earliest deadline first and calls
// without a deadline last. A call that has crossed regions or was refused elsewhere has less time
// left, so with this order it does not wait again behind calls that have just arrived.
type queue struct {
	member  ident.MemberID
	waiting []*waiter
	deficit float64 // service time in seconds that the member may still use in this round
}

// push inserts w after the calls whose deadline is not later.
func (q *queue) push(w *waiter) {
	i := len(q.waiting)
	for i > 0 && w.before(q.waiting[i-1]) {
		i--
	}
	q.waiting = slices.Insert(q.waiting, i, w)
	w.queue = q
}

func (q *queue) remove(w *waiter) bool {
	for i, x := range q.waiting {
		if x == w {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			w.queue = nil
			return true
		}
	}
	return false
}

// cost returns the expected service time of the next call, or quantum if it is unknown.
func (q *queue) cost(quantum float64) float64 {
	if c := q.waiting[0].cost; c > 0 {
		return c
	}
	return quantum
}
