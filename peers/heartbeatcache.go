package peers

import (
	"context"
	"errors"
	"sync"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

var errNoEarlierMessage = errors.New("nothing on the connection before that the message refers to")

// heartbeatCache keeps the last heartbeat of each connection, so that a repetition that differs
// only in its Version can be sent as a Beat.
type heartbeatCache struct {
	received perConn[Heartbeat]

	mu   sync.Mutex
	conn *wire.Conn // to the upstream
	sent Heartbeat  // last one that was answered on conn
}

// send sends h, as a Beat if only the Version has changed.
func (b *heartbeatCache) send(ctx context.Context, c *wire.Conn, h Heartbeat) (HeartbeatAnswer, error) {
	same := h
	b.mu.Lock()
	same.Version = b.sent.Version
	repeated := c == b.conn && same == b.sent
	b.mu.Unlock()
	var (
		out *HeartbeatAnswer
		err error
	)
	if repeated {
		err = c.Call(ctx, TypeBeat, Beat{Version: h.Version}, &out)
	} else {
		err = c.Call(ctx, TypeHeartbeat, h, &out)
	}
	if err != nil {
		return HeartbeatAnswer{}, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.conn, b.sent = c, h
	if out == nil {
		return HeartbeatAnswer{Version: h.Version, Forwarder: true}, nil
	}
	return *out, nil
}

// restore returns the last heartbeat received on c, with its Version replaced by v.
func (b *heartbeatCache) restore(c *wire.Conn, v ident.Version) (Heartbeat, error) {
	h, ok := b.received.get(c)
	if !ok {
		return Heartbeat{}, errNoEarlierMessage
	}
	h.Version = v
	return h, nil
}

// compactAnswer returns nil if out is the default answer that nil stands for, otherwise out.
func compactAnswer(h Heartbeat, out HeartbeatAnswer) *HeartbeatAnswer {
	if out.Version != h.Version || !out.Forwarder && !h.Forwarder || len(out.Forwarders.Forwarders) > 0 ||
		len(out.Lost) > 0 || out.Announce || out.Renew || out.Refresh {
		return &out
	}
	return nil
}
