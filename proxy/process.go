package proxy

import (
	"slices"
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

const (
	// brokenCallTTL is how long a call with a broken connection is kept, until the
	// announcement of a new process proves a crash: a backend server announces itself each
	// second and counts as gone after 3 s of silence.
	brokenCallTTL = 3 * time.Second
	// maxBrokenCalls limits the calls kept: a crash breaks at most the connections of a
	// backend server (120).
	maxBrokenCalls = 256
)

// process is one process of the backend server, with the calls running at it.
type process struct {
	mu      sync.Mutex
	calls   map[*targetCall]struct{}
	broken  []brokenCall // of the last brokenCallTTL, oldest first
	crashed bool
}

// brokenCall is a call whose connection broke while the address still accepted new ones.
type brokenCall struct {
	suspect Suspect
	addr    ident.Addr
	at      time.Time
}

func newProcess() *process {
	return &process{calls: map[*targetCall]struct{}{}}
}

func (p *process) begin(c *targetCall) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls[c] = struct{}{}
}

func (p *process) end(c *targetCall) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.calls, c)
}

// recordBroken records that the connection of c broke, and reports whether the process is
// known to have crashed.
func (p *process) recordBroken(c *targetCall) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.crashed {
		return true
	}
	if len(p.broken) == maxBrokenCalls {
		p.broken = slices.Delete(p.broken, 0, 1)
	}
	p.broken = append(p.broken, brokenCall{c.suspect, c.backend.Addr, time.Now()})
	return false
}

// removeBroken removes the broken calls with a request that has completed since.
func (p *process) removeBroken(s Suspect) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.broken = slices.DeleteFunc(p.broken, func(b brokenCall) bool { return b.suspect == s })
}

// markCrashed records that the process has ended. It returns the calls that broke shortly
// before, and the running calls whose connection was opened before lastHeard, the time of the
// process's last announcement. A later connection may lead to the next process: its call
// counts as crashed only if the connection breaks.
func (p *process) markCrashed(lastHeard time.Time) (broken []brokenCall, running []*targetCall) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashed = true
	for _, b := range p.broken {
		if time.Since(b.at) <= brokenCallTTL {
			broken = append(broken, b)
		}
	}
	p.broken = nil
	for c := range p.calls {
		if c.trace.openedBefore(lastHeard) {
			running = append(running, c)
		}
	}
	return broken, running
}
