package mesh

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/link"
	"github.com/marjoramcroft/marjoramcroft/rate"
	"github.com/marjoramcroft/marjoramcroft/refuse"
	"github.com/marjoramcroft/marjoramcroft/table"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// rates connects the rate limits of accounts with the daemon's calls and links.
type rates struct {
	n       *Node
	enabled chan struct{} // closed when a configuration has an account with a limit

	mu         sync.Mutex
	once       sync.Once
	holder     *rate.Holder
	keeper     *rate.Keeper
	wake       map[ident.AccountID]chan struct{} // closed when the waiting calls of the account are to be decided again
	generation uint64                            // of the peer list in able
	able       []ident.Addr
	before     rate.Counts // at the last report
	kept       int         // shards at the last report
	stateOld   bool
	reported   time.Time // last report of calls without keeper
}

func newRates(n *Node) *rates {
	process := uint32(n.incarnation / ident.Incarnation(time.Millisecond)) //nolint:gosec // the low bits differ
	r := &rates{n: n, enabled: make(chan struct{}), wake: map[ident.AccountID]chan struct{}{}}
	now := r.now()
	r.holder = rate.NewHolder(rate.HolderDeps{Life: process, Bounds: n.d.Config.Rates, Random: n.d.Random}, now)
	r.keeper = rate.NewKeeper(rate.KeeperDeps{Epoch: process, Bounds: n.d.Config.Rates, Limit: n.rateLimit}, now)
	return r
}

// now reads both clocks.
func (r *rates) now() rate.Time {
	return rate.Time{Mono: time.Since(r.n.started), Wall: r.n.d.Now().Round(0)}
}

// rateLimit returns the limit of an account in the configuration in force.
func (n *Node) rateLimit(id ident.AccountID) (rate.Limit, bool) {
	a, ok := n.table.Load().AccountByID(id)
	if !ok || !a.Limited() {
		return rate.Limit{}, false
	}
	return limitOf(a), true
}

func limitOf(a *table.Account) rate.Limit { return rate.Limit{Rate: a.Rate, Burst: a.Burst} }

