package peers

import (
	"context"
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// Each case guards against shortening to nil an answer that carries information.
func TestCompactAnswer(t *testing.T) {
	for name, tt := range map[string]struct {
		change func(h *Heartbeat, out *HeartbeatAnswer)
		short  bool
	}{
		"nothing to tell":         {func(*Heartbeat, *HeartbeatAnswer) {}, true},
		"subscriber behind":       {func(h *Heartbeat, _ *HeartbeatAnswer) { h.Version-- }, false},
		"upstream behind":         {func(_ *Heartbeat, out *HeartbeatAnswer) { out.Version-- }, false},
		"no forwarder any more":   {func(_ *Heartbeat, out *HeartbeatAnswer) { out.Forwarder = false }, false},
		"root to a forwarder":     {func(h *Heartbeat, out *HeartbeatAnswer) { h.Forwarder, out.Forwarder = true, false }, true},
		"other ranking":           {func(_ *Heartbeat, out *HeartbeatAnswer) { out.Forwarders.Forwarders = []ident.Addr{"a"} }, false},
		"data centre lost":        {func(_ *Heartbeat, out *HeartbeatAnswer) { out.Lost = []ident.DataCentre{"d"} }, false},
		"daemon unknown":          {func(_ *Heartbeat, out *HeartbeatAnswer) { out.Announce = true }, false},
		"daemon suspect":          {func(_ *Heartbeat, out *HeartbeatAnswer) { out.Renew = true }, false},
		"lists of servers differ": {func(_ *Heartbeat, out *HeartbeatAnswer) { out.Refresh = true }, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h, out := Heartbeat{Version: 7}, HeartbeatAnswer{Version: 7, Forwarder: true}
			tt.change(&h, &out)
			is.Equal(compactAnswer(h, out) == nil, tt.short)
		})
	}
}

// Guards against a receiver that reconstructs an outdated heartbeat from a Beat: in either
// form, it must see the heartbeat exactly as the sender has it.
func TestBeatRepeatsHeartbeat(t *testing.T) {
	is := is.New(t)
	var (
		from, to heartbeatCache
		got      Heartbeat
		kinds    []wire.Type
	)
	connect := func() *wire.Conn {
		near, far := net.Pipe()
		server := wire.NewConn(far, func(_ context.Context, c *wire.Conn, typ wire.Type, body []byte) ([]byte, error) {
			kinds = append(kinds, typ)
			if typ == TypeBeat {
				return answer(body, func(b Beat) (_ any, err error) {
					got, err = to.restore(c, b.Version)
					return compactAnswer(got, HeartbeatAnswer{Version: got.Version, Forwarder: true}), err
				})
			}
			return answer(body, func(h Heartbeat) (any, error) {
				got = h
				to.received.set(c, h)
				return compactAnswer(h, HeartbeatAnswer{Version: h.Version, Forwarder: true}), nil
			})
		})
		c := wire.NewConn(near, nil)
		go func() { _ = server.Serve() }()
		go func() { _ = c.Serve() }()
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	send := func(c *wire.Conn, h Heartbeat) {
		out, err := from.send(t.Context(), c, h)
		is.NoErr(err)
		is.Equal(got, h)
		is.Equal(out, HeartbeatAnswer{Version: h.Version, Forwarder: true})
	}
	c := connect()
	h := Heartbeat{Addr: "a", DataCentre: "d", Version: 1, Seq: 1, Used: 5}
	send(c, h)
	h.Version = 2
	send(c, h)
	h.Used = 6
	send(c, h)
	send(c, h)
	send(connect(), h) // the new connection has no heartbeat to repeat
	is.Equal(kinds, []wire.Type{TypeHeartbeat, TypeBeat, TypeHeartbeat, TypeBeat, TypeHeartbeat})
	_, err := to.restore(nil, 1)
	is.True(err != nil) // an error makes the sender reconnect
}
