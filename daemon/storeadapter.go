package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/accept"
	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/fanout"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/peers"
	"github.com/marjoramcroft/marjoramcroft/quota"
	"github.com/marjoramcroft/marjoramcroft/store"
)

const (
	rootPrefix    = "root/"
	contactPrefix = "contact/"
	// rootLeaseTTL is the TTL of a root's lease, which fanout renews after each third of the TTL.
	rootLeaseTTL = 6 * time.Second
)

// storeAdapter implements the store interfaces of the other packages. Each call uses the budget of its
// role.
type storeAdapter struct {
	client        *store.Client
	root          *store.Client
	keeper        *store.Client
	accept        *accept.Acceptor
	heldAgreement func() *agree.Agreement // returns the newest agreement that the daemon holds

	mu     sync.Mutex
	head   accept.Head // latest head read so far; its Version is lower than before if the store lost Versions
	newest accept.Head // read so far, of the highest Version
}

func (s *storeAdapter) fanout() fanout.Store {
	return fanout.Store{
		ReadHead:      s.readHead,
		LoadAgreement: s.loadAgreement,
		WatchHead:     s.watchHead,
		ReadRoot:      s.readRoot,
		AcquireRoot:   s.acquireRoot,
		RenewRoot: func(ctx context.Context, l fanout.RootLease) error {
			if err := s.checkLease(l); err != nil {
				return err
			}
			return s.root.Renew(ctx, store.LeaseID(l.Lease))
		},
		HeadUnconfirmed: func(held ident.Version) bool { return s.lastHead().NeedsConfirm(held) },
		ConfirmHead:     s.confirmHead,
		ReleaseRoot: func(ctx context.Context, l fanout.RootLease) error {
			if err := s.checkLease(l); err != nil {
				return err
			}
			return s.root.Revoke(ctx, store.LeaseID(l.Lease))
		},
	}
}

func (s *storeAdapter) rememberHead(h accept.Head) accept.Head {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h.Position().After(s.head.Position()) {
		s.head = h
	}
	if h.Version > s.newest.Version {
		s.newest = h
	}
	return h
}

func (s *storeAdapter) lastHead() accept.Head {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.head
}

func (s *storeAdapter) readHead(ctx context.Context) (ident.Version, agree.Hash, error) {
	v, err := s.client.Get(ctx, accept.HeadKey)
	if err != nil {
		return 0, 0, err
	}
	return s.decodeHead(v)
}

func (s *storeAdapter) decodeHead(v store.Value) (ident.Version, agree.Hash, error) {
	h, err := accept.DecodeHead(v)
	if err != nil {
		return 0, 0, err
	}
	// A watch of a deleted key returns at once. Without an error here the root would watch again in a
	// busy loop.
	if h.Revision == 0 && s.lastHead().Revision > 0 {
		return 0, 0, accept.ErrHeadMissing
	}
	h = s.rememberHead(h)
	return h.Version, h.Hash, nil
}

func (s *storeAdapter) loadAgreement(ctx context.Context) (*agree.Agreement, error) {
	h, err := s.accept.Head(ctx)
	if err != nil {
		return nil, err
	}
	if len(h.Chunks) >= largeChunkCount {
		defer loadGC.begin()()
	}
	return s.accept.Advance(ctx, s.rememberHead(h), s.heldAgreement())
}

// confirmHead writes head again after a restore of the store. It uses the budget of an operator, since a lost sheet has
// about 40 chunks.
func (s *storeAdapter) confirmHead(ctx context.Context, held *agree.Agreement) error {
	a, err := accept.New(accept.Deps{
		Store: s.client.As(store.RoleOperator), Config: s.accept.Config, Stats: s.accept.Stats, Log: s.accept.Log, Rand: s.accept.Rand,
	})
	if err != nil {
		return err
	}
	s.mu.Lock()
	known := s.newest
	s.mu.Unlock()
	h, err := a.Confirm(ctx, held, known)
	if err != nil {
		return err
	}
	s.rememberHead(h)
	return nil
}

