package peers

import (
	"context"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// Heartbeat sends a heartbeat with the Version v and returns the upstream's Version. It
// implements fanout's Deps.Heartbeat.
func (a *Agent) Heartbeat(ctx context.Context, c *wire.Conn, v ident.Version) (ident.Version, error) {
	st, seq := a.own.state()
	h := Heartbeat{
		Addr: a.d.Addr, DataCentre: a.d.Place.DataCentre, Incarnation: a.d.Incarnation, Version: v,
		State: st.code(), Forwarder: a.IsForwarder(), Seq: seq, Ranking: a.ranks.confirmed().Stamp,
	}
	for _, d := range a.used.digests(a.d.Registry) {
		h.Used += d.Digest
	}
	out, err := a.heartbeats.send(ctx, c, h)
	if err != nil {
		return 0, err
	}
	if h.Forwarder {
		return out.Version, nil
	}
	a.ranks.learn(out.Forwarders)
	if out.Forwarder {
		a.ranks.markAnswered()
	}
	a.d.Registry.suspects.setLost(out.Lost)
	if out.Announce {
		a.own.reconnected()
	}
	if out.Renew {
		a.own.renew()
	}
	if out.Refresh {
		a.own.refresh()
	}
	return out.Version, nil
}
