package admit

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/peers"
	"github.com/marjoramcroft/marjoramcroft/refuse"
	"github.com/marjoramcroft/marjoramcroft/stats"
)

// Gate admits calls to one backend server. Its methods are safe for concurrent use. A single
// lock is enough, since the state is that of one server.
type Gate struct {
	cfg   Config
	stats *stats.Set
	log   *event.Log
	start time.Time

	mu         sync.Mutex
	state      peers.State
	limit      limit
	times      classifier
	running    [2]int // short, long
	reserve    reserve
	schedulers [2]*scheduler
	idle       chan struct{} // closed when no call runs; nil while no Drain waits for that
}

// New returns a Gate that refuses calls until Configure is called.
func New(cfg Config, set *stats.Set, log *event.Log) *Gate {
	g := &Gate{
		cfg: cfg, stats: set, log: log, start: time.Now(),
		state:      peers.Starting,
		schedulers: [2]*scheduler{newScheduler(), newScheduler()},
	}
	g.limit.cfg = &g.cfg
	g.times = newClassifier(&g.cfg)
	return g
}

func (g *Gate) now() time.Duration {
	return time.Since(g.start)
}

// Configure sets the slots and the state that the backend server announced. Queued calls are
// refused as not run when the state is not Ready; calls in flight continue.
func (g *Gate) Configure(slots ident.Units, state peers.State) {
	g.mu.Lock()
	defer g.mu.Unlock()
	old := g.state
	g.state = state
	if state == peers.Ready && old != peers.Ready {
		g.limit.resetCold(int(slots))
	} else {
		g.limit.resize(int(slots))
	}
	if state == peers.Ready {
		g.dispatch()
		return
	}
	r := g.stateRefusal()
	for _, s := range g.schedulers {
		for _, q := range s.queues {
			for _, w := range q.waiting {
				w.queue = nil
				w.result <- r
			}
		}
	}
	g.schedulers = [2]*scheduler{newScheduler(), newScheduler()}
	if old == peers.Ready {
		g.log.Emit(event.ServerDraining, "InFlight", g.inUse())
	}
}

// Restart is Configure for a new process of the backend server, which begins cold even if
// the previous one was last announced as Ready. Queued calls wait for the new process.
func (g *Gate) Restart(slots ident.Units, state peers.State) {
	g.mu.Lock()
	g.limit.resetCold(int(slots))
	g.mu.Unlock()
	g.Configure(slots, state)
}

// stateRefusal returns the refusal that follows from the current state, or nil.
func (g *Gate) stateRefusal() *refuse.Refusal {
	switch g.state {
	case peers.Ready:
		return nil
	case peers.Starting:
		return refuse.NotRun(refuse.Starting, "backend server is starting")
	default:
		return refuse.NotRun(refuse.Draining, "backend server is leaving")
	}
}

// InUse returns the number of running calls.
func (g *Gate) InUse() ident.Units {
	g.mu.Lock()
	defer g.mu.Unlock()
	return ident.Units(g.inUse())
}

func (g *Gate) inUse() int {
	return g.running[classShort] + g.running[classLong]
}

// Waiting returns the number of short calls that wait for a slot.
func (g *Gate) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.schedulers[classShort].waiting
}

// Limit returns the number of calls that may currently run at the same time.
func (g *Gate) Limit() ident.Units {
	g.mu.Lock()
	defer g.mu.Unlock()
	return ident.Units(g.limit.get())
}

