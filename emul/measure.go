package emul

import (
	"fmt"
	"strings"
	"time"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/peers"
)

// Scenario selects what else happens while a change is distributed.
type Scenario string

// The scenarios.
const (
	Quiet   Scenario = "quiet"
	Churn   Scenario = "churn"   // ten backend servers change state each second
	Restart Scenario = "restart" // 30% of the daemons restart together at the change
)

// Run configures a measurement of a Fleet.
type Run struct {
	Daemons  int
	Places   []ident.Place
	Rows     int // of the agreement
	Scenario Scenario
	Baseline bool // measure the baseline, see Fleet.Baseline
	Changes  int  // number of changes, each of one cap
	Services int
	Uses     int           // number of services that each daemon uses
	Settle   time.Duration // time before the first change; 40 s by default
	// Settled is called before the first change; it may be nil.
	Settled func(f *Fleet)
	// Account includes the traffic of the busiest daemon by kind in the result.
	Account bool
}

// RunResult is the result of a Run. Rates and bytes count the connections of the control plane
// or, for the baseline, the answers of the store.
type RunResult struct {
	Slowest  time.Duration // maximum time from acceptance until all daemons that were not restarted serve the change
	Restored time.Duration // maximum time from the restart until all daemons serve the accepted Version
	Mean     time.Duration // mean of the times of which Slowest is the maximum
	Rate     float64       // B/s sent and received by a daemon, mean over all daemons and changes
	MaxRate  float64       // B/s of the daemon with the highest rate
	Busiest  []Usage       // traffic of that daemon by kind during Duration, if Run.Account is set
	PerLink  float64       // bytes of updates per change in the busiest direction of a link between regions
	Link     float64       // B/s of all messages in the busiest direction
	Calls    Calls
	Duration time.Duration
	Failed   bool // a change did not reach all daemons within a minute
}

// SampleAgreement returns an agreement with about n rows: one per member, and a cap and a route
// per member and service, for four services. The cap of the first member in the first service
// has the given units.
func SampleAgreement(v ident.Version, n int, units ident.Units) (*agree.Agreement, error) {
	var rows []agree.Row
	services := []ident.ServiceID{"lessons", "bookings", "registry", "reports"}
	for _, s := range services {
		rows = append(rows, agree.Row{Kind: agree.KindService, Service: s})
	}
	for m := 0; len(rows) < n; m++ {
		id := ident.MemberID(fmt.Sprintf("member-%05d", m))
		rows = append(rows, agree.Row{Kind: agree.KindMember, Member: id})
		for i, s := range services {
			u := ident.Units(3 + (m*7+i*3)%40)
			if m == 0 && i == 0 {
				u = units
			}
			rows = append(rows,
				agree.Row{Kind: agree.KindCap, Member: id, Service: s, Units: u},
				agree.Row{
					Kind: agree.KindRoute, Route: ident.RouteID(fmt.Sprintf("%s-%s", id, s)), Member: id, Service: s,
					Prefix: "/" + string(s), Class: agree.Short, Repeat: agree.RepeatByMethod, Timeout: 2 * time.Second,
				})
		}
	}
	return agree.New(v, rows)
}

// Measure runs r. It is intended for virtual time (testing/synctest).
func Measure(r Run) (RunResult, error) {
	f := NewFleet(r.Daemons, r.Places, r.Services)
	f.Baseline = r.Baseline
	defer f.Stop()
	m := &measurement{run: r, fleet: f}
	if r.Settle == 0 {
		r.Settle = 40 * time.Second
	}
	if err := m.acceptNext(); err != nil {
		return RunResult{}, err
	}
	f.Start()
	m.useServices(f.daemons)
	time.Sleep(r.Settle)
	if r.Settled != nil {
		r.Settled(f)
	}
	out := m.measure()
	return out, m.err
}

// measurement is the state of a Run.
type measurement struct {
	run     Run
	fleet   *Fleet
	version ident.Version
	err     error
}

func (m *measurement) useServices(list []*Daemon) {
	if m.run.Baseline {
		return
	}
	for _, d := range list {
		for i := range m.run.Uses {
			d.Agent.Subscribe(ident.ServiceID(fmt.Sprintf("service-%d", (d.index+i)%m.run.Services)))
		}
	}
}

func (m *measurement) acceptNext() error {
	m.version++
	a, err := SampleAgreement(m.version, m.run.Rows, ident.Units(m.version))
	if err != nil {
		return err
	}
	m.fleet.Platform.Accept(a)
	return nil
}

