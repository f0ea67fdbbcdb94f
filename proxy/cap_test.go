package proxy

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/refuse"
)

// TestChooseReceivesCap guards against choosing servers for further attempts without the size
// of the cap, or without knowing that the cap was the reason of the refusal.
func TestChooseReceivesCap(t *testing.T) {
	tests := map[string]struct {
		reason refuse.Reason
		capped bool
	}{
		"cap reached":          {refuse.CapReached, true},
		"units not usable yet": {refuse.CapUnavailable, true},
		"queue full":           {refuse.QueueFull, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newRig(t, 2, nil)
				defer g.close()
				var asked []RouteRequest
				g.entry.d.Choose = func(r RouteRequest) (Pick, error) {
					asked = append(asked, r)
					return g.choose(r)
				}
				g.targets[0].d.Acquire = func(context.Context, QuotaRequest) (func(), error) {
					return nil, refuse.NotRun(tt.reason, "")
				}
				is.Equal(g.call(t.Context(), http.MethodPost, "/", "r", nil).status, http.StatusOK)
				is.Equal(len(asked), 2)
				is.Equal(asked[0].Cap, ident.Units(9)) // as in the agreement
				is.Equal(asked[0].Capped, false)
				is.Equal(asked[1].Capped, tt.capped)
			})
		})
	}
}

// TestCallsWithoutMemberAreNotRun guards against a call that runs without a member, so that no cap applies to it.
func TestCallsWithoutMemberAreNotRun(t *testing.T) {
	hop := func(member ident.MemberID) string {
		v, err := Hop{
			Call: 1, Version: 1, Service: "lessons", Route: "m", Member: member, Class: agree.Short,
			Deadline: time.Now().Add(time.Second).UnixMilli(), Remaining: 1000,
		}.Encode()
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
	tests := map[string]struct {
		daemon string
		header func() []string
		reason refuse.Reason // empty: answered
	}{
		"at the entry":           {"entry", func() []string { return []string{HeaderMember, ""} }, refuse.BadRequest},
		"unknown, at the entry":  {"entry", func() []string { return []string{HeaderMember, "nobody"} }, refuse.NoMember},
		"at the target":          {"d0", func() []string { return []string{HeaderHop, hop("")} }, refuse.CapUnavailable},
		"unknown, at the target": {"d0", func() []string { return []string{HeaderHop, hop("nobody")} }, refuse.CapUnavailable},
		"known, at the target":   {"d0", func() []string { return []string{HeaderHop, hop("office")} }, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newRig(t, 1, nil)
				defer g.close()
				got := g.callAt(t.Context(), tt.daemon, http.MethodGet, "/", "r", nil, tt.header()...)
				is.Equal(got.reason, tt.reason)
				if tt.reason == "" {
					is.Equal(g.runs("r"), 1)
					return
				}
				is.Equal(got.ran, refuse.RanNo)
				is.Equal(g.runs("r"), 0)
			})
		})
	}
}
