package emul

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/admit"
	"github.com/marjoramcroft/marjoramcroft/delay"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/peers"
	"github.com/marjoramcroft/marjoramcroft/refuse"
	"github.com/marjoramcroft/marjoramcroft/retry"
	"github.com/marjoramcroft/marjoramcroft/route"
	"github.com/marjoramcroft/marjoramcroft/stats"
)

// modelService is the one service of a Model.
const modelService ident.ServiceID = "lessons"

// Model simulates calls through entry daemons, admission and backend servers without sockets. It
// uses the clock of the time package and is meant to run in virtual time.
type Model struct {
	Deployment Deployment
	Policies   Policies
	Streams    []Stream
	Seed       uint64
	Length     time.Duration
	From, To   time.Duration // calls that arrive in this period are counted
	Prepare    func(servers []*ModelServer)

	Stats *stats.Set

	mu        sync.Mutex
	random    *rand.Rand
	servers   []*ModelServer
	list      []peers.Server
	admission []admit.EnterFunc
	waiting   map[ident.Addr]func() int // number of calls that wait at a server, if its policy reports it
	entries   []EntryPolicy
	start     time.Time
	result    Result
	inFlight  map[ident.MemberID]int
}

// Random returns a random number from the seeded source that the policies share.
func (m *Model) Random() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.random.Uint64()
}

// Reported returns the reported load of the server at addr.
func (m *Model) Reported(addr ident.Addr) ident.Units {
	if i := m.index(addr); i >= 0 {
		return m.servers[i].Reported()
	}
	return 0
}

func (m *Model) index(addr ident.Addr) int {
	for i := range m.list {
		if m.list[i].Addr == addr {
			return i
		}
	}
	return -1
}

// Run runs the model and returns its measurements.
func (m *Model) Run(ctx context.Context) *Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m.Stats = stats.New()
	m.random = rand.New(rand.NewPCG(m.Seed, 1))
	m.start = time.Now()
	m.inFlight = map[ident.MemberID]int{}
	m.waiting = map[ident.Addr]func() int{}
	m.list = m.Deployment.Servers(modelService)
	m.result = Result{Members: map[ident.MemberID]*MemberResult{}, Period: m.To - m.From}
	for i := range m.Streams {
		if m.result.Members[m.Streams[i].Member] == nil {
			m.result.Members[m.Streams[i].Member] = &MemberResult{Refused: map[refuse.Reason]int{}}
		}
	}
	for _, s := range m.list {
		m.servers = append(m.servers, &ModelServer{Server: s, ReportLag: 2 * time.Second})
	}
	if m.Prepare != nil {
		m.Prepare(m.servers)
	}
	for i, s := range m.list {
		m.result.Slots += m.servers[i].meanSlots(m.From, m.To)
		m.servers[i].Start(ctx)
		m.admission = append(m.admission, m.Policies.Enter(m, s))
		for range max(1, m.Deployment.Daemons) {
			m.entries = append(m.entries, m.Policies.Entry(m, s.Place))
		}
	}
	go m.sendReports(ctx)

	var wg sync.WaitGroup
	for i := range m.Streams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			m.runStream(ctx, &m.Streams[i], uint64(i), &wg)
		}()
	}
	wg.Wait()
	m.result.Retries = m.Stats.Value("Retried.Failed") + m.Stats.Value("Retried.Hedge")
	m.result.NotRun = m.Stats.Value("Retried.NotRun")
	return &m.result
}

// sendReports passes the delayed load reports to the entry daemons every second.
func (m *Model) sendReports(ctx context.Context) {
	// Runs half a step after the servers record their load. At the same instant, the order of
	// the goroutines would determine which load is read.
	if !delay.Sleep(ctx, reportStep/2) {
		return
	}
	for delay.Sleep(ctx, time.Second) {
		for _, e := range m.entries {
			if e.Report == nil {
				continue
			}
			for _, s := range m.servers {
				e.Report(modelService, s.Server.Addr, s.Reported())
			}
		}
	}
}

// runStream sends the calls of s. Arrivals depend on the seed only, not on the policies.
func (m *Model) runStream(ctx context.Context, s *Stream, n uint64, wg *sync.WaitGroup) {
	r := rand.New(rand.NewPCG(m.Seed, 100+n))
	for at := time.Duration(0); at < m.Length; {
		rate := s.Rate(at)
		at += time.Duration(r.ExpFloat64() / max(rate, 0.1) * float64(time.Second))
		entry, work := s.drawEntry(r, len(m.list), max(1, m.Deployment.Daemons)), s.drawServiceTime(r)
		if !delay.Sleep(ctx, at-time.Since(m.start)) {
			return
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			m.runCall(ctx, s, entry, work)
		}()
	}
}

