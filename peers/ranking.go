package peers

import (
	"slices"
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// ranking keeps the forwarders of all data centres. The forwarders of the local data centre
// compute its ranking from the live daemons; other daemons learn it from their forwarder.
type ranking struct {
	a *Agent

	mu               sync.RWMutex
	own              []ident.Addr                 // by rank
	stamp            int64                        // of the newest known ranking
	provisional      bool                         // own consists of the contacts
	provisionalSince time.Time                    // when the ranking became provisional
	previous         []ident.Addr                 // own before it became provisional
	otherForwarders  []ident.Addr                 // forwarders of a second set, found after a partition
	remote           map[ident.DataCentre]Ranking // of other data centres, as last received
	failedAt         map[ident.Addr]time.Time     // when a forwarder in own was last unreachable
	storedContacts   map[ident.DataCentre]Contact // as last read from the store
	lastAnswer       time.Time                    // last answer of a forwarder, or when own was set
	lastQuery        time.Time                    // last query to the contacts as a forwarder
	lastRead         time.Time                    // last read of the contacts
}

func newRanking(a *Agent) *ranking {
	return &ranking{
		a: a, remote: map[ident.DataCentre]Ranking{}, storedContacts: map[ident.DataCentre]Contact{},
		failedAt: map[ident.Addr]time.Time{},
	}
}

func (r *ranking) forwarders() []ident.Addr {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.own
}

// remoteStamp returns the stamp of the ranking of another data centre.
func (r *ranking) remoteStamp(dc ident.DataCentre) int64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.remote[dc].Stamp
}

// contacts returns the addresses from the settings, then those from the store.
func (r *ranking) contacts(dc ident.DataCentre) []ident.Addr {
	r.mu.RLock()
	defer r.mu.RUnlock()
	out := slices.Clone(r.a.d.Contacts[dc])
	for _, c := range r.storedContacts[dc].Addrs {
		if !slices.Contains(out, c) {
			out = append(out, c)
		}
	}
	return out
}

// forwardersOf returns the forwarders of another data centre by rank, or its contacts if none are
// known.
func (r *ranking) forwardersOf(dc ident.DataCentre) []ident.Addr {
	r.mu.RLock()
	list := r.remote[dc].Forwarders
	r.mu.RUnlock()
	if len(list) > 0 {
		return list
	}
	return r.contacts(dc)
}

// remoteCentres returns the other known data centres.
func (r *ranking) remoteCentres() []ident.DataCentre {
	r.mu.RLock()
	defer r.mu.RUnlock()
	set := map[ident.DataCentre]struct{}{}
	for dc := range r.remote {
		set[dc] = struct{}{}
	}
	for dc := range r.storedContacts {
		set[dc] = struct{}{}
	}
	for dc := range r.a.d.Contacts {
		set[dc] = struct{}{}
	}
	delete(set, r.a.d.Place.DataCentre)
	out := make([]ident.DataCentre, 0, len(set))
	for dc := range set {
		out = append(out, dc)
	}
	slices.Sort(out)
	return out
}

func (r *ranking) setRemote(dc ident.DataCentre, k Ranking) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(k.Forwarders) > 0 && k.Stamp > r.remote[dc].Stamp {
		r.remote[dc] = k
	}
}

// learn adopts a ranking that was computed from live daemons, and reports whether it was
// newer.
func (r *ranking) learn(k Ranking) bool { return r.adopt(k, false) }

// adopt is like learn. If one of the forwarders in k is known to be alive, a daemon whose
// ranking is provisional after a partition also adopts one with an equal stamp.
func (r *ranking) adopt(k Ranking, alive bool) bool {
	r.mu.RLock()
	newer := k.Stamp > r.stamp || alive && r.provisional && k.Stamp == r.stamp
	r.mu.RUnlock()
	if !newer || len(k.Forwarders) == 0 {
		return false
	}
	r.set(k, false)
	return true
}

