package daemon

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/quota"
)

// maxListAge is the age at which a cached holder list of another service is fetched again. An outdated
// list costs at most a refused claim.
const maxListAge = 10 * time.Second

// holderLists caches the holder lists of services, from which the homes of free idempotency keys are
// determined.
type holderLists struct {
	d *Daemon

	mu    sync.Mutex
	cache map[ident.ServiceID]cachedList
}

type cachedList struct {
	list      quota.List
	fetchedAt time.Time
}

func newHolderLists(d *Daemon) *holderLists {
	return &holderLists{d: d, cache: map[ident.ServiceID]cachedList{}}
}

// get returns the holder list of the service. With refresh it bypasses the cache and fetches the list
// from a holder.
func (l *holderLists) get(ctx context.Context, id ident.ServiceID, refresh bool) (quota.List, error) {
	if s := l.d.service.Load(); s != nil && s.id == id && s.holder.Confirmed() {
		return s.holder.List(), nil
	}
	l.mu.Lock()
	c, ok := l.cache[id]
	l.mu.Unlock()
	if ok && !refresh && time.Since(c.fetchedAt) < maxListAge {
		return c.list, nil
	}
	list, err := l.fetch(ctx, id)
	if err != nil {
		return quota.List{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if old := l.cache[id]; old.list.Version > list.Version {
		return old.list, nil // another holder returned a newer list earlier
	}
	l.cache[id] = cachedList{list: list, fetchedAt: time.Now()}
	return list, nil
}

// fetch requests the list from the holders of the service, one after the other, nearest first.
func (l *holderLists) fetch(ctx context.Context, id ident.ServiceID) (quota.List, error) {
	place := l.d.settings.place()
	var errs []error
	for distance := range 3 {
		for _, s := range l.d.registry.Servers(id) {
			if place.Distance(s.Place) != distance {
				continue
			}
			list, err := l.fetchFrom(ctx, id, s.Control)
			if err == nil {
				return list, nil
			}
			errs = append(errs, err)
		}
	}
	return quota.List{}, fmt.Errorf("no holder of %s answers: %w", id, errors.Join(errs...))
}

func (l *holderLists) fetchFrom(ctx context.Context, id ident.ServiceID, addr ident.Addr) (quota.List, error) {
	ctx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
	defer cancel()
	var list quota.List
	if err := l.d.conns.call(ctx, addr, quota.TypeList, quota.ListRequest{Service: id}, &list); err != nil {
		return list, err
	}
	if list.Version == 0 {
		return list, fmt.Errorf("daemon %s has no list yet", addr)
	}
	return list, nil
}
