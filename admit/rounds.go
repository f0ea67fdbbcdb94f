package admit

import (
	"math"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// scheduler serves the queues of one class by deficit round robin. A member's share is counted
// in expected service time, so that a member with long calls gets no more than the others.
type scheduler struct {
	queues  map[ident.MemberID]*queue
	active  []*queue // queues with waiting calls, in the order of service
	next    int
	waiting int

	credited bool // the queue at next has received its quantum of this round
}

func newScheduler() *scheduler {
	return &scheduler{queues: map[ident.MemberID]*queue{}}
}

func (s *scheduler) push(w *waiter) {
	q := s.queues[w.member]
	if q == nil {
		q = &queue{member: w.member}
		s.queues[w.member] = q
		s.active = append(s.active, q)
	}
	q.push(w)
	s.waiting++
}

func (s *scheduler) remove(w *waiter) bool {
	q := w.queue
	if q == nil || !q.remove(w) {
		return false
	}
	s.waiting--
	if len(q.waiting) == 0 {
		s.drop(q)
	}
	return true
}

// drop removes an empty queue together with its deficit, as deficit round robin requires.
func (s *scheduler) drop(q *queue) {
	delete(s.queues, q.member)
	for i, x := range s.active {
		if x == q {
			s.active = append(s.active[:i], s.active[i+1:]...)
			if i < s.next {
				s.next--
			} else if i == s.next {
				s.credited = false
			}
			break
		}
	}
	if s.next >= len(s.active) {
		s.next = 0
	}
}

// pop returns the next call, or nil. It computes in one step the rounds until some member
// has enough deficit for its next call, so that its running time does not depend on the quantum.
func (s *scheduler) pop(quantum float64) *waiter {
	if s.waiting == 0 {
		return nil
	}
	quantum = max(quantum, 1e-6)
	n := len(s.active)
	if s.credited {
		if q := s.active[s.next]; q.deficit >= q.cost(quantum) {
			return s.serve(q, quantum)
		}
		s.next = (s.next + 1) % n
	}
	best, least := 0, math.MaxFloat64
	for i := range n {
		q := s.active[(s.next+i)%n]
		if k := max(1, math.Ceil((q.cost(quantum)-q.deficit)/quantum)); k < least {
			best, least = i, k
		}
	}
	for i := range n {
		k := least
		if i > best {
			k--
		}
		s.active[(s.next+i)%n].deficit += k * quantum
	}
	s.next = (s.next + best) % n
	s.credited = true
	return s.serve(s.active[s.next], quantum)
}

func (s *scheduler) serve(q *queue, quantum float64) *waiter {
	w := q.waiting[0]
	q.deficit -= q.cost(quantum)
	s.remove(w)
	return w
}

// serviceAhead returns the expected service time in seconds of the calls that are served before a
// new call of member. Each other member contributes at most as much as member itself.
func (s *scheduler) serviceAhead(member ident.MemberID, cost float64) float64 {
	sum := 0.0
	if q := s.queues[member]; q != nil {
		for _, w := range q.waiting {
			sum += w.cost
		}
	}
	own := sum + cost // service time of the member including the new call
	for _, q := range s.active {
		if q.member == member {
			continue
		}
		other := 0.0
		for _, w := range q.waiting {
			if other += w.cost; other >= own {
				break
			}
		}
		sum += min(other, own)
	}
	return sum
}

// length returns the number of waiting calls of member.
func (s *scheduler) length(member ident.MemberID) int {
	if q := s.queues[member]; q != nil {
		return len(q.waiting)
	}
	return 0
}
