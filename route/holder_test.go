package route

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/peers"
	"github.com/marjoramcroft/marjoramcroft/refuse"
)

// holders is a Chooser and its servers, which are addressed by their rank for the member office.
type holders struct {
	c    *Chooser
	list []peers.Server // by address
	rank []int          // indices in list
}

func newHolders(places ...ident.Place) *holders {
	h := &holders{c: newChooser(), list: servers(len(places), here)}
	for i := range h.list {
		h.rank = append(h.rank, i)
	}
	score := func(i int) uint64 { return ident.RendezvousScore("office", h.list[i].Addr) }
	slices.SortFunc(h.rank, func(a, b int) int {
		if score(a) > score(b) {
			return -1
		}
		return 1
	})
	for r, i := range h.rank {
		h.list[i].Place = places[r]
	}
	return h
}

// addrs returns the addresses of the servers with the given ranks.
func (h *holders) addrs(ranks ...int) []ident.Addr {
	var out []ident.Addr
	for _, r := range ranks {
		out = append(out, h.list[h.rank[r]].Addr)
	}
	return out
}

// call sends a call of the member to the server with the given rank.
func (h *holders) call(rank int) Pick {
	var others []ident.Addr
	for r := range h.rank {
		if r != rank {
			others = append(others, h.addrs(r)...)
		}
	}
	p, err := h.c.Choose(Request{Service: "lessons", Member: "office", Exclude: others}, h.list)
	if err != nil {
		panic(err)
	}
	return p
}

// TestChooseFindsAHolderOfUnits guards against the refusal of a call, after attempts at servers
// without a unit of the member's cap, while another server has one.
func TestChooseFindsAHolderOfUnits(t *testing.T) {
	near, far := ident.Place{Region: "Riga", DataCentre: "riga-b"}, ident.Place{Region: "Daugavpils", DataCentre: "dgp-a"}
	mixed := []ident.Place{far, near, here, here, far, near}
	ended := func(rank int) func(h *holders) {
		return func(h *holders) { h.call(rank).Done(Outcome{Latency: time.Millisecond}) }
	}
	state := func(rank int, s peers.State) func(h *holders) {
		return func(h *holders) { h.list[h.rank[rank]].State = s }
	}
	tests := map[string]struct {
		places  []ident.Place // mixed if nil
		prepare func(h *holders)
		units   ident.Units // 4 if zero: base units at the first two ranks
		tried   []int
		capped  bool
		hedge   bool
		want    int // rank
	}{
		"nearer server without a base unit":                     {want: 1},
		"paid link crossed at first":                            {places: []ident.Place{far, far, near, here, here, near}, want: 2},
		"base unit across the link passed over after a refusal": {tried: []int{1}, capped: true, want: 0},
		"paid link crossed after a full queue":                  {tried: []int{1}, want: 2},
		"cap with a base unit at each server":                   {units: 12, want: 2},
		"holder of a cap with many base units across the link":  {units: 8, tried: []int{1}, capped: true, want: 2},
		"region tried in full before the link is crossed":       {units: 8, tried: []int{1, 2}, capped: true, want: 0},
		"hedge to a holder":                                     {tried: []int{1}, hedge: true, want: 2},
		"draining holder":                                       {prepare: state(1, peers.Draining), want: 2},
		"holder whose slots are taken": {prepare: func(h *holders) {
			for range 9 {
				h.call(1)
			}
		}, want: 2},
		"distant holder that has just refused the member": {
			prepare: func(h *holders) { h.call(0).Done(Outcome{Refused: refuse.CapReached}) },
			tried:   []int{1}, capped: true, want: 2,
		},
		"no server left when all have refused the member": {
			prepare: func(h *holders) {
				for r := range h.rank {
					h.call(r).Done(Outcome{Refused: refuse.CapReached})
				}
			},
			tried: []int{1}, capped: true, want: 2,
		},
		"unit that was just returned passed over": {prepare: ended(5), want: 5},
		"returned unit that another call uses": {prepare: func(h *holders) {
			ended(5)(h)
			h.call(5)
		}, want: 1},
		"unit that was returned long ago": {prepare: func(h *holders) {
			ended(5)(h)
			time.Sleep(maxFreeUnitAge)
		}, want: 1},
		"returned unit at a holder that has refused since": {prepare: func(h *holders) {
			ended(5)(h)
			ended(5)(h)
			h.call(5).Done(Outcome{Refused: refuse.CapReached})
			time.Sleep(200 * time.Millisecond) // the pause of the refusal ends
		}, want: 1},
		"returned unit across the link at first":    {prepare: ended(4), want: 1},
		"returned unit across the link passed over": {prepare: ended(4), tried: []int{1}, capped: true, want: 4},
		"ranks of servers that have left": {prepare: func(h *holders) {
			_, _ = h.c.Choose(Request{Service: "lessons", Member: "office", Cap: 4}, h.list)
			keep := slices.Clone(h.list)
			keep = slices.Delete(keep, h.rank[1], h.rank[1]+1)
			for r, i := range h.rank {
				if i > h.rank[1] {
					h.rank[r]--
				}
			}
			h.list = keep
		}, want: 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				if tt.places == nil {
					tt.places = mixed
				}
				if tt.units == 0 {
					tt.units = 4
				}
				h := newHolders(tt.places...)
				if tt.prepare != nil {
					tt.prepare(h)
				}
				p, err := h.c.Choose(Request{
					Service: "lessons", Member: "office", Exclude: h.addrs(tt.tried...),
					Cap: tt.units, Capped: tt.capped, Hedge: tt.hedge,
				}, h.list)
				is.NoErr(err)
				is.Equal(p.Server.Addr, h.addrs(tt.want)[0])
			})
		})
	}
}