// Drain stops admission and returns when no call is in flight. The error is that of ctx.
func (g *Gate) Drain(ctx context.Context) error {
	g.Configure(ident.Units(g.declaredSlots()), peers.Draining)
	g.mu.Lock()
	if g.inUse() == 0 {
		g.mu.Unlock()
		g.log.Emit(event.ServerDrained)
		return nil
	}
	if g.idle == nil {
		g.idle = make(chan struct{})
	}
	idle := g.idle
	g.mu.Unlock()
	select {
	case <-idle:
		g.log.Emit(event.ServerDrained)
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (g *Gate) declaredSlots() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limit.slots
}

// refusal counts r in the statistics and returns it.
func (g *Gate) refusal(r *refuse.Refusal) error {
	g.stats.Refused(r)
	return r
}

// Enter waits for a slot until the deadline of ctx. The error is a *refuse.Refusal; the call
// has not run.
func (g *Gate) Enter(ctx context.Context, req Request) (*Ticket, error) {
	if err := ctx.Err(); err != nil {
		return nil, g.refusal(contextRefusal(err))
	}
	now := g.now()
	g.mu.Lock()
	w, r := g.admit(ctx, &req, now)
	if r != nil {
		g.mu.Unlock()
		return nil, g.refusal(r)
	}
	if w.result == nil {
		g.mu.Unlock()
		return g.ticket(req, w.class), nil
	}
	g.mu.Unlock()

	select {
	case r := <-w.result:
		if r != nil {
			return nil, g.refusal(r)
		}
		return g.ticket(req, w.class), nil
	case <-ctx.Done():
	}
	g.mu.Lock()
	if !g.schedulers[w.class].remove(w) {
		// The result was sent at the same time: give the slot back if it was granted.
		if r := <-w.result; r == nil {
			g.release(w.class)
		}
	}
	g.mu.Unlock()
	return nil, g.refusal(contextRefusal(ctx.Err()))
}

// contextRefusal returns the refusal for a call whose context ended before it got a slot.
func contextRefusal(err error) *refuse.Refusal {
	if errors.Is(err, context.DeadlineExceeded) {
		return refuse.NotRun(refuse.DeadlinePassed, "deadline passed before a slot was free")
	}
	return refuse.NotRun(refuse.Cancelled, "caller left before a slot was free")
}

// admit gives the call a slot, queues it or refuses it. A waiter without a result channel already
// has a slot.
func (g *Gate) admit(ctx context.Context, req *Request, now time.Duration) (*waiter, *refuse.Refusal) {
	if r := g.stateRefusal(); r != nil {
		return nil, r
	}
	class := g.times.classOf(req)
	if class == classShort {
		g.reserve.observe(now, g.running[classShort]+g.schedulers[classShort].waiting+1)
	}
	cost := g.times.expect(now, req, class)
	w := &waiter{member: req.Member, class: class, cost: cost}
	if d, ok := ctx.Deadline(); ok {
		w.deadline = d.Sub(g.start)
		if now+seconds(g.expectedWait(req.Member, class, cost, now)+cost) > w.deadline {
			return nil, refuse.NotRun(refuse.DeadlineTooShort, "the call cannot finish before its deadline")
		}
	}
	if g.canStart(class, now) && g.schedulers[class].waiting == 0 {
		g.running[class]++
		return w, nil
	}
	if g.schedulers[class].length(req.Member) >= g.cfg.QueuePerMember {
		return nil, refuse.NotRun(refuse.QueueFull, "the member's queue is full")
	}
	w.result = make(chan *refuse.Refusal, 1)
	g.schedulers[class].push(w)
	return w, nil
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// longLimit returns the number of slots that long work may hold: LongShare of them, or
// fewer if short work needs more than the rest, but at least the share that LongShare leaves to short work.
func (g *Gate) longLimit(now time.Duration) int {
	n := float64(g.limit.get())
	most := g.cfg.LongShare * n
	least := n - most
	return max(1, int(max(least, min(most, n-g.reserve.slots(now)))+1e-9))
}

// canStart reports whether a call of class may start.
func (g *Gate) canStart(class int, now time.Duration) bool {
	if g.inUse() >= g.limit.get() {
		return false
	}
	return class == classShort || g.running[classLong] < g.longLimit(now)
}

// expectedWait returns the expected seconds until a new call of member would start.
func (g *Gate) expectedWait(member ident.MemberID, class int, cost float64, now time.Duration) float64 {
	if g.canStart(class, now) && g.schedulers[class].waiting == 0 {
		return 0
	}
	n := g.limit.get()
	if class == classLong {
		n = g.longLimit(now)
	} else {
		n = max(1, n-g.running[classLong])
	}
	ahead := g.schedulers[class].serviceAhead(member, cost)
	// Running calls are half done on average.
	busy := g.times.class[class].expect(now, g.cfg.StaleAfter) / 2
	return ahead/float64(n) + busy/float64(n)
}

// dispatchMargin is the multiple of the expected service time that must remain until the deadline of
// a call when other calls wait. With the mean alone, about half of the calls that start at the last
// moment would be cut off at their deadline.
const dispatchMargin = 2

// dispatch gives free slots to waiting calls. Short work goes first, except while long
// work holds less than a third of the slots, so that neither class starves.
func (g *Gate) dispatch() {
	now := g.now()
	for {
		class := classShort
		long := g.schedulers[classLong].waiting > 0 && g.canStart(classLong, now)
		if long && (g.schedulers[classShort].waiting == 0 || 3*(g.running[classLong]+1) <= g.limit.get()) {
			class = classLong
		}
		if g.schedulers[class].waiting == 0 || !g.canStart(class, now) {
			return
		}
		w := g.schedulers[class].pop(g.times.class[class].mean)
		need := w.cost
		if g.schedulers[class].waiting > 0 {
			need *= dispatchMargin
		}
		if w.deadline > 0 && now+seconds(need) > w.deadline {
			w.result <- refuse.NotRun(refuse.DeadlineTooShort, "the call can no longer finish before its deadline")
			continue
		}
		g.running[class]++
		w.result <- nil
	}
}

func (g *Gate) release(class int) {
	g.running[class]--
	if g.inUse() == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
	if g.state == peers.Ready {
		g.dispatch()
	}
}

func (g *Gate) ticket(req Request, class int) *Ticket {
	return &Ticket{done: func(o Outcome) { g.done(req, class, o) }}
}

func (g *Gate) done(req Request, class int, o Outcome) {
	now := g.now()
	g.mu.Lock()
	full := g.inUse() >= g.limit.get()
	lowered := false
	switch {
	case o.Shed:
		lowered = g.limit.lower(now, g.cfg.ShedFactor, 0)
	case o.Failed:
	default:
		g.times.add(now, &req, class, o.Service)
		if class == classShort {
			lowered = g.limit.observe(now, o.Service, full)
		} else {
			g.limit.raise()
		}
	}
	value := g.limit.get()
	g.release(class)
	g.mu.Unlock()
	if o.Shed {
		g.stats.Inc("Admit.Shed")
	}
	if lowered {
		g.stats.Inc("Admit.Lowered")
		g.log.Emit(event.LimitLowered, "Limit", value)
	}
}
