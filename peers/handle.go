package peers

import (
	"context"
	"fmt"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// Handle answers the messages whose type begins with "peers.".
func (a *Agent) Handle(ctx context.Context, c *wire.Conn, t wire.Type, body []byte) ([]byte, error) {
	switch t {
	case TypeHeartbeat:
		return answer(body, func(h Heartbeat) (any, error) {
			a.heartbeats.received.set(c, h)
			return compactAnswer(h, a.onHeartbeat(c, h)), nil
		})
	case TypeBeat:
		return answer(body, func(b Beat) (any, error) {
			h, err := a.heartbeats.restore(c, b.Version)
			if err != nil {
				return nil, err
			}
			return compactAnswer(h, a.onHeartbeat(c, h)), nil
		})
	case TypeAnnounce:
		return answer(body, func(m Announce) (any, error) { return a.onAnnounce(ctx, m) })
	case TypeUse:
		return answer(body, func(u Use) (any, error) { return a.onUse(c, u), nil })
	case TypeWant:
		return answer(body, func(w Want) (any, error) { return a.answerWant(w), nil })
	case TypeServers:
		return answer(body, func(l ServerList) (any, error) { return nil, a.applyList(l, a.sourceOf(l.From)) })
	case TypeSuspect:
		return answer(body, func(s Suspect) (any, error) { a.markSuspect(s, a.sourceOf(s.From)); return nil, nil })
	case TypeDigest:
		return answer(body, func(d Digest) (any, error) { return a.onDigest(c, d) })
	case TypeScopes:
		return wire.Encode(a.scopes())
	case TypeRanking:
		return wire.Encode(a.ranks.confirmed())
	default:
		return nil, fmt.Errorf("%w: %s", wire.ErrUnknownType, t)
	}
}

// answer decodes a request, calls f and encodes its answer; a nil answer has no body.
func answer[T any](body []byte, f func(T) (any, error)) ([]byte, error) {
	var in T
	if err := wire.Decode(body, &in); err != nil {
		return nil, err
	}
	out, err := f(in)
	if err != nil || out == nil {
		return nil, err
	}
	return wire.Encode(out)
}

func (a *Agent) sourceOf(from ident.DataCentre) source {
	switch from {
	case "":
		return fromForwarder
	case a.d.Place.DataCentre:
		return fromSibling
	default:
		return fromRemote
	}
}

// applyList applies the rows of l to the registry.
func (a *Agent) applyList(l ServerList, from source) error {
	list, err := l.servers()
	if err != nil {
		a.d.Stats.Inc("Peers.Dropped.Corrupt")
		return err
	}
	for _, s := range list {
		if s.Control == a.d.Addr {
			a.own.refute(s) // only the daemon itself is authoritative for its servers
			continue
		}
		if from == fromSibling && a.reach.isForgotten(s.Place.DataCentre) {
			continue
		}
		if from == fromForwarder && !a.IsForwarder() {
			a.d.Registry.revive(s)
		}
		if !a.d.Registry.apply(s, from) {
			a.d.Stats.Inc("Peers.Dropped.Stale")
		}
	}
	return nil
}

func (a *Agent) onHeartbeat(c *wire.Conn, h Heartbeat) HeartbeatAnswer {
	out := HeartbeatAnswer{Version: a.d.ReportVersion(c, h.Addr, h.Version)}
	if h.Forwarder || h.DataCentre != a.d.Place.DataCentre {
		return out // it subscribes to the root of the region
	}
	if k := a.ranks.confirmed(); k.Stamp > h.Ranking {
		out.Forwarders = k
	}
	if !a.IsForwarder() {
		return out
	}
	a.tracker.markHeard(h.Addr)
	out.Forwarder = true
	out.Lost = a.reach.lostCentres()
	out.Refresh = a.subs.differs(c, h.Used)
	out.Renew = a.d.Registry.suspects.has(h.Addr)
	m, ok := a.d.Registry.lookup(daemonService(h.DataCentre), h.Addr)
	out.Announce = !ok || m.State == Gone || m.Backend != a.d.Addr || m.Incarnation != h.Incarnation || m.Seq > h.Seq
	return out
}

// onAnnounce applies the rows of a daemon. A receiver that is not a forwarder, such as one
// that has just lost the role, relays them to its own upstream.
func (a *Agent) onAnnounce(ctx context.Context, m Announce) (AnnounceAnswer, error) {
	if len(m.Rows) > 0 && m.Rows[0].DataCentre != a.d.Place.DataCentre {
		return AnnounceAnswer{}, nil // from a former forwarder that is about to disconnect from the root of the region
	}
	a.ranks.learn(m.Ranking)
	out := AnnounceAnswer{Forwarder: a.IsForwarder(), Forwarders: a.ranks.confirmed()}
	if !out.Forwarder {
		up := a.d.Upstream()
		if up == nil || m.Relayed {
			return out, nil // a second relay could loop
		}
		m.Relayed = true
		ctx, cancel := context.WithTimeout(ctx, pushTimeout)
		defer cancel()
		return out, up.Call(ctx, TypeAnnounce, m, nil)
	}
	list, err := ServerList{Rows: m.Rows}.servers()
	if err != nil {
		a.d.Stats.Inc("Peers.Dropped.Corrupt")
		return out, err
	}
	for _, s := range list {
		if s.isDaemon() {
			s.Backend = a.d.Addr
			a.tracker.markHeard(s.Control)
		}
		if a.d.Registry.apply(s, fromDaemon) {
			continue
		}
		if known, ok := a.d.Registry.lookup(s.Service, s.Addr); ok && known.State == Gone && s.State != Gone {
			out.Renew = true // it was declared gone after missed heartbeats
		}
	}
	return out, nil
}

func (a *Agent) onUse(c *wire.Conn, u Use) ServerList {
	a.subs.set(c, u.Services)
	var out ServerList
	for _, d := range u.Services {
		if a.d.Registry.serviceDigest(d.Service) == d.Digest {
			continue
		}
		out.Services = append(out.Services, d.Service)
		out.Rows = append(out.Rows, toRows(a.d.Registry.list(d.Service, ""))...)
	}
	return out
}

// onDigest returns nil if the only thing to answer is that the receiver is a forwarder.
func (a *Agent) onDigest(c *wire.Conn, d Digest) (*DigestAnswer, error) {
	if d.From != nil {
		a.senders.set(c, *d.From)
	}
	from, ok := a.senders.get(c)
	if !ok {
		return nil, errNoEarlierMessage
	}
	if from.DataCentre == a.d.Place.DataCentre {
		a.tracker.markHeard(from.Addr)
		a.reach.mergeHeard(d.Heard)
	} else {
		a.reach.heardFrom(from.DataCentre)
		a.tracker.markContact()
		a.ranks.setRemote(from.DataCentre, from.Forwarders)
	}
	out := DigestAnswer{Forwarder: a.IsForwarder()}
	if from.DataCentre == a.d.Place.DataCentre {
		m, ok := a.d.Registry.lookup(daemonService(from.DataCentre), from.Addr)
		out.Renew = a.d.Registry.suspects.has(from.Addr) || ok && m.State == Gone
	}
	if out.Forwarder {
		a.compare(c, from.DataCentre, d.Totals)
	}
	if k := a.ranks.confirmed(); k.Stamp > from.KnownStamp {
		out.Forwarders = k
	}
	if out.Forwarder && !out.Renew && len(out.Forwarders.Forwarders) == 0 {
		return nil, nil
	}
	return &out, nil
}
