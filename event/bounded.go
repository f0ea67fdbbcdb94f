package event

import (
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// maxLinesPerSecond and maxBurstLines limit the log of a process. At the load of the largest deployments, a
	// daemon handles some 150 calls per second and writes one line for each.
	maxLinesPerSecond = 400
	maxBurstLines     = 2000
	// maxQueuedLines is how many lines are queued for a slow output.
	maxQueuedLines = 4096
	// reportInterval is the time between two log events that state the number of dropped lines.
	reportInterval = time.Second
	// closeTimeout limits the time in which queued lines are written at the end of the process.
	closeTimeout = time.Second
)

// DroppingWriter is a line writer that never blocks. It drops lines above its rate limit, and lines that do not fit
// into the queue of a slow output.
type DroppingWriter struct {
	w       io.Writer
	limit   *rate.Limiter
	lines   chan []byte
	dropped atomic.Int64
	stop    chan struct{}
	stopped chan struct{}
}

// NewDroppingWriter returns a DroppingWriter that writes to w. Close must be called.
func NewDroppingWriter(w io.Writer) *DroppingWriter {
	b := &DroppingWriter{
		w: w, limit: rate.NewLimiter(maxLinesPerSecond, maxBurstLines), lines: make(chan []byte, maxQueuedLines),
		stop: make(chan struct{}), stopped: make(chan struct{}),
	}
	go b.run()
	return b
}

// Write queues or drops one line. It never returns an error.
func (b *DroppingWriter) Write(p []byte) (int, error) {
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

func (b *DroppingWriter) run() {
	defer close(b.stopped)
	t := time.NewTicker(reportInterval)
	defer t.Stop()
	// The report bypasses the rate limit, which may be what dropped the lines.
	report := New(b.w, "info")
	for {
		select {
		case line := <-b.lines:
			// There is nowhere to report an error of the log's own output.
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

// Close writes the queued lines and stops the writer. It gives up if the output blocks. Lines written afterwards are
// lost.
func (b *DroppingWriter) Close() {
	close(b.stop)
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-b.stopped:
	case <-timer.C:
	}
}
