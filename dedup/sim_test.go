package dedup

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/quota"
	"github.com/marjoramcroft/marjoramcroft/refuse"
	"github.com/marjoramcroft/marjoramcroft/stats"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

const (
	testService ident.ServiceID = "bookings"
	member      ident.MemberID  = "office"
)

var errDown = errors.New("down")

// sim simulates the daemons of a service and the keeper of the holder list. As in the real
// list, a change waits until the previous one is acknowledged.
type sim struct {
	ctx        context.Context
	cancelAll  context.CancelFunc
	mu         sync.Mutex
	rng        *rand.Rand
	list       quota.List
	nodes      map[ident.Addr]*node
	runs       map[Key]int // number of runs of the call of each key
	violations []string    // keys that ran more than once
	lossRate   float64     // fraction of replies that are lost
}

// node is one daemon: a home and an entry daemon.
type node struct {
	s            *sim
	addr         ident.Addr
	partitioned  atomic.Bool
	pause        atomic.Pointer[chan struct{}]
	process      atomic.Pointer[process]
	lastClean    ident.Incarnation // the previous process, if it stopped cleanly
	joinedBefore bool              // a process of this node has been in the list
}

// process is one process of a daemon. Its copy of the list lags behind the keeper's.
type process struct {
	ctx         context.Context
	cancel      context.CancelFunc
	incarnation ident.Incarnation
	previous    ident.Incarnation
	joined      bool
	view        atomic.Pointer[quota.List]
	table       *Table
	client      *Client
}

func (p *process) list() quota.List {
	if v := p.view.Load(); v != nil {
		return *v
	}
	return quota.List{}
}

// newSim starts n daemons in a synctest bubble and gives them time to synchronise.
func newSim(ctx context.Context, seed int64, n int) *sim {
	ctx, cancel := context.WithCancel(ctx)
	s := &sim{ctx: ctx, cancelAll: cancel, rng: rand.New(rand.NewSource(seed)), nodes: map[ident.Addr]*node{}, runs: map[Key]int{}}
	s.list.Version = 1
	for i := range n {
		s.list.Holders = append(s.list.Holders, ident.Addr(fmt.Sprintf("vm-%d:7000", i)))
	}
	for _, a := range s.list.Holders {
		s.nodes[a] = &node{s: s, addr: a}
		s.nodes[a].start()
	}
	time.Sleep(3 * time.Second)
	return s
}

// stop stops all daemons and gives their calls time to end.
func (s *sim) stop() {
	s.cancelAll()
	time.Sleep(time.Minute)
}

func (s *sim) randFloat() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64()
}

func (s *sim) node(addr ident.Addr) *node {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nodes[addr]
}

// start starts a new process, which receives the list as a quota.Holder does.
func (n *node) start() {
	s := n.s
	p := &process{incarnation: ident.NewIncarnation(time.Now())}
	p.ctx, p.cancel = context.WithCancel(s.ctx)
	s.mu.Lock()
	p.previous, n.lastClean = n.lastClean, 0
	p.joined, n.joinedBefore = !n.joinedBefore, true
	s.mu.Unlock()
	yes := func() bool { return p.view.Load() != nil }
	p.table = New(TableDeps{
		Service: testService, Addr: n.addr, Incarnation: p.incarnation, List: p.list, Leased: yes, Confirmed: yes,
		PreviousIncarnation: func() ident.Incarnation { return p.previous }, Joined: func() bool { return p.joined },
		Call: n.call(p), Rand: func() uint64 { return uint64(s.randFloat() * (1 << 60)) },
		Log: event.Discard(), Stats: stats.New(),
	})
	p.client = NewClient(ClientDeps{
		Addr: n.addr, Table: p.table, Call: n.call(p), Rand: s.randFloat, Stats: stats.New(),
		List: func(ctx context.Context, _ ident.ServiceID, refresh bool) (quota.List, error) { return p.list(), nil },
	})
	n.process.Store(p)
	go func() { _ = p.table.Run(p.ctx) }()
	go n.sync(p)
}

// sync learns and acknowledges the list as quota.Holder does.
func (n *node) sync(p *process) {
	s := n.s
	for p.ctx.Err() == nil {
		n.wait()
		if !n.partitioned.Load() {
			version := p.list().Version
			ready := version > 0 && p.table.Ready(version)
			s.mu.Lock()
			if ready && p.ctx.Err() == nil && version == s.list.Version && !slices.Contains(s.list.Acked, n.addr) && slices.Contains(s.list.Prev, n.addr) {
				s.list.Acked = append(slices.Clone(s.list.Acked), n.addr)
				s.endChange()
			}
			v := s.list
			s.mu.Unlock()
			p.view.Store(&v)
		}
		time.Sleep(time.Duration(200+600*s.randFloat()) * time.Millisecond)
	}
}

// endChange completes the list change once all remaining holders have acknowledged it.
func (s *sim) endChange() {
	for _, a := range s.list.Prev {
		if slices.Contains(s.list.Holders, a) && !slices.Contains(s.list.Acked, a) {
			return
		}
	}
	s.list.Prev, s.list.Acked = nil, nil
}

