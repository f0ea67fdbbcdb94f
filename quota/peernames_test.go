package quota

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// testKeeper returns a keeper of epoch 2 whose listed holders have not answered. Each member
// has a cap of 8.
func testKeeper(holders ...ident.Addr) *Keeper {
	k := NewKeeper(KeeperDeps{
		Service: testService, Clock: SystemClock(),
		Cap: func(ident.MemberID) ident.Units { return 8 },
	})
	k.term = &term{
		rec:   Record{Epoch: 2, ListVersion: 1, Holders: holders},
		epoch: 2, state: 1, renewed: k.d.Clock.Stamp(),
		peers: map[ident.Addr]*peer{}, pools: map[ident.MemberID]*unitPool{}, unlisted: map[ident.Addr]struct{}{},
	}
	for _, a := range holders {
		k.term.addPeer(a, 0)
	}
	return k
}

// Guards against a compact Sync that is attributed to another holder, process or epoch, and
// against units of a member that are counted for another.
func TestShortSyncIsRefusedUnlessItsSenderIsKnown(t *testing.T) {
	full := Sync{
		Service: testService, Addr: "vm-01:7000", Incarnation: 5, Seq: 1, Epoch: 2,
		Uses: []Use{{Number: 1, Member: member, Want: 2}},
	}
	short := Sync{Peer: 1, Incarnation: 5, Seq: 3, Epoch: 2, Uses: []Use{{Number: 1, Limit: 2, Used: 1, Want: 1}}}
	tests := map[string]struct {
		change func(*Sync)
		known  bool
	}{
		"same process":   {func(*Sync) {}, true},
		"other number":   {func(s *Sync) { s.Peer = 7 }, false},
		"other process":  {func(s *Sync) { s.Incarnation++ }, false},
		"earlier epoch":  {func(s *Sync) { s.Epoch-- }, false},
		"later epoch":    {func(s *Sync) { s.Epoch++ }, false},
		"unknown member": {func(s *Sync) { s.Uses[0].Number = 2 }, false},
		"no member":      {func(s *Sync) { s.Uses[0].Number = 0 }, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			k := testKeeper("vm-01:7000", "vm-02:7000")
			g, err := k.handleSync(full)
			is.NoErr(err)
			is.Equal(g.Peer, uint64(1))
			s := short
			s.Uses = []Use{short.Uses[0]}
			tt.change(&s)
			g, err = k.handleSync(s)
			is.Equal(errors.Is(err, errUnknownPeer), !tt.known)
			is.True(!k.term.ended)
			if tt.known {
				is.Equal(g.Units, []ident.Units{1})
			}
			is.Equal(k.term.peers["vm-01:7000"].seq == s.Seq, tt.known) // a rejected Sync changes nothing
		})
	}
}

// Guards against a late Sync of an old process that is accepted while the first Sync of the
// new one is lost.
func TestPeerNumberEndsWithTheProcess(t *testing.T) {
	is := is.New(t)
	k := testKeeper("vm-01:7000")
	full := Sync{Service: testService, Addr: "vm-01:7000", Incarnation: 5, Seq: 1, Epoch: 2}
	_, err := k.handleSync(full)
	is.NoErr(err)
	full.Incarnation++
	g, err := k.handleSync(full)
	is.NoErr(err)
	is.Equal(g.Peer, uint64(2))
	_, err = k.handleSync(Sync{Peer: 1, Incarnation: 5, Seq: 2, Epoch: 2})
	is.True(errors.Is(err, errUnknownPeer))
	_, err = k.handleSync(Sync{Peer: 2, Incarnation: 6, Seq: 2, Epoch: 2})
	is.NoErr(err)
}

// Guards against units counted for a member other than the one that the holder meant, after
// any order of lost requests and answers.
func TestNumbersMapToTheSameMembers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		k := testKeeper("vm-01:7000")
		var numbers syncNumbers
		for seq := range uint64(30) {
			msg := Sync{Service: testService, Addr: "vm-01:7000", Incarnation: 5, Seq: seq + 1, Epoch: 2}
			for i := range 8 {
				if rapid.Bool().Draw(rt, "has calls") {
					msg.Uses = append(msg.Uses, Use{Member: ident.MemberID(fmt.Sprintf("member-%d", i)), Used: ident.Units(i + 1)})
				}
			}
			sent := numbers.compact(msg)
			fate := rapid.SampledFrom([]string{"arrives", "arrives", "request lost", "answer lost"}).Draw(rt, "fate")
			if fate == "request lost" {
				numbers.reset()
				continue
			}
			g, err := k.handleSync(sent)
			if err != nil {
				rt.Fatal(err)
			}
			for i := range 8 {
				m := ident.MemberID(fmt.Sprintf("member-%d", i))
				alloc := k.term.pool(m).allocs["vm-01:7000"]
				reported := false
				for _, u := range msg.Uses {
					reported = reported || u.Member == m
				}
				if reported != (alloc != nil) || reported && alloc.committed != ident.Units(i+1) {
					rt.Fatalf("%s reported %v, counted %v", m, reported, alloc)
				}
			}
			if fate == "answer lost" {
				numbers.reset()
				continue
			}
			numbers.confirm(msg, sent, g)
		}
	})
}
