package pace

import "time"

// Ticket asks a Link for permission, one Ask at a time. Each writer has its own.
type Ticket struct {
	ready chan struct{} // receives a value when permission is given
	ask   Ask
	seq   uint64
	index int // in the queue of its class; -1: not waiting
	since time.Time
	wake  func() // of a Path
	turn  bool   // its writer has been woken, and goes before those that wait
}

// NewTicket returns a Ticket that asks for nothing.
func NewTicket() *Ticket { return &Ticket{ready: make(chan struct{}, 1), index: -1} }

// Ready returns the channel that receives a value when a waiting Ask gets its permission.
func (t *Ticket) Ready() <-chan struct{} { return t.ready }

// ticketQueue is a heap of tickets of one class.
type ticketQueue []*Ticket

func (q ticketQueue) Len() int { return len(q) }

func (q ticketQueue) Less(i, j int) bool {
	a, b := q[i], q[j]
	switch {
	case a.ask.Before(&b.ask):
		return true
	case b.ask.Before(&a.ask):
		return false
	}
	return a.seq < b.seq
}

func (q ticketQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push appends x; it is called by package heap.
func (q *ticketQueue) Push(x any) {
	t, ok := x.(*Ticket)
	if !ok {
		return
	}
	t.index = len(*q)
	*q = append(*q, t)
}

// Pop removes the last element; it is called by package heap.
func (q *ticketQueue) Pop() any {
	old := *q
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	t.index = -1
	return t
}
