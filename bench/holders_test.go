package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/daemon"
	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/peers"
	"github.com/marjoramcroft/marjoramcroft/quota"
	"github.com/marjoramcroft/marjoramcroft/stats"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

const (
	capMember  ident.MemberID  = "member"
	capService ident.ServiceID = "lessons"
)

// holders runs the quota keepers and holders of the daemons of one service, connected by function
// calls with simulated latency instead of sockets.
type holders struct {
	units        ident.Units // the cap of capMember
	servers      []peers.Server
	quotaHolders []*quota.Holder
	keepers      []*quota.Keeper

	mu      sync.Mutex
	rand    *rand.Rand
	running ident.Units // calls that run
	maxOver ident.Units // highest number of calls above the cap
}

// newHolders starts the keepers and holders of d, which run until ctx ends.
func newHolders(ctx context.Context, d emul.Deployment, units ident.Units, seed uint64) *holders {
	h := &holders{units: units, servers: d.Servers(capService), rand: rand.New(rand.NewPCG(seed, 1))}
	driver := daemon.QuotaDriver(emul.NewStore(emul.DefaultStoreConfig()).Driver())
	for i := range h.servers {
		h.servers[i].Control = h.servers[i].Addr
		h.add(i, driver)
	}
	for i := range h.servers {
		go func() { _ = h.keepers[i].Run(ctx) }()
		go func() { _ = h.quotaHolders[i].Run(ctx) }()
	}
	return h
}

func (h *holders) add(i int, driver quota.Driver) {
	limit := func(ident.MemberID) ident.Units { return h.units }
	call := func(ctx context.Context, addr ident.Addr, t wire.Type, in, out any) error {
		return h.call(ctx, i, addr, t, in, out)
	}
	h.keepers = append(h.keepers, quota.NewKeeper(quota.KeeperDeps{
		Service: capService, Addr: h.servers[i].Control, Clock: quota.SystemClock(), Driver: driver, Call: call, Cap: limit,
		LongTimeout: func() time.Duration { return 30 * time.Second },
		Candidate:   func() bool { return h.quotaHolders[i].WithoutKeeper() },
		List:        func() quota.List { return h.quotaHolders[i].List() },
		Rank:        func() int { return i },
		Rand:        h.float, Log: event.Discard(), Stats: stats.New(),
	}))
	h.quotaHolders = append(h.quotaHolders, quota.NewHolder(quota.HolderDeps{
		Service: capService, Addr: h.servers[i].Control, Incarnation: 1, Clock: quota.SystemClock(), Cap: limit,
		Locate: h.keepers[i].Locate, Call: call, Rand: h.float, Log: event.Discard(), Stats: stats.New(),
	}))
}

// call sends a control message from daemon i to the one at addr.
func (h *holders) call(ctx context.Context, i int, addr ident.Addr, t wire.Type, in, out any) error {
	to := h.index(addr)
	if to < 0 {
		return fmt.Errorf("no daemon at %s", addr)
	}
	body, err := wire.Encode(in)
	if err != nil {
		return err
	}
	time.Sleep(h.oneWay(i, to))
	handle := h.keepers[to].Handle
	if t == quota.TypeSeal || t == quota.TypeList {
		handle = h.quotaHolders[to].Handle
	}
	answer, err := handle(ctx, nil, t, body)
	time.Sleep(h.oneWay(i, to))
	if err != nil {
		return err
	}
	return wire.Decode(answer, out)
}

func (h *holders) index(addr ident.Addr) int {
	for i := range h.servers {
		if h.servers[i].Control == addr {
			return i
		}
	}
	return -1
}

// oneWay returns the one-way latency between the daemons i and j.
func (h *holders) oneWay(i, j int) time.Duration {
	return [3]time.Duration{0, 500 * time.Microsecond, 20 * time.Millisecond}[h.servers[i].Place.Distance(h.servers[j].Place)]
}

func (h *holders) float() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rand.Float64()
}

func (h *holders) random() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rand.Uint64()
}

// count adds n to the number of running calls; n is negative when calls end.
func (h *holders) count(n ident.Units) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.running += n
	h.maxOver = max(h.maxOver, h.running-h.units)
}
