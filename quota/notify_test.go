package quota

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// Guards against holders that wait for units and are not told of free ones, and against a Free
// to holders that would get nothing.
func TestNotifiesHoldersThatGetUnits(t *testing.T) {
	tests := map[string]struct {
		units  ident.Units
		allocs map[ident.Addr]allocation
		want   []ident.Addr
	}{
		"nothing free": {4, map[ident.Addr]allocation{
			"a": {committed: 2, granted: 2, want: 9, waits: true},
			"b": {committed: 2, granted: 2, want: 9, waits: true},
		}, nil},
		"a free unit goes to the one with less": {4, map[ident.Addr]allocation{
			"a": {committed: 2, granted: 2, want: 9, waits: true},
			"b": {committed: 1, granted: 1, want: 9, waits: true},
		}, []ident.Addr{"b"}},
		"no one waits": {4, map[ident.Addr]allocation{
			"a": {committed: 1, granted: 1, want: 1},
			"b": {committed: 1, granted: 1, want: 1},
		}, nil},
		"one was told already": {4, map[ident.Addr]allocation{
			"a": {committed: 1, granted: 1, want: 9},
			"b": {committed: 1, granted: 1, want: 9, waits: true},
		}, []ident.Addr{"b"}},
		"one has far more than its fair share": {8, map[ident.Addr]allocation{
			"a": {committed: 8, granted: 8, want: 9, waits: true},
			"b": {want: 9, waits: true},
		}, []ident.Addr{"a"}},
		"one has been lowered, its calls run": {8, map[ident.Addr]allocation{
			"a": {committed: 8, granted: 4, want: 9, waits: true},
			"b": {want: 9, waits: true},
		}, nil},
		"one has a unit more than its fair share": {8, map[ident.Addr]allocation{
			"a": {committed: 5, granted: 5, want: 9, waits: true},
			"b": {committed: 3, granted: 3, want: 9, waits: true},
		}, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			pool := newUnitPool()
			for addr, alloc := range tt.allocs {
				pool.allocs[addr] = &alloc
			}
			is := is.New(t)
			is.Equal(pool.holdersToNotify(tt.units), tt.want)
			is.Equal(pool.holdersToNotify(tt.units), nil) // notified only once
		})
	}
}

// Guards against a holder that never asks again if the Free for it is lost.
func TestUnitsMoveWithoutFree(t *testing.T) {
	simulateFixedJitter(t, func(ctx context.Context, s *sim) {
		s.setDropRequest(func(t wire.Type) bool { return t == TypeFree })
		addrs := s.region(0)
		first, stop := context.WithCancel(ctx)
		s.offer(first, keeperAndHolders, addrs[:4], 2*int(measureCap))
		time.Sleep(5 * time.Second)
		stop()
		s.offer(ctx, keeperAndHolders, addrs[4:8], 2*int(measureCap))
		// The calls take 1 s, the first holders return the units within SyncInterval, and the
		// others ask within SyncInterval.
		time.Sleep(time.Second + 2*SyncInterval)
		is := is.New(t)
		is.True(s.peakAt(2*time.Second) >= 0.56*0.95) // base shares of four holders and all floating units
		is.Equal(s.violations, nil)
	})
}
