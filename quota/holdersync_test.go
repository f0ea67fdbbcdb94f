package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/stats"
)

// Guards against units that a grant withdraws and that stay committed at the keeper, where
// nobody can use them, until the holder's next regular exchange.
func TestLoweredLimitIsReportedSoon(t *testing.T) {
	tests := map[string]struct {
		used, before, after ident.Units
		soon                bool
	}{
		"all unused units go":          {0, 17, 0, true},
		"a part of unused units goes":  {2, 17, 4, true},
		"one unused unit goes":         {2, 3, 2, true},
		"units in use are no news":     {4, 4, 2, false},
		"the grant is the same":        {2, 3, 3, false},
		"the grant is higher":          {2, 3, 9, false},
		"no unit before and after":     {0, 0, 0, false},
		"calls above a grant that ran": {5, 3, 2, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := NewHolder(HolderDeps{Clock: SystemClock(), Cap: func(ident.MemberID) ident.Units { return 40 }, Stats: stats.New()})
			a := h.shards[shardOf(member)].admission(member)
			a.short, a.limit = tt.used, tt.before
			msg := Sync{Uses: []Use{{Member: member, Limit: tt.before}}}
			g := Grant{Epoch: 1, TTL: GrantTTL, Listed: true, Units: []ident.Units{tt.after}}
			is.NoErr(h.applyGrant(msg, msg, g, h.d.Clock.Stamp()))
			is.Equal(a.limit, tt.after)
			is.Equal(h.exchangeRequested.Load(), tt.soon)
		})
	}
}

// Guards against units that are granted after their calls have moved on and are returned with
// the next Sync, before the calls come back; and against units that are kept too long.
func TestNewUnitsAreKeptForAWhile(t *testing.T) {
	tests := map[string]struct {
		age  time.Duration // time since the grant
		kept ident.Units
	}{
		"the next report at the pace of unmet demand": {FastSyncInterval, 3},
		"just before the idle units are returned":     {maxIdleChecks*FastSyncInterval - time.Millisecond, 3},
		"when idle units are returned":                {maxIdleChecks * FastSyncInterval, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Hour
			h := NewHolder(HolderDeps{
				Clock: Clock{Mono: func() time.Duration { return now }, Wall: func() time.Time { return time.Unix(0, 0).Add(now) }},
				Cap:   func(ident.MemberID) ident.Units { return 40 }, Stats: stats.New(),
			})
			sent := Sync{Uses: []Use{{Member: member, Want: 3}}}
			g := Grant{Epoch: 1, TTL: GrantTTL, Listed: true, Units: []ident.Units{3}}
			is.NoErr(h.applyGrant(sent, sent, g, h.d.Clock.Stamp()))
			now += tt.age
			msg, _, _ := h.nextSync()
			got := ident.Units(0)
			for _, u := range msg.Uses {
				got += u.Limit
			}
			is.Equal(got, tt.kept)
		})
	}
}

// TestSealedHolderGetsList guards against a holder that keeps an old list because the new keeper counts the same state.
func TestSealedHolderGetsList(t *testing.T) {
	is := is.New(t)
	addrs := []ident.Addr{"vm-01:7000", "vm-02:7000"}
	h := NewHolder(HolderDeps{Service: testService, Addr: addrs[0], Incarnation: 1, Clock: SystemClock(), Stats: stats.New()})
	for epoch := uint64(1); epoch <= 2; epoch++ {
		k := NewKeeper(KeeperDeps{Service: testService, Clock: SystemClock()})
		rec := Record{Epoch: epoch, ListVersion: epoch, Holders: addrs[:epoch]}
		k.term = &term{rec: rec, epoch: epoch, state: 2, renewed: k.d.Clock.Stamp(), peers: map[ident.Addr]*peer{}}
		k.term.addPeer(addrs[0], 0)
		_, err := h.handleSeal(Seal{Service: testService, Epoch: epoch, Keeper: "vm-03:7000"})
		is.NoErr(err)
		msg, sent, at := h.nextSync()
		g, err := k.handleSync(sent)
		is.NoErr(err)
		is.NoErr(h.applyGrant(msg, sent, g, at))
		is.Equal(h.List().Version, epoch)
		is.Equal(h.List().Holders, addrs[:epoch])
	}
}
