package daemon

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/admit"
	"github.com/marjoramcroft/marjoramcroft/dedup"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/quota"
)

// service holds the components that a daemon runs for the service of its backend server.
type service struct {
	id     ident.ServiceID
	gate   *admit.Gate
	holder *quota.Holder
	keeper *quota.Keeper
	table  *dedup.Table

	stopKeeper context.CancelFunc // makes the keeper release its lease and return
	keeperWG   sync.WaitGroup     // done when the keeper has returned
	wg         sync.WaitGroup
}

func (d *Daemon) newService(id ident.ServiceID) *service {
	s := &service{id: id, gate: admit.New(admit.DefaultConfig(), d.stats, d.log.With("Service", id))}
	capOf := func(m ident.MemberID) ident.Units { return d.holder.Agreement().Cap(m, id) }
	log := d.log.With("Service", id)
	s.keeper = quota.NewKeeper(quota.KeeperDeps{
		Service: id, Addr: d.controlAddr, Clock: quota.SystemClock(), Driver: d.store.quota(), Call: d.conns.call,
		Cap:         capOf,
		LongTimeout: func() time.Duration { return d.holder.Agreement().LongTimeout(id) },
		Candidate:   func() bool { return s.holder.WithoutKeeper() },
		List:        func() quota.List { return s.holder.List() },
		Rank:        func() int { return d.rankInService(id) },
		Rand:        rand.Float64, Log: log, Stats: d.stats,
	})
	s.holder = quota.NewHolder(quota.HolderDeps{
		Service: id, Addr: d.controlAddr, Incarnation: d.incarnation, Clock: quota.SystemClock(),
		Cap: capOf, Locate: s.keeper.Locate, Call: d.conns.call,
		Ready: func(v uint64) bool { return s.table.Ready(v) },
		Rand:  rand.Float64, Log: log, Stats: d.stats,
	})
	s.table = dedup.New(dedup.TableDeps{
		Service: id, Addr: d.controlAddr, Incarnation: d.incarnation,
		List: s.holder.List, Leased: s.holder.BaseLeaseValid, Confirmed: s.holder.Confirmed,
		PreviousIncarnation: s.holder.PreviousIncarnation, Joined: s.holder.FirstProcess,
		Call: d.conns.call, Rand: rand.Uint64, Log: log, Stats: d.stats,
	})
	return s
}

// run starts the keeper, the holder and the table, which run until ctx ends.
func (s *service) run(ctx context.Context) {
	keeperCtx, cancel := context.WithCancel(ctx)
	s.stopKeeper = cancel
	s.keeperWG.Go(func() { _ = s.keeper.Run(keeperCtx) })
	s.wg.Go(func() { _ = s.holder.Run(ctx) })
	s.wg.Go(func() { _ = s.table.Run(ctx) })
}

// rankInService returns the position of this daemon in the order in which the daemons of the service stand
// for election as keeper.
func (d *Daemon) rankInService(id ident.ServiceID) int {
	var addrs []ident.Addr
	for _, s := range d.registry.Servers(id) {
		addrs = append(addrs, s.Control)
	}
	return max(0, slices.Index(quota.RankOrder(string(id), addrs), d.controlAddr))
}