// add adds a daemon to the list, unless another change is in progress.
func (s *sim) add(addr ident.Addr) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.list.Prev) > 0 || slices.Contains(s.list.Holders, addr) {
		return false
	}
	s.list.Prev = s.list.Holders
	s.list.Holders = append(slices.Clone(s.list.Holders), addr)
	s.list.Version++
	return true
}

// remove removes a holder from the list, either as lost or after it has handed over.
func (s *sim) remove(addr ident.Addr, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Contains(s.list.Holders, addr) || len(s.list.Holders) < 3 {
		return
	}
	among := [][]ident.Addr{s.list.Holders}
	if len(s.list.Prev) > 0 {
		among = append(among, s.list.Prev)
	} else {
		s.list.Prev = s.list.Holders
	}
	if lost {
		s.list.Lost = append(slices.Clone(s.list.Lost), quota.Lost{Addr: addr, Among: among})
		until := quota.RecordRetention + time.Second
		time.AfterFunc(until, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.list.Lost = slices.DeleteFunc(slices.Clone(s.list.Lost), func(l quota.Lost) bool { return l.Addr == addr })
		})
	}
	s.list.Holders = without(s.list.Holders, addr)
	s.list.Acked = nil
	s.list.Version++
	s.endChange()
}

// stop stops the process gracefully, so that the next one can reclaim its records.
func (n *node) stop() {
	p := n.process.Load()
	if err := p.table.Stop(p.ctx); err == nil {
		n.s.mu.Lock()
		n.lastClean = p.incarnation
		n.s.mu.Unlock()
	}
	p.cancel()
}

func (n *node) wait() {
	if ch := n.pause.Load(); ch != nil {
		<-*ch
	}
}

func (n *node) suspend() {
	ch := make(chan struct{})
	n.pause.CompareAndSwap(nil, &ch)
}

func (n *node) resume() {
	if ch := n.pause.Swap(nil); ch != nil {
		close(*ch)
	}
}

// call returns the quota.Call of one process.
func (n *node) call(p *process) quota.Call {
	return func(ctx context.Context, addr ident.Addr, t wire.Type, in, out any) error {
		s := n.s
		body, err := wire.Encode(in)
		if err != nil {
			return err
		}
		n.wait()
		time.Sleep(time.Duration(1+20*s.randFloat()) * time.Millisecond)
		to := s.node(addr)
		if to == nil || n.partitioned.Load() || to.partitioned.Load() || p.ctx.Err() != nil {
			return errDown
		}
		type result struct {
			body []byte
			err  error
		}
		got := make(chan result, 1)
		go func() { // a paused peer handles the message late
			to.wait()
			peer := to.process.Load()
			if peer.ctx.Err() != nil {
				got <- result{nil, errDown}
				return
			}
			body, err := peer.table.Handle(peer.ctx, nil, t, body)
			to.wait()
			time.Sleep(time.Duration(1+20*s.randFloat()) * time.Millisecond)
			got <- result{body, err}
		}()
		var r result
		select {
		case r = <-got:
		case <-ctx.Done():
		}
		n.wait()
		s.mu.Lock()
		lost := s.rng.Float64() < s.lossRate
		s.mu.Unlock()
		if lost || p.ctx.Err() != nil || ctx.Err() != nil {
			return errDown
		}
		if r.err != nil || out == nil {
			return r.err
		}
		return wire.Decode(r.body, out)
	}
}

// sendResult is the outcome of one request at an entry daemon.
type sendResult struct {
	outcome Outcome
	reason  refuse.Reason
	ran     refuse.Ran
}

// send makes one request with the key at the entry daemon n. If its claim is fresh, the call
// runs for d and ends with ans.
func (n *node) send(key Key, digest uint64, d time.Duration, ans Answer) sendResult {
	s, p := n.s, n.process.Load()
	if p.ctx.Err() != nil {
		return sendResult{ran: refuse.RanUnknown}
	}
	s.mu.Lock()
	call := ident.CallID(s.rng.Uint64())
	s.mu.Unlock()
	req := Request{
		Scope:  Scope{Service: testService, Member: member, Key: key},
		Digest: digest, Call: call, Deadline: time.Now().Add(5 * time.Second),
	}
	v, err := p.client.Claim(p.ctx, req)
	n.wait()
	if err != nil {
		r := refuse.From(err)
		return sendResult{reason: r.Reason, ran: r.Ran}
	}
	out := sendResult{outcome: v, ran: refuse.RanYes}
	switch v.Kind {
	case Unknown:
		out.reason, out.ran = v.Refusal.Reason, v.Refusal.Ran
	case Fresh:
		if p.ctx.Err() != nil || !time.Now().Before(req.Deadline) {
			out.ran = refuse.RanNo
			return out
		}
		if ans.Ran != refuse.RanNo {
			s.mu.Lock()
			s.runs[key]++
			if s.runs[key] > 1 {
				s.violations = append(s.violations, fmt.Sprintf("key %s ran %d times, at %s", key, s.runs[key], time.Now().Format("15:04:05.000")))
			}
			s.mu.Unlock()
		}
		time.Sleep(d)
		n.wait()
		out.ran = ans.Ran
		if p.ctx.Err() == nil {
			_ = p.client.Finish(p.ctx, req, ans)
		}
	}
	return out
}

// runCount returns how often the call of key ran.
func (s *sim) runCount(key Key) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}
