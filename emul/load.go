package emul

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/delay"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// avoidTime is the time for which callers send nothing to a stopping daemon: a stop takes
// about a second, and a restarted daemon is ready soon after it.
const avoidTime = 3 * time.Second

// Load generates an open-loop load: calls start at their planned times, however slow the
// answers are, and latency is measured from the planned time.
type Load struct {
	cfg      LoadConfig
	client   *http.Transport
	wg       sync.WaitGroup
	inFlight chan struct{}

	mu    sync.Mutex
	rand  *rand.Rand
	next  int
	sends []*send
	tally tally
	// avoided holds, for each stopping daemon, the time until which callers avoid it.
	avoided map[ident.Addr]time.Time
}

// send is one request on the wire. A repeat is a separate send with the same call.
type send struct {
	call    string // identifies the call; its sends share the idempotency key
	id      string // identifies the send; runs are counted by it
	kind    LoadKind
	entry   ident.Addr
	planned time.Time
	outcome outcome
}

// NewLoad returns a Load. It can run once.
func NewLoad(cfg LoadConfig) *Load {
	dial := cfg.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: time.Second}).DialContext
	}
	return &Load{
		cfg:      cfg,
		client:   &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 1024, DisableCompression: true},
		inFlight: make(chan struct{}, max(1, cfg.MaxInFlight)),
		rand:     rand.New(rand.NewPCG(cfg.Seed, 2)),
		tally:    newTally(),

		avoided: map[ident.Addr]time.Time{},
	}
}

// Run sends the load until its duration has passed or ctx ends, waits for the calls in flight and
// returns the report.
func (l *Load) Run(ctx context.Context) (Report, error) {
	if len(l.cfg.Entries) == 0 || len(l.cfg.Mix) == 0 || l.cfg.Rate <= 0 {
		return Report{}, fmt.Errorf("load: entries, mix and rate are required")
	}
	start := time.Now()
	for at := l.interarrival(); at < l.cfg.For; at += l.interarrival() {
		if !delay.Until(ctx, start.Add(at)) {
			break
		}
		// A Poisson process at the maximum rate, thinned to the current rate.
		if l.randFloat()*l.cfg.maxRate() < l.cfg.rateAt(at) {
			l.launch(ctx, l.plan(start.Add(at)))
		}
	}
	l.wg.Wait()
	l.client.CloseIdleConnections()
	return l.report(time.Since(start)), nil
}

func (l *Load) randFloat() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rand.Float64()
}

func (l *Load) interarrival() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.rand.ExpFloat64() / l.cfg.maxRate() * float64(time.Second))
}

// plan chooses the kind and the entry daemon of the next call at random.
func (l *Load) plan(at time.Time) *send {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	call := fmt.Sprintf("%d-%d", l.cfg.Seed, l.next)
	return &send{
		call: call, id: call + ".0", kind: l.chooseKind(), planned: at,
		entry: l.chooseEntry(),
	}
}

// entry draws a daemon that is not avoided, if there is one. It is called with mu held.
func (l *Load) chooseEntry() ident.Addr {
	now := time.Now()
	available := slices.DeleteFunc(slices.Clone(l.cfg.Entries), func(a ident.Addr) bool { return now.Before(l.avoided[a]) })
	if len(available) == 0 {
		available = l.cfg.Entries
	}
	return available[l.rand.IntN(len(available))]
}

// kind is called with mu held.
func (l *Load) chooseKind() LoadKind {
	var sum float64
	for _, k := range l.cfg.Mix {
		sum += k.Weight
	}
	x := l.rand.Float64() * sum
	for _, k := range l.cfg.Mix {
		if x -= k.Weight; x < 0 {
			return k
		}
	}
	return l.cfg.Mix[len(l.cfg.Mix)-1]
}

func (l *Load) launch(ctx context.Context, s *send) {
	select {
	case l.inFlight <- struct{}{}:
	default:
		l.mu.Lock()
		l.tally.unsent++
		l.mu.Unlock()
		return
	}
	l.wg.Go(func() {
		defer func() { <-l.inFlight }()
		l.callWithRepeats(ctx, s)
	})
}

// calls makes the call s and its repeats.
func (l *Load) callWithRepeats(ctx context.Context, s *send) {
	var repeats sync.WaitGroup
	if s.kind.Keyed && l.randFloat() < l.cfg.Repeat {
		repeats.Go(func() { l.repeat(ctx, s, 1) })
	}
	first, cancel := l.callerContext(ctx)
	defer cancel()
	l.do(first, s)
	if s.kind.Keyed && !s.outcome.definite() {
		l.repeat(ctx, s, 2)
	}
	repeats.Wait()
}

// leaving returns the context of a caller that may leave.
func (l *Load) callerContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if l.cfg.Leave > 0 && l.randFloat() < l.cfg.Leave {
		return context.WithTimeout(ctx, time.Duration(l.randFloat()*float64(l.cfg.LeaveAfter)))
	}
	return context.WithCancel(ctx)
}

func (l *Load) repeat(ctx context.Context, s *send, n int) {
	at := time.Now().Add(time.Duration(l.randFloat() * float64(l.cfg.RepeatAfter)))
	if !delay.Until(ctx, at) {
		return
	}
	l.mu.Lock()
	entry := l.chooseEntry()
	l.tally.repeats++
	l.mu.Unlock()
	l.do(ctx, &send{call: s.call, id: fmt.Sprintf("%s.%d", s.call, n), kind: s.kind, entry: entry, planned: at})
}