// configure applies a new configuration.
func (r *rates) configure(t *table.Table) {
	var active [rate.Shards]bool
	limited := false
	for i := range t.Accounts() {
		if a := &t.Accounts()[i]; a.Limited() {
			active[rate.ShardOf(a.ID)], limited = true, true
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holder.SetAccounts(active)
	if limited {
		r.once.Do(func() { close(r.enabled) })
	}
}

// minRateWait is how long a call waits for the keeper at least, also if its goal is near: an answer from within the
// region takes a few milliseconds.
const minRateWait = 10 * time.Millisecond

// takeRate takes a token for a call of an account with a rate limit. The answer is non-nil if there is none.
func (n *Node) takeRate(ctx context.Context, p *pendingCall) *Answer {
	if p.account == nil || !p.account.Limited() {
		return nil
	}
	r := n.rates
	r.mu.Lock()
	v := r.holder.Take(p.account.ID, limitOf(p.account), r.now())
	if v.Decision == rate.Pending {
		r.send(r.holder.Poll(r.now()))
		v = r.await(ctx, p)
	}
	r.mu.Unlock()
	switch v.Decision {
	case rate.Admitted:
		p.ticket = v.Ticket
		return nil
	case rate.Exceeded:
		return refused(refuse.RateExceeded, "the account is over its rate limit", v.RetryAfter)
	case rate.Unavailable:
		return refused(refuse.RateUnavailable, "no daemon that keeps the account's rate limit can be reached", v.RetryAfter)
	}
	if n.calls.Err() != nil {
		return n.refusedAtEnd()
	}
	return refused(refuse.RateUnavailable, "the call ended before the daemon that keeps the account's rate limit answered", minRetryAfter)
}

// await waits until the keeper has answered. The caller holds r.mu, which is released meanwhile.
func (r *rates) await(ctx context.Context, p *pendingCall) rate.Verdict {
	began := time.Now()
	defer func() { r.n.d.Stats.Time("Rate.Wait", time.Since(began)) }()
	id := p.account.ID
	end := time.NewTimer(min(rate.MaxWait, max(minRateWait, p.goal.Sub(r.n.d.Now())/2)))
	defer end.Stop()
	for last := false; ; {
		if v := r.holder.Retake(id, r.now(), last); v.Decision != rate.Pending {
			return v
		}
		ch := r.wake[id]
		if ch == nil {
			ch = make(chan struct{})
			r.wake[id] = ch
		}
		r.mu.Unlock()
		select {
		case <-ch:
		case <-end.C:
			last = true
		case <-ctx.Done():
			r.mu.Lock()
			r.holder.Leave(id)
			return rate.Verdict{}
		}
		r.mu.Lock()
	}
}

// settleRate returns the token of a call that has not run. Further executions of a call are counted too.
func (n *Node) settleRate(p *pendingCall, a *Answer) {
	if p.account == nil || !p.account.Limited() {
		return
	}
	r := n.rates
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.Refusal != nil && a.Refusal.Ran == refuse.RanNo {
		r.holder.Return(p.account.ID, p.ticket, r.now())
		return
	}
	for range p.executed - 1 {
		r.holder.Charge(p.account.ID)
	}
}

// send sends messages to keepers. The caller holds r.mu.
func (r *rates) send(out []rate.Outgoing) {
	for _, o := range out {
		if o.To == r.n.d.Self {
			if a := r.keeper.Handle(o.To, o.Ask, r.now()); a != nil {
				r.receive(o.To, a)
			}
			continue
		}
		if c := r.n.openLink(o.To); c != nil {
			r.n.notifyRate(c, &rateNotice{Ask: o.Ask})
			continue
		}
		go r.sendOverNewLink(o)
	}
}

// sendOverNewLink opens a link for a message. It is not sent if that takes so long that the holder has given up.
func (r *rates) sendOverNewLink(o rate.Outgoing) {
	ctx, cancel := context.WithTimeout(r.n.ctx, linkDialTimeout)
	defer cancel()
	if c, err := r.n.linkTo(ctx, o.To); err == nil {
		r.n.notifyRate(c, &rateNotice{Ask: o.Ask})
	}
}

// openLink returns the link to addr that this daemon has opened; nil: it has none, or it is silent.
func (n *Node) openLink(addr ident.Addr) *link.Conn {
	n.links.mu.Lock()
	defer n.links.mu.Unlock()
	if o := n.links.open[addr]; o != nil && o.conn != nil && !o.conn.Silent() {
		return o.conn
	}
	return nil
}

// notifyRate sends m over c. It may be lost.
func (n *Node) notifyRate(c *link.Conn, m *rateNotice) {
	b, err := wire.Encode(m)
	if err != nil {
		n.d.Log.Emit(event.CallUnencodable, "Error", err)
		return
	}
	c.Notify(b)
}

// handleRate handles a message about rate limits. Links start with the state of the daemon that opened them, so
// that its address is known.
func (n *Node) handleRate(c *link.Conn, body []byte) {
	var m rateNotice
	if err := wire.Decode(body, &m); err != nil {
		n.d.Log.Emit(event.NoticeUnreadable, "From", c.RemoteAddr(), "Error", err)
		return
	}
	n.mu.Lock()
	from := n.conns[c]
	n.mu.Unlock()
	if from == "" {
		return
	}
	r := n.rates
	r.mu.Lock()
	defer r.mu.Unlock()
	if m.Reply != nil {
		r.receive(from, m.Reply)
	}
	if m.Ask == nil {
		return
	}
	if a := r.keeper.Handle(from, m.Ask, r.now()); a != nil {
		n.notifyRate(c, &rateNotice{Reply: a})
	}
}

// receive applies a reply and wakes the calls that wait for it. The caller holds r.mu.
func (r *rates) receive(from ident.Addr, a *rate.Reply) {
	for _, id := range r.holder.HandleReply(from, a, r.now()) {
		if ch := r.wake[id]; ch != nil {
			close(ch)
			delete(r.wake, id)
		}
	}
	r.send(r.holder.Poll(r.now()))
}

// rateTick is how often messages are sent that no call waits for.
const rateTick = 50 * time.Millisecond

// maintainRates keeps the daemon attached to the keepers of all shards with limited accounts.
func (n *Node) maintainRates() {
	select {
	case <-n.rates.enabled:
	case <-n.ctx.Done():
		return
	}
	t := time.NewTicker(rateTick)
	defer t.Stop()
	for {
		n.rates.tick()
		select {
		case <-t.C:
		case <-n.ctx.Done():
			return
		}
	}
}

func (r *rates) tick() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, v := r.now(), r.view()
	r.holder.SetView(v, now)
	r.keeper.SetView(v, now)
	r.keeper.Tick(now)
	r.send(r.holder.Tick(now))
	r.report()
}

// view returns what is known of the other daemons.
func (r *rates) view() rate.View {
	n := r.n
	if g := n.peers.generation.Load(); g != r.generation || r.able == nil {
		r.generation, r.able = g, nil
		for _, p := range n.peers.list() {
			if !p.Stopping {
				r.able = append(r.able, p.Addr)
			}
		}
		slices.Sort(r.able)
	}
	age, _ := n.stateAge()
	return rate.View{Self: n.d.Self, Able: r.able, StateAge: age}
}

// rateReportInterval is the least time between two log lines about calls that found no keeper.
const rateReportInterval = 5 * time.Second

// report updates metrics and logs what changed.
func (r *rates) report() {
	n, c, b := r.n, r.holder.Counts(), r.before
	for name, d := range map[string]int64{
		"Rate.Granted": c.Granted - b.Granted, "Rate.Spent": c.Spent - b.Spent, "Rate.Returned": c.Returned - b.Returned,
		"Rate.Exceeded": c.Exceeded - b.Exceeded, "Rate.Unavailable": c.Unavailable - b.Unavailable,
		"Rate.Allowance": c.Allowance - b.Allowance, "Rate.Asks": c.Asks - b.Asks, "Rate.KeeperLost": c.Lost - b.Lost,
	} {
		if d > 0 {
			n.d.Stats.Add(name, d)
		}
	}
	if c.Lost > b.Lost {
		n.d.Log.Emit(event.RateKeeperLost, "Shards", c.Lost-b.Lost)
	}
	r.before = c
	if now := time.Now(); c.Unavailable > b.Unavailable && now.Sub(r.reported) >= rateReportInterval {
		r.reported = now
		n.d.Log.Emit(event.RateWithoutKeeper, "Refused", c.Unavailable, "Allowance", c.Allowance)
	}
	if kept := r.keeper.Attached(); kept != r.kept {
		n.d.Log.Emit(event.RateShardsKept, "Shards", kept, "Before", r.kept, "Accounts", r.keeper.Buckets())
		n.d.Stats.Gauge("Rate.ShardsKept", int64(kept))
		r.kept = kept
	}
	if old := r.holder.Stale(); old != r.stateOld {
		if r.stateOld = old; old {
			n.d.Log.Emit(event.RateStateOld)
		}
	}
}

// stopKeeper makes the daemon accept no further holders.
func (r *rates) stopKeeper() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keeper.Stop()
}

// endRates hands the daemon's tokens back and tells its holders that it ends.
func (n *Node) endRates() {
	r := n.rates
	r.mu.Lock()
	defer r.mu.Unlock()
	r.send(r.holder.Stop(r.now()))
	ended := r.keeper.End()
	n.mu.Lock()
	defer n.mu.Unlock()
	for c, addr := range n.conns {
		for _, a := range ended[addr] {
			n.notifyRate(c, &rateNotice{Reply: a})
		}
		delete(ended, cmp.Or(addr, n.d.Self))
	}
}
