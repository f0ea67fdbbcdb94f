package peers

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/delay"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

const (
	// forwarderTimeout is how long a daemon waits for an answer from a forwarder before it
	// searches for others: one heartbeat interval plus the call timeout. After twice that
	// time it replaces the contacts.
	forwarderTimeout = 3 * time.Second
	// contactsReadInterval is the interval at which the first forwarder of a data centre reads the
	// contacts, to detect new data centres and a second set of forwarders.
	contactsReadInterval = time.Minute
	// contactsQueryInterval is the interval at which the first forwarder queries the contacts that
	// it knows, to detect a second set of forwarders.
	contactsQueryInterval = 10 * time.Second
	// firstReadSpread spreads the first reads of the contacts of daemons without contacts
	// in their settings: 1,900 daemons then make fewer than 500 reads/s.
	firstReadSpread = 4 * time.Second
)

// bootstrap searches for forwarders while none is known or none answers, and makes the
// daemon a contact if no contact answers.
func (r *ranking) bootstrap(ctx context.Context) {
	first := firstReadSpread
	if len(r.a.d.Contacts[r.a.d.Place.DataCentre]) > 0 {
		first = 100 * time.Millisecond
	}
	r.mu.Lock()
	r.lastAnswer = time.Now()
	r.mu.Unlock()
	for delay.Sleep(ctx, r.a.d.Within(first)) {
		r.bootstrapStep(ctx)
		if !delay.Sleep(ctx, heartbeatInterval/4) {
			return
		}
		first = heartbeatInterval / 4
	}
}

func (r *ranking) bootstrapStep(ctx context.Context) {
	if r.a.IsForwarder() && r.confirmed().Stamp > 0 {
		r.publishContacts(ctx)
		return
	}
	silent, search := r.needsForwarder()
	if !search {
		return
	}
	dc := r.a.d.Place.DataCentre
	if answered, found := r.queryRankings(ctx, slices.Concat(r.contacts(dc), r.previousForwarders())); found || answered && silent < 2*forwarderTimeout && !r.isContact() {
		return
	}
	if r.isContact() {
		r.set(Ranking{Forwarders: slices.Clone(r.a.d.Contacts[dc])}, true)
		return
	}
	if err := r.readContacts(ctx); err != nil {
		return
	}
	c := r.storedContact(dc)
	if _, found := r.queryRankings(ctx, c.Addrs); found {
		return
	}
	if !slices.Contains(c.Addrs, r.a.d.Addr) {
		if len(c.Addrs) > 0 && silent < 2*forwarderTimeout {
			return // the contacts may still be starting
		}
		c.Addrs = []ident.Addr{r.a.d.Addr}
		if err := r.writeContacts(ctx, c); err != nil {
			return // another daemon wrote first; its address is read at the next step
		}
	}
	r.set(Ranking{Forwarders: slices.Clone(c.Addrs)}, true)
}

// needsForwarder returns how long no forwarder has answered, and whether the daemon has to search
// for one.
func (r *ranking) needsForwarder() (silent time.Duration, search bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	silent = time.Since(r.lastAnswer)
	return silent, len(r.own) == 0 || r.provisional || silent > forwarderTimeout || r.allFailed()
}

// allFailed reports whether all known forwarders were unreachable within forwarderTimeout. It
// must be called with mu held.
func (r *ranking) allFailed() bool {
	for _, f := range r.own {
		if at, ok := r.failedAt[f]; f != r.a.d.Addr && (!ok || time.Since(at) > forwarderTimeout) {
			return false
		}
	}
	return true
}

// markAnswered records an answer from a forwarder.
func (r *ranking) markAnswered() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastAnswer = time.Now()
	clear(r.failedAt)
}

// markUnreachable records a failed connection to addr, if that is a forwarder.
func (r *ranking) markUnreachable(addr ident.Addr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if slices.Contains(r.own, addr) {
		r.failedAt[addr] = time.Now()
	}
}

// previousForwarders returns the forwarders that were known before the ranking became provisional.
func (r *ranking) previousForwarders() []ident.Addr {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.previous
}

