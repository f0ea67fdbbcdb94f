package dedup

import (
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// State is the state of a record.
type State string

// The states of a record.
const (
	StateRunning  State = "Running"
	StateDone     State = "Done"
	StateUnknown  State = "Unknown"
	StateReleased State = "Released" // provably not run; another call may claim the key
)

// Entry is the record of one key.
type Entry struct {
	digest   uint64
	call     ident.CallID
	state    State
	answer   Answer
	bound    bool          // the key is bound to this process
	deadline time.Time     // of the call
	expires  time.Time     // time after which the record is dropped
	rev      uint64        // increases with each change
	done     chan struct{} // closed when the state is no longer Running
}

// complete sets the final state of a running record and wakes waiting claims.
func (e *Entry) complete(state State, a Answer) {
	e.state, e.answer = state, a
	e.rev++
	close(e.done)
}

// bytes estimates the memory use of the record and its key.
func (e *Entry) bytes(key Scope) int64 {
	return int64(entryBytes + len(key.Member) + len(key.Key) + e.answer.size())
}

// record converts the entry for transfer to another daemon.
func (e *Entry) record(key Scope, now time.Time) Record {
	return Record{
		Scope: key, Digest: e.digest, Call: e.call, State: e.state, Answer: e.answer,
		Left: e.expires.Sub(now), RunLeft: max(0, e.deadline.Sub(now)),
	}
}

// entry converts a transferred record to an entry.
func (r Record) entry(now time.Time) *Entry {
	e := &Entry{
		digest: r.Digest, call: r.Call, state: r.State, answer: r.Answer,
		deadline: now.Add(r.RunLeft), expires: now.Add(r.Left), done: make(chan struct{}),
	}
	if r.State != StateRunning {
		close(e.done)
	}
	return e
}