// runCall runs one call from the side of the client and counts its result.
func (m *Model) runCall(ctx context.Context, s *Stream, entry int, work time.Duration) {
	begin := time.Since(m.start)
	m.mu.Lock()
	over := s.Cap > 0 && m.inFlight[s.Member] >= s.Cap
	if !over {
		m.inFlight[s.Member]++
		m.result.Total++
	}
	m.mu.Unlock()
	if over {
		m.count(s, begin, 0, refuse.NotRun(refuse.CapReached, ""))
		return
	}
	delay.Sleep(ctx, m.Deployment.Client)
	cctx, cancel := context.WithTimeout(ctx, s.Timeout) // the route's timeout starts at the entry daemon
	err := m.call(cctx, s, entry, work)
	cancel()
	delay.Sleep(ctx, m.Deployment.Client)
	m.mu.Lock()
	m.inFlight[s.Member]--
	m.mu.Unlock()
	m.count(s, begin, work, err)
}

// call is the part of the entry daemon: choice of servers, hedging and retries.
func (m *Model) call(ctx context.Context, s *Stream, entry int, work time.Duration) error {
	e := m.entries[entry]
	if e.Budget != nil {
		e.Budget.Call(modelService)
	}
	req := route.Request{Service: modelService, Member: s.Member, Class: s.Class, Route: s.Route}
	if e.Class != nil {
		req.Class = e.Class(req)
	}
	take := func(_ ident.ServiceID, k retry.Kind) bool {
		m.Stats.Retried(string(k))
		return true
	}
	if e.Budget != nil {
		take = e.Budget.Take
	}
	d := retry.Deps{HedgeAfter: e.HedgeAfter, Next: e.Next, Take: take}
	plan := retry.Plan{Service: modelService, Class: req.Class, Idempotent: !s.Mutates}
	_, err := retry.Do(ctx, d, plan, retry.AttemptFuncs[route.Pick, struct{}]{
		Choose: func(hedge bool) (route.Pick, error) {
			req.Hedge = hedge
			return e.Choose(req, m.list)
		},
		Prepare: func(p route.Pick, _ int) retry.AttemptFunc[struct{}] {
			req.Exclude = append(req.Exclude, p.Server.Addr)
			return func(ctx context.Context) (struct{}, error) { return struct{}{}, m.attempt(ctx, s, entry, p, work) }
		},
		Cancel: func(p route.Pick) { p.Done(route.Outcome{Refused: refuse.Cancelled}) },
		Drop:   func(struct{}) {},
	})
	return err
}

var errNoResponse = errors.New("no response")

// attempt sends a call from the entry daemon to a backend server and waits for the response.
func (m *Model) attempt(ctx context.Context, s *Stream, entry int, p route.Pick, work time.Duration) error {
	i := m.index(p.Server.Addr)
	latency := oneWay(m.list[entry/max(1, m.Deployment.Daemons)].Place, p.Server.Place)
	if latency == 20*time.Millisecond {
		m.mu.Lock()
		m.result.Remote++
		m.mu.Unlock()
	}
	begin := time.Now()
	delay.Sleep(ctx, latency)
	deadline, _ := ctx.Deadline()
	chain := retry.Chain{Deadline: deadline}
	if entry/max(1, m.Deployment.Daemons) != i {
		chain = chain.Forward(begin)
	}
	tctx, cancel := context.WithDeadline(ctx, chain.Deadline)
	defer cancel()
	t, err := m.admission[i](tctx, admit.Request{Member: s.Member, Class: s.Class, Route: s.Route})
	if err != nil {
		delay.Sleep(ctx, latency)
		p.Done(route.Outcome{Latency: time.Since(begin), Refused: refuse.From(err).Reason})
		return err
	}
	took, shed, complete := m.servers[i].Run(tctx, work)
	waiting := 0
	if f := m.waiting[p.Server.Addr]; f != nil {
		waiting = f()
	}
	t.Done(admit.Outcome{Service: took, Shed: shed, Failed: !complete && !shed})
	if shed {
		delay.Sleep(ctx, latency)
		p.Done(route.Outcome{Latency: time.Since(begin), Refused: refuse.Shedding})
		return refuse.NotRun(refuse.Shedding, "backend server shed the call")
	}
	if !complete || !delay.Sleep(ctx, latency) {
		m.addWasted(took)
		o := route.Outcome{Latency: time.Since(begin), Refused: refuse.Cancelled}
		p.Done(o)
		return errNoResponse
	}
	p.Done(route.Outcome{Latency: time.Since(begin), Waiting: waiting})
	return nil
}

func (m *Model) count(s *Stream, begin, work time.Duration, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if begin < m.From || begin >= m.To {
		return
	}
	m.result.add(s, time.Since(m.start)-begin, work, err)
}

func (m *Model) addWasted(took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at := time.Since(m.start); at >= m.From && at < m.To {
		m.result.Wasted += took
	}
}
