package emul

import (
	"context"
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/delay"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/peers"
)

// Slowdown multiplies the service times of the calls that start in a period.
type Slowdown struct {
	From, To time.Duration // since the start of the model
	Factor   float64
}

// ModelServer models a backend server without sockets. It uses the clock of the time package.
type ModelServer struct {
	Server    peers.Server
	Slowdowns []Slowdown
	Cold      time.Duration // time from Start until warm; calls take up to coldFactor times as long
	ReportLag time.Duration // age of the load that Reported returns

	mu      sync.Mutex
	start   time.Time
	running int
	busy    time.Duration // sum of the service times of complete calls
	history []ident.Units // load, one entry per reportStep
}

const (
	reportStep = 100 * time.Millisecond
	coldFactor = 3
)

// Start starts the server and records its load until ctx ends.
func (m *ModelServer) Start(ctx context.Context) {
	m.start = time.Now()
	go func() {
		tick := time.NewTicker(reportStep)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
				m.mu.Lock()
				m.history = append(m.history, ident.Units(m.running))
				m.mu.Unlock()
			}
		}
	}()
}

// Reported returns the load at the time ReportLag ago, as a delayed load report contains it.
func (m *ModelServer) Reported() ident.Units {
	m.mu.Lock()
	defer m.mu.Unlock()
	i := len(m.history) - 1 - int(m.ReportLag/reportStep)
	if i < 0 {
		return 0
	}
	return m.history[i]
}

func (m *ModelServer) slowdown(at time.Duration) float64 {
	f := 1.0
	if m.Cold > 0 && at < m.Cold {
		f += (coldFactor - 1) * (1 - float64(at)/float64(m.Cold))
	}
	for _, s := range m.Slowdowns {
		if at >= s.From && at < s.To {
			f *= s.Factor
		}
	}
	return f
}

// meanSlots returns the mean number of slots in a period, each counted in proportion to the speed
// of the server relative to an idle warm one.
func (m *ModelServer) meanSlots(from, to time.Duration) float64 {
	const steps = 1000
	sum := 0.0
	for i := range steps {
		sum += 1 / m.slowdown(from+(to-from)*time.Duration(i)/steps)
	}
	return sum / steps * float64(m.Server.Slots)
}

// Run runs a call whose service time is work on an idle warm server. It returns the time taken; shed is
// true if all slots are taken, and complete is false if ctx ended first.
func (m *ModelServer) Run(ctx context.Context, work time.Duration) (took time.Duration, shed, complete bool) {
	begin := time.Now()
	m.mu.Lock()
	if m.running >= int(m.Server.Slots) {
		m.mu.Unlock()
		return 0, true, false
	}
	m.running++
	work = time.Duration(float64(work) * m.slowdown(begin.Sub(m.start)))
	m.mu.Unlock()
	complete = delay.Sleep(ctx, work)
	took = time.Since(begin)
	m.mu.Lock()
	m.running--
	m.busy += took
	m.mu.Unlock()
	return took, false, complete
}
