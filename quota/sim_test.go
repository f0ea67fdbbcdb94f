package quota

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/refuse"
	"github.com/marjoramcroft/marjoramcroft/stats"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

const testService ident.ServiceID = "lessons"

var errDown = errors.New("down")

// sim simulates a service whose daemons run in virtual time.
type sim struct {
	store       *fakeStore
	rnd         *rand.Rand
	rndMu       sync.Mutex
	caps        map[ident.MemberID]ident.Units
	maxRunning  map[ident.MemberID]ident.Units // calls that may run; above the cap until a lowered cap takes effect
	violations  []string                       // times at which more calls ran than maxRunning
	longTimeout time.Duration
	nodes       []*node
	nodesMu     sync.Mutex
	rank        func() int // overrides the rank of all candidates
	parentCtx   context.Context
	running     map[ident.MemberID]ident.Units // calls running on the backend servers
	peak        map[ident.MemberID]ident.Units
	runMu       sync.Mutex
	stopLoad    func()      // ends the load
	measured    string      // what holders and keeper believed at the end of measureUsable's demand
	fixedJitter atomic.Bool // all jitter is the same
	bytes       int64
	sent        int64
	types       map[wire.Type]int64 // calls sent
	// loseAnswer reports whether an answer is lost.
	loseAnswer func(t wire.Type) bool
	// dropRequest reports whether requests of the type are lost.
	dropRequest func(t wire.Type) bool
}

// node is a VM. Its daemon process may be replaced.
type node struct {
	s           *sim
	addr        ident.Addr
	region      int
	partitioned atomic.Bool                   // partitioned from the others and from the store
	island      atomic.Bool                   // reaches only other islanders, and not the store; callers reach it
	pause       atomic.Pointer[chan struct{}] // closed when the paused daemon resumes
	era         atomic.Uint64                 // of the last answer of the store
	skew        atomic.Int64                  // added to the wall clock
	process     atomic.Pointer[process]
}

// process is one process of a daemon.
type process struct {
	holder *Holder
	keeper *Keeper
	ctx    context.Context
	cancel context.CancelFunc
}

func (p *process) dead() bool { return p.ctx.Err() != nil }

func newSim(ctx context.Context, seed int64, n, regions int, limit ident.Units, longTimeout time.Duration) *sim {
	s := &sim{
		store:       newFakeStore(),
		rnd:         rand.New(rand.NewSource(seed)),
		caps:        map[ident.MemberID]ident.Units{member: limit},
		maxRunning:  map[ident.MemberID]ident.Units{member: limit},
		longTimeout: longTimeout,
		parentCtx:   ctx,
		types:       map[wire.Type]int64{},
		running:     map[ident.MemberID]ident.Units{},
		peak:        map[ident.MemberID]ident.Units{},
	}
	for i := range n {
		s.nodes = append(s.nodes, &node{s: s, addr: ident.Addr(fmt.Sprintf("vm-%02d:7000", i)), region: i % 2 * min(1, regions-1)})
	}
	for _, n := range s.nodes {
		n.start()
	}
	return s
}

func (s *sim) randFloat() float64 {
	if s.fixedJitter.Load() {
		return 0.5
	}
	s.rndMu.Lock()
	defer s.rndMu.Unlock()
	return s.rnd.Float64()
}

func (s *sim) nodeAt(addr ident.Addr) *node {
	s.nodesMu.Lock()
	defer s.nodesMu.Unlock()
	for _, n := range s.nodes {
		if n.addr == addr {
			return n
		}
	}
	return nil
}

// start starts a new process of the daemon.
func (n *node) start() {
	s := n.s
	p := &process{}
	p.ctx, p.cancel = context.WithCancel(s.parentCtx)
	clock := Clock{Mono: SystemClock().Mono, Wall: n.wall}
	limit := func(m ident.MemberID) ident.Units {
		s.runMu.Lock()
		defer s.runMu.Unlock()
		return s.caps[m]
	}
	p.keeper = NewKeeper(KeeperDeps{
		Service: testService, Addr: n.addr, Clock: clock, Driver: s.store.driver(n), Call: n.call(p), Cap: limit,
		LongTimeout: func() time.Duration { return s.longTimeout },
		Candidate:   func() bool { n.waitWhilePaused(); return p.holder.WithoutKeeper() },
		List:        func() List { return p.holder.List() },
		Rank:        n.rank,
		Rand:        s.randFloat, Log: event.Discard(), Stats: stats.New(),
	})
	p.holder = NewHolder(HolderDeps{
		Service: testService, Addr: n.addr, Incarnation: ident.NewIncarnation(time.Now()), Clock: clock,
		Cap: limit, Locate: p.keeper.Locate, Call: n.call(p), Rand: s.randFloat, Log: event.Discard(), Stats: stats.New(),
	})
	n.process.Store(p)
	go func() { _ = p.keeper.Run(p.ctx) }()
	go func() { _ = p.holder.Run(p.ctx) }()
}

func (n *node) rank() int {
	n.s.runMu.Lock()
	defer n.s.runMu.Unlock()
	if n.s.rank != nil {
		return n.s.rank()
	}
	return rendezvousRank("keeper", n.s.addrs(), n.addr)
}

