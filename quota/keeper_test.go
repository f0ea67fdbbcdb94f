package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// Guards against a new keeper that grants a pinned unit again. It happened when the Sync of
// the pin's holder arrived before the answer to the Seal, while units of a silent holder were
// withheld.
func TestNewKeeperCountsThePinsOfASync(t *testing.T) {
	is := is.New(t)
	k := NewKeeper(KeeperDeps{
		Service: testService, Clock: SystemClock(),
		Cap: func(ident.MemberID) ident.Units { return 8 },
	})
	rec := Record{Epoch: 2, ListVersion: 1, Holders: []ident.Addr{"vm-01:7000", "vm-02:7000"}}
	k.term = &term{
		rec: rec, epoch: 2, state: 1, renewed: k.d.Clock.Stamp(),
		peers: map[ident.Addr]*peer{}, pools: map[ident.MemberID]*unitPool{}, unlisted: map[ident.Addr]struct{}{},
	}
	for _, a := range rec.Holders {
		p := k.term.addPeer(a, 0)
		p.floatingFreeAt, p.pinnableFreeAt = time.Minute, time.Minute
	}
	pins := []PinUse{{ID: 1, Member: member, Left: 5 * time.Second, Confirmed: true}}
	_, err := k.handleSync(Sync{Service: testService, Addr: "vm-01:7000", Incarnation: 1, Seq: 1, Epoch: 1, Pins: pins})
	is.NoErr(err)
	uses := []Use{{Member: member, Want: 8}}
	g, err := k.handleSync(Sync{Service: testService, Addr: "vm-02:7000", Incarnation: 1, Seq: 1, Epoch: 1, Uses: uses})
	is.NoErr(err)
	is.Equal(g.Units, []ident.Units{3}) // four floating units, one of them pinned
}