// isContact reports whether the settings name the daemon as a contact.
func (r *ranking) isContact() bool {
	return slices.Contains(r.a.d.Contacts[r.a.d.Place.DataCentre], r.a.d.Addr)
}

func (r *ranking) storedContact(dc ident.DataCentre) Contact {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.storedContacts[dc]
}

// queryRankings requests the rankings of addrs and merges them into the local one. It reports
// whether any daemon answered and whether a ranking changed the local one.
func (r *ranking) queryRankings(ctx context.Context, addrs []ident.Addr) (answered, found bool) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	var (
		mu    sync.Mutex
		wg    sync.WaitGroup
		lists = map[ident.Addr]Ranking{}
	)
	addrs = slices.Sorted(slices.Values(addrs))
	for _, addr := range slices.Compact(addrs) {
		if addr == r.a.d.Addr {
			continue
		}
		wg.Go(func() {
			k, err := r.fetchRanking(ctx, addr)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				lists[addr] = k
			}
		})
	}
	wg.Wait()
	for from, k := range lists {
		found = r.mergeRanking(from, k) || found
	}
	return len(lists) > 0, found
}

func (r *ranking) fetchRanking(ctx context.Context, addr ident.Addr) (Ranking, error) {
	c, err := r.a.d.Dial(ctx, addr)
	if err != nil {
		return Ranking{}, err
	}
	defer func() { _ = c.Close() }()
	var out Ranking
	err = c.Call(ctx, TypeRanking, struct{}{}, &out)
	return out, err
}

// mergeRanking merges the ranking of another daemon and reports whether that changed anything. A
// forwarder adds another one that is missing from its ranking: a partition within the data
// centre may leave two sets of forwarders, which then compute the same ranking from both.
func (r *ranking) mergeRanking(from ident.Addr, k Ranking) bool {
	if !r.a.IsForwarder() || r.confirmed().Stamp == 0 {
		return r.adopt(k, slices.Contains(k.Forwarders, from))
	}
	if !slices.Contains(k.Forwarders, from) || slices.Contains(r.forwarders(), from) {
		return false
	}
	r.a.tracker.markHeard(from)
	r.mu.Lock()
	r.otherForwarders = append(r.otherForwarders, from)
	r.mu.Unlock()
	r.recompute()
	return true
}

// publishContacts writes the ranking to the contacts in the store if this daemon is first in it.
func (r *ranking) publishContacts(ctx context.Context) {
	own := r.forwarders()
	r.mu.RLock()
	never, unread := r.lastRead.IsZero(), time.Since(r.lastRead) > contactsReadInterval
	r.mu.RUnlock()
	if own[0] != r.a.d.Addr {
		if never && len(r.remoteCentres()) == 0 {
			_ = r.readContacts(ctx) // retried at the next step
		}
		return
	}
	dc := r.a.d.Place.DataCentre
	r.mu.Lock()
	ask := time.Since(r.lastQuery) > contactsQueryInterval
	if ask {
		r.lastQuery = time.Now()
	}
	r.mu.Unlock()
	if ask {
		_, _ = r.queryRankings(ctx, r.contacts(dc))
	}
	if !unread && slices.Equal(r.storedContact(dc).Addrs, own) {
		return
	}
	if r.readContacts(ctx) != nil {
		return
	}
	c := r.storedContact(dc)
	if slices.Equal(c.Addrs, own) {
		return
	}
	if _, found := r.queryRankings(ctx, c.Addrs); found && !slices.Equal(own, r.forwarders()) {
		return // the ranking has changed; published at the next step
	}
	c.Addrs = own
	_ = r.writeContacts(ctx, c) // retried at the next step
}

func (r *ranking) readContacts(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	m, err := r.a.d.ReadContacts(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastRead = time.Now()
	if err != nil {
		return err
	}
	r.storedContacts = m
	return nil
}

func (r *ranking) writeContacts(ctx context.Context, c Contact) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := r.a.d.WriteContacts(ctx, r.a.d.Place.DataCentre, c); err != nil {
		return err
	}
	r.a.d.Stats.Inc("Peers.ContactsWritten")
	return r.readContacts(ctx)
}