func (s *sim) setRank(f func() int) {
	s.runMu.Lock()
	defer s.runMu.Unlock()
	s.rank = f
}

func (s *sim) setLoseAnswer(f func(wire.Type) bool) {
	s.runMu.Lock()
	defer s.runMu.Unlock()
	s.loseAnswer = f
}

// setCap changes the cap of the member. Up to ceiling calls may run until those admitted
// before have ended.
func (s *sim) setCap(limit, ceiling ident.Units) {
	s.runMu.Lock()
	defer s.runMu.Unlock()
	s.caps[member], s.maxRunning[member] = limit, ceiling
}

func (n *node) wall() time.Time {
	return time.Now().Round(0).Add(time.Duration(n.skew.Load()))
}

// kill ends the daemon without notice. Calls on its backend server continue.
func (n *node) kill() { n.process.Load().cancel() }

// suspend pauses the daemon until resume is called.
func (n *node) suspend() {
	ch := make(chan struct{})
	n.pause.Store(&ch)
}

func (n *node) resume() {
	if ch := n.pause.Swap(nil); ch != nil {
		close(*ch)
	}
}

// waitWhilePaused blocks while the daemon is paused.
func (n *node) waitWhilePaused() {
	if ch := n.pause.Load(); ch != nil {
		<-*ch
	}
}

func (s *sim) addrs() []ident.Addr {
	s.nodesMu.Lock()
	defer s.nodesMu.Unlock()
	var out []ident.Addr
	for _, n := range s.nodes {
		out = append(out, n.addr)
	}
	return out
}

// call returns the Call of one process of the daemon.
func (n *node) call(p *process) Call {
	return func(ctx context.Context, addr ident.Addr, t wire.Type, in, out any) error {
		s := n.s
		body, err := wire.Encode(in)
		if err != nil {
			return err
		}
		n.waitWhilePaused()
		to := s.nodeAt(addr)
		delay := 500 * time.Microsecond
		if to != nil && to.region != n.region {
			delay = 20 * time.Millisecond
		}
		time.Sleep(delay)
		if s.dropped(t) || p.dead() || to == nil || to.process.Load().dead() || n.partitioned.Load() || to.partitioned.Load() ||
			n.island.Load() != to.island.Load() {
			time.Sleep(10 * time.Millisecond)
			return errDown
		}
		type result struct {
			body []byte
			err  error
		}
		got := make(chan result, 1)
		go func() { // a paused peer handles the message late
			to.waitWhilePaused()
			handle := to.process.Load().keeper.Handle
			if t == TypeSeal || t == TypeList || t == TypeFree {
				handle = to.process.Load().holder.Handle
			}
			body, err := handle(ctx, nil, t, body)
			to.waitWhilePaused()
			time.Sleep(delay)
			got <- result{body, err}
		}()
		var r result
		select {
		case r = <-got:
		case <-ctx.Done():
		}
		n.waitWhilePaused()
		s.runMu.Lock()
		s.bytes += int64(len(body) + len(r.body))
		s.sent += 2
		s.types[t]++
		lost := s.loseAnswer != nil && s.loseAnswer(t)
		s.runMu.Unlock()
		if lost || p.dead() || ctx.Err() != nil {
			return errDown
		}
		if r.err != nil {
			return r.err
		}
		return wire.Decode(r.body, out)
	}
}

// run starts a call of member m at n that takes d of its timeout, and returns an error if it
// was not admitted. A daemon that has died neither cancels nor releases its calls: they run on
// the backend server until their deadline plus up to the grace period.
func (n *node) run(m ident.MemberID, class agree.Class, timeout, d time.Duration) (func(), error) {
	s, p := n.s, n.process.Load()
	if p.dead() || n.partitioned.Load() {
		return nil, errDown
	}
	n.waitWhilePaused()
	deadline := n.wall().Add(timeout)
	release, err := p.holder.Acquire(p.ctx, Request{Member: m, Class: class, Deadline: deadline})
	if err != nil {
		if r := refuse.From(err); r == nil || r.Ran != refuse.RanNo {
			panic(fmt.Sprintf("got %v instead of a typed refusal of a call that did not run", err))
		}
		return nil, err
	}
	n.waitWhilePaused()
	left := deadline.Sub(n.wall())
	if p.dead() || left <= 0 {
		release()
		return nil, errDown // nothing was sent
	}
	s.addRunning(m, 1)
	time.AfterFunc(min(d, left), func() {
		if p.dead() {
			// Nobody cancels the call; the backend server stops it at the deadline.
			time.AfterFunc(left-min(d, left)+StopGrace/2, func() { s.addRunning(m, -1) })
			return
		}
		s.addRunning(m, -1)
		n.waitWhilePaused()
		release()
	})
	return release, nil
}

// addRunning adds n to the running calls of m and records a violation if there are too many.
func (s *sim) addRunning(m ident.MemberID, n ident.Units) {
	s.runMu.Lock()
	defer s.runMu.Unlock()
	s.running[m] += n
	s.peak[m] = max(s.peak[m], s.running[m])
	if s.running[m] > s.maxRunning[m] {
		s.violations = append(s.violations, fmt.Sprintf("%s runs %d calls, cap %d, at %s", m, s.running[m], s.maxRunning[m], time.Now().Format("15:04:05.000")))
	}
}
