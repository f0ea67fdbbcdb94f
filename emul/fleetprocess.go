package emul

import (
	"context"
	"strings"

	"github.com/marjoramcroft/marjoramcroft/fanout"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/peers"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// daemonProcess is one process of a daemon. Connections belong to it and not to the daemon, since
// a handler may still run when the daemon starts again.
type daemonProcess struct {
	d     *Daemon
	agent *peers.Agent
	node  *fanout.Node
}

func (p daemonProcess) handle(ctx context.Context, c *wire.Conn, t wire.Type, body []byte) ([]byte, error) {
	if p.d.f.Trace != nil {
		p.d.f.mu.Lock()
		p.d.f.Trace(p.d.Addr, t, len(body))
		p.d.f.mu.Unlock()
	}
	if strings.HasPrefix(string(t), "peers.") {
		return p.agent.Handle(ctx, c, t, body)
	}
	if t == fanout.TypeUpdate || t == fanout.TypeSnapshot {
		defer p.d.f.delayUpdate(ident.Addr(c.RemoteAddr()), t)()
		return p.handleAll(ctx, c, t, p.d.f.applyTamper(p.d.Addr, t, body))
	}
	return p.node.Handle(ctx, c, t, body)
}

// handleAll handles each body and returns the answer to the last one. Without any body it sends no
// answer.
func (p daemonProcess) handleAll(ctx context.Context, c *wire.Conn, t wire.Type, bodies [][]byte) (out []byte, err error) {
	if len(bodies) == 0 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	for _, b := range bodies {
		out, err = p.node.Handle(ctx, c, t, b)
	}
	return out, err
}
