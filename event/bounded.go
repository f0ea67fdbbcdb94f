package event

import (
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// maxLines and burstLines bound the lines of a process: at the load of the largest deployments a
	// daemon has some 150 calls a second, each with one line.
	maxLines   = 400
	burstLines = 2000
	// queuedLines is how many lines wait for a slow output.
	queuedLines = 4096
	// reportEvery is the period in which dropped lines are counted in the log.
	reportEvery = time.Second
)

// Bounded is a writer that never blocks: it drops lines above its rate, and those that a slow output
// does not take.
type Bounded struct {
	w       io.Writer
	limit   *rate.Limiter
	lines   chan []byte
	dropped atomic.Int64
	stop    chan struct{}
	stopped chan struct{}
}

// NewBounded returns a Bounded that writes to w. Close must be called.
func NewBounded(w io.Writer) *Bounded {
	b := &Bounded{
		w: w, limit: rate.NewLimiter(maxLines, burstLines), lines: make(chan []byte, queuedLines),
		stop: make(chan struct{}), stopped: make(chan struct{}),
	}
	go b.run()
	return b
}

// Write takes one line. It always succeeds.
func (b *Bounded) Write(p []byte) (int, error) {
	if !b.limit.Allow() {
		b.dropped.Add(1)
		return len(p), nil
	}
	select {
	case b.lines <- append([]byte(nil), p...):
	default:
		b.dropped.Add(1)
	}
	return len(p), nil
}

func (b *Bounded) run() {
	defer close(b.stopped)
	t := time.NewTicker(reportEvery)
	defer t.Stop()
	// The report bypasses the rate, which dropped the lines that it counts.
	report := New(b.w, "info")
	for {
		select {
		case line := <-b.lines:
			// An output that fails cannot be told of it.
			_, _ = b.w.Write(line)
		case <-t.C:
			if n := b.dropped.Swap(0); n > 0 {
				report.Emit(LinesDropped, "Lines", n)
			}
		case <-b.stop:
			for {
				select {
				case line := <-b.lines:
					_, _ = b.w.Write(line)
				default:
					return
				}
			}
		}
	}
}

// Close writes what waits.
func (b *Bounded) Close() {
	close(b.stop)
	<-b.stopped
}
