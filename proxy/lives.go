package proxy

import (
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// formerIncarnationTTL is how long the incarnation of a former process is remembered, so that
// its late announcements are recognised. It exceeds the longest delay of an announcement; a
// value that is used again later counts as new.
const formerIncarnationTTL = 30 * time.Second

// maxFormer limits the former incarnations that are remembered. A backend server that restarts without end has some 30
// processes in formerIncarnationTTL; the path for announcements is open to any client.
const maxFormer = 64

// ProcessChange says how the process in an announcement relates to the known process of the backend
// server.
type ProcessChange string

// The values of ProcessChange.
const (
	ProcessSame     ProcessChange = "Same"    // the known process, the first one, or no incarnation given
	ProcessReplaced ProcessChange = "New"     // another process, after the former one had announced that it drains
	ProcessCrashed  ProcessChange = "Crashed" // another process, although the former one had not announced that it drains
	ProcessStale    ProcessChange = "Former"  // a late announcement of a former process
	ProcessLeft     ProcessChange = "Left"    // a late announcement of the known process, which had announced that it drains
)

// processTracker tells the processes of the backend server apart by the incarnations that they
// announce.
type processTracker struct {
	mu        sync.Mutex
	known     ident.Incarnation // zero: none announced so far
	leaving   bool              // the process announced that it drains or has ended
	lastHeard time.Time         // when the last announcement came
	former    map[ident.Incarnation]time.Time
	process   *process
}

func newProcessTracker() *processTracker {
	return &processTracker{former: map[ident.Incarnation]time.Time{}, process: newProcess()}
}

// begin registers a call that is sent to the current process.
func (l *processTracker) begin(c *targetCall) *process {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.process.begin(c)
	return l.process
}

// announced records an announcement. If it is the first one of a new process, it also returns
// the former process and the time of its last announcement.
func (l *processTracker) announced(inc ident.Incarnation, leaving bool) (change ProcessChange, old *process, lastHeard time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for i, until := range l.former {
		if !now.Before(until) {
			delete(l.former, i)
		}
	}
	if _, ok := l.former[inc]; ok {
		return ProcessStale, nil, lastHeard
	}
	if inc != 0 && inc == l.known && l.leaving && !leaving {
		return ProcessLeft, nil, lastHeard
	}
	change = ProcessSame
	switch {
	case inc == 0 || inc == l.known:
	case l.known == 0:
		l.known = inc
	default:
		change = ProcessCrashed
		if l.leaving {
			change = ProcessReplaced
		}
		old, lastHeard = l.process, l.lastHeard
		l.remember(l.known, now.Add(formerIncarnationTTL))
		l.known, l.process = inc, newProcess()
	}
	l.leaving, l.lastHeard = leaving, now
	return change, old, lastHeard
}

// remember adds a former incarnation, in place of the one that expires first if there are too many. l.mu must be held.
func (l *processTracker) remember(inc ident.Incarnation, until time.Time) {
	l.former[inc] = until
	if len(l.former) <= maxFormer {
		return
	}
	first := inc
	for i, at := range l.former {
		if at.Before(l.former[first]) {
			first = i
		}
	}
	delete(l.former, first)
}

// Announced handles an announcement of the backend server beside this daemon. An incarnation
// of zero means that none is given; leaving means that the server drains or has ended. Calls
// running at a process that ended without a drain fail with AnswerLost, and their requests
// become suspects.
func (t *Target) Announced(inc ident.Incarnation, leaving bool) ProcessChange {
	change, old, lastHeard := t.processes.announced(inc, leaving)
	if old == nil {
		return change
	}
	t.dropPool()
	if change == ProcessCrashed {
		t.endProcess(old, lastHeard)
	}
	return change
}

func (t *Target) endProcess(p *process, lastHeard time.Time) {
	broken, running := p.markCrashed(lastHeard)
	for _, b := range broken {
		t.recordCrash(b.suspect, b.addr)
		if f := t.d.BeginSuspect; f != nil {
			f(b.suspect, b.addr)(true)
		}
	}
	for _, c := range running {
		// The call fails as it would if the end of the process had closed the connection.
		c.trace.closeConn()
	}
}