func (m *measurement) measure() RunResult {
	f := m.fleet
	stop := make(chan struct{})
	defer close(stop)
	if m.run.Scenario == Churn && !m.run.Baseline {
		go m.churn(stop)
	}
	var out RunResult
	if m.run.Account {
		f.Net.Account()
	}
	links := f.Net.Traffic()
	before, begin, calls := m.bytes(), time.Now(), f.Platform.Calls()
	for range m.run.Changes {
		m.measureChange(&out)
	}
	out.Mean /= time.Duration(m.run.Changes)
	out.Duration = time.Since(begin)
	now := f.Net.Traffic()
	out.PerLink = maxIncrease(links.Updates, now.Updates) / float64(m.run.Changes)
	out.Link = maxIncrease(links.Links, now.Links) / out.Duration.Seconds()
	for i, b := range m.bytes() {
		rate := float64(b-before[i]) / out.Duration.Seconds()
		out.Rate += rate / float64(len(before))
		if rate > out.MaxRate {
			out.MaxRate, out.Busiest = rate, f.Net.Usage(f.daemons[i].Addr)
		}
	}
	after := f.Platform.Calls()
	out.Calls = Calls{
		Reads: after.Reads - calls.Reads, Writes: after.Writes - calls.Writes,
		Watching: after.Watching, MaxWatching: after.MaxWatching,
	}
	return out
}

// changeInterval is the time between changes. The planned 1,300 changes a day are one in 66 s,
// so rates are measured at more than six times the planned number of changes.
const changeInterval = 10 * time.Second

// measureChange accepts one change and waits until all daemons serve it.
func (m *measurement) measureChange(out *RunResult) {
	f, begin := m.fleet, time.Now()
	var restarted []*Daemon
	if m.run.Scenario == Restart {
		for i, d := range f.daemons {
			if i%10 < 3 {
				restarted = append(restarted, d)
			}
		}
		for _, d := range restarted {
			d.Kill()
		}
		for _, d := range restarted {
			d.Start()
		}
		m.useServices(restarted)
	}
	if err := m.acceptNext(); err != nil {
		m.err = err
		return
	}
	stayed := m.waitServed(func(d *Daemon) bool { return len(restarted) == 0 || d.index%10 >= 3 }, out)
	out.Slowest = max(out.Slowest, stayed)
	out.Mean += stayed
	out.Restored = max(out.Restored, m.waitServed(func(*Daemon) bool { return true }, out)+stayed)
	if len(restarted) == 0 {
		out.Restored = 0
	}
	time.Sleep(changeInterval - min(time.Since(begin), changeInterval))
}

func (m *measurement) waitServed(ok func(*Daemon) bool, out *RunResult) time.Duration {
	begin := time.Now()
	for {
		behind := false
		for _, d := range m.fleet.daemons {
			if ok(d) && d.Version() != m.version {
				behind = true
				break
			}
		}
		if !behind {
			return time.Since(begin)
		}
		if time.Since(begin) > time.Minute {
			out.Failed = true
			return time.Since(begin)
		}
		time.Sleep(time.Millisecond)
	}
}

// churn changes the state of ten servers each second.
func (m *measurement) churn(stop chan struct{}) {
	states := []peers.State{peers.Draining, peers.Starting, peers.Ready}
	t := time.NewTicker(100 * time.Millisecond)
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		d := m.fleet.daemons[n*7%len(m.fleet.daemons)]
		d.Agent.Announce(peers.Server{
			Service: d.Service, Addr: d.httpAddr(), Slots: 9, Conns: 120, State: states[n/len(m.fleet.daemons)%3],
		})
	}
}

// bytes returns the bytes sent and received by each daemon.
func (m *measurement) bytes() []int64 {
	out := make([]int64, len(m.fleet.daemons))
	for i, d := range m.fleet.daemons {
		out[i] = m.fleet.Net.Bytes(d.Addr)
	}
	return out
}

// maxIncrease returns the largest increase of a direction.
func maxIncrease(before, after map[[2]ident.Region]int64) float64 {
	var increase int64
	for k, v := range after {
		increase = max(increase, v-before[k])
	}
	return float64(increase)
}

// TableHeader returns the header of a table of results.
func TableHeader() string {
	return strings.Join([]string{
		"kind", "daemons", "rows", "scenario", "slowest", "mean", "restored", "B/s mean", "B/s most",
		"link update B/change", "link B/s", "reads/s", "writes/s", "watches", "ok",
	}, " | ")
}

// Row returns the table row of the run and its result.
func (r Run) Row(res RunResult) string {
	kind, secs := "fanout", res.Duration.Seconds()
	if r.Baseline {
		kind = "baseline"
	}
	return fmt.Sprintf("%s | %d | %d | %s | %d ms | %d ms | %d ms | %.0f | %.0f | %.0f | %.0f | %.1f | %.1f | %d | %v",
		kind, r.Daemons, r.Rows, r.Scenario, res.Slowest.Milliseconds(), res.Mean.Milliseconds(), res.Restored.Milliseconds(),
		res.Rate, res.MaxRate, res.PerLink, res.Link, float64(res.Calls.Reads)/secs, float64(res.Calls.Writes)/secs,
		res.Calls.Watching, !res.Failed)
}