// watchHead waits for a head after Version after. It watches from the position last read, so that each
// change takes one watch.
func (s *storeAdapter) watchHead(ctx context.Context, after ident.Version) (ident.Version, agree.Hash, error) {
	h := s.lastHead()
	if h.Version > after {
		return h.Version, h.Hash, nil
	}
	v, err := s.root.Watch(ctx, accept.HeadKey, h.Position())
	if err != nil {
		return 0, 0, err
	}
	return s.decodeHead(v)
}

func (s *storeAdapter) readRoot(ctx context.Context, r ident.Region) (fanout.RootLease, error) {
	v, err := s.root.Get(ctx, rootPrefix+string(r))
	if err != nil {
		return fanout.RootLease{}, err
	}
	return fanout.RootLease{Addr: ident.Addr(v.Data), Revision: v.Revision}, nil
}

func (s *storeAdapter) acquireRoot(ctx context.Context, r ident.Region, addr ident.Addr, prev fanout.RootLease) (fanout.RootLease, error) {
	id, err := s.root.Grant(ctx, rootLeaseTTL)
	if err != nil {
		return fanout.RootLease{}, err
	}
	v, err := s.root.Swap(ctx, rootPrefix+string(r), prev.Revision, []byte(addr), id)
	if err != nil {
		return fanout.RootLease{}, errors.Join(err, s.root.Revoke(ctx, id))
	}
	return fanout.RootLease{Addr: addr, Revision: v.Revision, Lease: int64(id), Era: int64(v.Era)}, nil
}

// checkLease returns store.ErrLeaseLost if the store came back from a copy since the lease was granted, since its id may
// then be that of another daemon.
func (s *storeAdapter) checkLease(l fanout.RootLease) error {
	if era := s.root.Era(); int64(era) != l.Era {
		return fmt.Errorf("%w: lease %d is of era %d, the store is in era %d", store.ErrLeaseLost, l.Lease, l.Era, era)
	}
	return nil
}

func (s *storeAdapter) readContacts(ctx context.Context) (map[ident.DataCentre]peers.Contact, error) {
	vs, err := s.client.List(ctx, contactPrefix)
	if err != nil {
		return nil, err
	}
	out := map[ident.DataCentre]peers.Contact{}
	for _, v := range vs {
		c := peers.Contact{Revision: v.Revision}
		if err := json.Unmarshal(v.Data, &c.Addrs); err != nil {
			return nil, fmt.Errorf("decode %s: %w", v.Key, err)
		}
		out[ident.DataCentre(strings.TrimPrefix(v.Key, contactPrefix))] = c
	}
	return out, nil
}

func (s *storeAdapter) writeContacts(ctx context.Context, dc ident.DataCentre, c peers.Contact) error {
	data, err := json.Marshal(c.Addrs)
	if err != nil {
		return fmt.Errorf("encode contacts: %w", err)
	}
	_, err = s.client.Swap(ctx, contactPrefix+string(dc), c.Revision, data, 0)
	return err
}

func (s *storeAdapter) quota() quota.Driver {
	k := s.keeper
	return QuotaDriver(store.Driver{Get: k.Get, Swap: k.Swap, Grant: k.Grant, Renew: k.Renew, Revoke: k.Revoke, Era: k.Era})
}

// QuotaDriver adapts a store driver to the calls that keepers need.
func QuotaDriver(k store.Driver) quota.Driver {
	return quota.Driver{
		Get: func(ctx context.Context, key string) (quota.Value, error) {
			v, err := k.Get(ctx, key)
			return quota.Value{Data: v.Data, Revision: v.Revision}, err
		},
		Swap: func(ctx context.Context, key string, rev int64, data []byte, id quota.LeaseID) (quota.Value, error) {
			v, err := k.Swap(ctx, key, rev, data, store.LeaseID(id))
			return quota.Value{Data: v.Data, Revision: v.Revision}, err
		},
		Grant: func(ctx context.Context, ttl time.Duration) (quota.LeaseID, error) {
			id, err := k.Grant(ctx, ttl)
			return quota.LeaseID(id), err
		},
		Renew:  func(ctx context.Context, id quota.LeaseID) error { return k.Renew(ctx, store.LeaseID(id)) },
		Revoke: func(ctx context.Context, id quota.LeaseID) error { return k.Revoke(ctx, store.LeaseID(id)) },
		Era: func() uint64 {
			if k.Era == nil {
				return 0
			}
			return uint64(max(0, k.Era()))
		},
	}
}
