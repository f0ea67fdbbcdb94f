package emul

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// crowdTimeout limits each dial and each write of a Crowd to a listener that does not take it.
const crowdTimeout = 5 * time.Second

// Crowd is a number of clients that keep to no limits. Its connections stay open until Close.
type Crowd struct {
	mu    sync.Mutex
	conns []net.Conn
}

// Attack opens n connections to addr at once and has send use each of them. It returns when all sends have ended.
// Errors are ignored: they mean that the listener has refused or closed a connection.
func (c *Crowd) Attack(n int, addr string, send func(nc net.Conn)) {
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() {
			nc, err := net.DialTimeout("tcp", addr, crowdTimeout)
			if err != nil {
				return
			}
			c.mu.Lock()
			c.conns = append(c.conns, nc)
			c.mu.Unlock()
			send(nc)
		})
	}
	wg.Wait()
}

// Churn has n clients each open rounds connections to addr, one after the other, and reset them after send.
func (c *Crowd) Churn(n, rounds int, addr string, send func(nc net.Conn)) {
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() {
			for range rounds {
				nc, err := net.DialTimeout("tcp", addr, crowdTimeout)
				if err != nil {
					continue
				}
				send(nc)
				if t, ok := nc.(*net.TCPConn); ok {
					_ = t.SetLinger(0)
				}
				_ = nc.Close()
			}
		})
	}
	wg.Wait()
}

// Close closes the connections.
func (c *Crowd) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, nc := range c.conns {
		_ = nc.Close()
	}
	c.conns = nil
}

// SendOnce returns a send for a Crowd that writes text and reads nothing.
func SendOnce(text string) func(nc net.Conn) {
	return func(nc net.Conn) { _ = crowdWrite(nc, []byte(text)) }
}

// SendEndless returns a send for a Crowd that writes first, and then part again and again until the connection ends or
// total bytes have been sent.
func SendEndless(first, part string, total int) func(nc net.Conn) {
	chunk := strings.Repeat(part, max(1, maxWriteBytes/len(part)))
	return SendParts(first, func(int) string { return chunk }, total)
}

// SendParts is SendEndless with parts that differ by their number, from zero.
func SendParts(first string, part func(i int) string, total int) func(nc net.Conn) {
	return func(nc net.Conn) {
		if crowdWrite(nc, []byte(first)) != nil {
			return
		}
		for i, sent := 0, 0; sent < total; i++ {
			p := part(i)
			if crowdWrite(nc, []byte(p)) != nil {
				return
			}
			sent += len(p)
		}
	}
}

func crowdWrite(nc net.Conn, b []byte) error {
	if err := nc.SetWriteDeadline(time.Now().Add(crowdTimeout)); err != nil {
		return fmt.Errorf("crowd: %w", err)
	}
	if _, err := nc.Write(b); err != nil {
		return fmt.Errorf("crowd: %w", err)
	}
	return nil
}

// HalfClose returns a send that ends the sending side of the connection after send.
func HalfClose(send func(nc net.Conn)) func(nc net.Conn) {
	return func(nc net.Conn) {
		send(nc)
		if t, ok := nc.(*net.TCPConn); ok {
			_ = t.CloseWrite()
		}
	}
}

// Drain returns a send that reads and discards what arrives while send writes, and afterwards until the connection ends.
func Drain(send func(nc net.Conn)) func(nc net.Conn) {
	return func(nc net.Conn) {
		go func() { _, _ = io.Copy(io.Discard, nc) }()
		send(nc)
	}
}

// ShortLines returns header lines of few bytes with different names, at least size bytes in total.
func ShortLines(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}
