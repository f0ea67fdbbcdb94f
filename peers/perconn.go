package peers

import (
	"sync"

	"github.com/marjoramcroft/marjoramcroft/wire"
)

// perConn stores the last value received on each connection until that ends.
type perConn[T any] struct {
	mu sync.Mutex
	m  map[*wire.Conn]T
}

func (p *perConn[T]) set(c *wire.Conn, v T) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.m == nil {
		p.m = map[*wire.Conn]T{}
	}
	if _, ok := p.m[c]; !ok {
		go func() {
			<-c.Done()
			p.mu.Lock()
			defer p.mu.Unlock()
			delete(p.m, c)
		}()
	}
	p.m[c] = v
}

func (p *perConn[T]) get(c *wire.Conn) (T, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v, ok := p.m[c]
	return v, ok
}
