package daemon

import (
	"context"
	"errors"
	"sync"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// poolShards is the number of shards of a connPool, which reduce lock contention.
const poolShards = 16

// connPool holds one connection to each daemon that has been called, for requests such as
// quota.Sync2 and dedup.Claim.
type connPool struct {
	dial   func(ctx context.Context, addr ident.Addr) (*wire.Conn, error)
	shards [poolShards]poolShard
}

type poolShard struct {
	mu    sync.Mutex
	conns map[ident.Addr]*pooledConn
}

// pooledConn is the connection to one daemon. Its lock is held while dialling, so that concurrent calls
// share one connection.
type pooledConn struct {
	mu   sync.Mutex
	conn *wire.Conn
}

func newConnPool(dial func(ctx context.Context, addr ident.Addr) (*wire.Conn, error)) *connPool {
	p := &connPool{dial: dial}
	for i := range p.shards {
		p.shards[i].conns = map[ident.Addr]*pooledConn{}
	}
	return p
}

func (p *connPool) shard(addr ident.Addr) *poolShard {
	var h uint32
	for _, b := range []byte(addr) {
		h = h*31 + uint32(b)
	}
	return &p.shards[h%poolShards]
}

func (p *connPool) entry(addr ident.Addr) *pooledConn {
	sh := p.shard(addr)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	e, ok := sh.conns[addr]
	if !ok {
		e = &pooledConn{}
		sh.conns[addr] = e
	}
	return e
}

// call sends request in to addr and decodes the answer into out.
func (p *connPool) call(ctx context.Context, addr ident.Addr, t wire.Type, in, out any) error {
	e := p.entry(addr)
	c, err := e.get(ctx, addr, p.dial)
	if err != nil {
		return err
	}
	err = c.Call(ctx, t, in, out)
	if errors.Is(err, wire.ErrClosed) || errors.Is(err, context.DeadlineExceeded) {
		// A connection without an answer may be half open; drop it so that the next call dials again.
		e.drop(c)
	}
	return err
}

func (e *pooledConn) get(ctx context.Context, addr ident.Addr, dial func(context.Context, ident.Addr) (*wire.Conn, error)) (*wire.Conn, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn != nil {
		select {
		case <-e.conn.Done():
			e.conn = nil
		default:
			return e.conn, nil
		}
	}
	c, err := dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	e.conn = c
	return c, nil
}

func (e *pooledConn) drop(c *wire.Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn == c {
		e.conn = nil
		_ = c.Close()
	}
}

// close closes all connections.
func (p *connPool) close() {
	for i := range p.shards {
		sh := &p.shards[i]
		sh.mu.Lock()
		for _, e := range sh.conns {
			e.mu.Lock()
			if e.conn != nil {
				_ = e.conn.Close()
				e.conn = nil
			}
			e.mu.Unlock()
		}
		sh.mu.Unlock()
	}
}