// set replaces the ranking. A provisional one consists of the contacts and is not sent to
// other daemons, since it does not show which daemons are alive. It keeps the stamp, so that
// the ranking whose forwarders were lost is not adopted again.
func (r *ranking) set(k Ranking, provisional bool) {
	r.mu.Lock()
	if provisional && !r.provisional {
		r.provisionalSince = time.Now()
	}
	r.provisional, r.stamp = provisional, max(k.Stamp, r.stamp)
	if slices.Equal(k.Forwarders, r.own) {
		r.mu.Unlock()
		return
	}
	was := slices.Contains(r.own, r.a.d.Addr)
	if provisional {
		r.previous = r.own
	}
	r.own, r.otherForwarders, r.lastAnswer = k.Forwarders, nil, time.Now()
	clear(r.failedAt)
	r.mu.Unlock()
	r.roleChanged(was, slices.Contains(k.Forwarders, r.a.d.Addr))
	r.a.d.ForwardersChanged()
}

// confirmed returns the ranking to send to other daemons, which is empty while provisional.
func (r *ranking) confirmed() Ranking {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if r.provisional {
		return Ranking{}
	}
	return Ranking{Stamp: r.stamp, Forwarders: r.own}
}

func (r *ranking) roleChanged(was, is bool) {
	if was == is {
		return
	}
	id := event.ForwarderStarted
	if was {
		id = event.ForwarderStopped
	} else {
		r.a.tracker.reset() // times from an earlier period as a forwarder are outdated
	}
	r.a.d.Log.Emit(id, "DataCentre", r.a.d.Place.DataCentre)
	r.a.own.reconnected()
}

// recompute recomputes the ranking from the live daemons. Only forwarders call it.
func (r *ranking) recompute() {
	r.mu.RLock()
	early := r.provisional && time.Since(r.provisionalSince) < provisionalPeriod
	// A forwarder that has not announced itself yet counts as live until it has been
	// silent for suspectAfter.
	unannounced := slices.Concat(r.own, r.otherForwarders)
	r.mu.RUnlock()
	// A forwarder that hears from no daemon is alone or partitioned. Its result would be
	// meaningless, but its newer stamp would make other daemons adopt it.
	if early || r.a.tracker.isolated() {
		return
	}
	var live []ident.Addr
	for _, f := range unannounced {
		if m, ok := r.a.d.Registry.lookup(daemonService(r.a.d.Place.DataCentre), f); ok && m.State == Gone {
			continue
		}
		if f == r.a.d.Addr || r.a.tracker.silence(f) <= suspectAfter {
			live = append(live, f)
		}
	}
	for _, s := range r.a.d.Registry.Servers(daemonService(r.a.d.Place.DataCentre)) {
		if !r.a.d.Registry.suspects.has(s.Control) {
			live = append(live, s.Control)
		}
	}
	list := rank(string(r.a.d.Place.DataCentre), live, forwardersPerDC)
	// A forwarder keeps the role until it has heard from one of its successors. They may
	// all be dead, and only a forwarder detects that.
	if !slices.Contains(list, r.a.d.Addr) && !slices.ContainsFunc(list, r.a.tracker.hears) {
		return
	}
	r.setComputed(list)
}

// setComputed sets a locally computed ranking if it differs. Its stamp is higher than the one
// it replaces even when the clocks of the VMs differ, so that no daemon returns to that one.
func (r *ranking) setComputed(list []ident.Addr) {
	r.mu.RLock()
	same := !r.provisional && slices.Equal(list, r.own)
	stamp := max(time.Now().UnixMilli(), r.stamp+1)
	r.mu.RUnlock()
	if !same && len(list) > 0 {
		r.set(Ranking{Stamp: stamp, Forwarders: list}, false)
	}
}

// provisionalPeriod is how long the contacts act as forwarders when a whole data centre starts,
// before they compute the ranking from the daemons that have announced themselves.
const provisionalPeriod = 2 * time.Second
