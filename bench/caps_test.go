package bench

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/quota"
	"github.com/marjoramcroft/marjoramcroft/refuse"
	"github.com/marjoramcroft/marjoramcroft/retry"
	"github.com/marjoramcroft/marjoramcroft/route"
	"github.com/marjoramcroft/marjoramcroft/stats"
)

const (
	capTimeout  = 2 * time.Second  // deadline of a call
	capWarmUp   = 3 * time.Second  // calls that start before it are not counted
	capMeasured = 10 * time.Second // calls that start in this time after the warm-up are counted
)

// capRun simulates a member with a number of callers, each of which makes calls of 50 to 150 ms one
// after the other.
type capRun struct {
	*holders
	entries []*route.Chooser // of the entry daemons, each at the place of the server with its index
	callers int

	resultsMu   sync.Mutex // guards the fields below
	calls       int
	refused     int
	attempts    int
	crossRegion int // attempts across regions
	admitted    []time.Duration
}

// TestMeasureCaps measures how many calls of a member within its cap are refused because its
// entry daemons do not reach a holder with a free unit in five attempts. It guards against base
// units that one entry daemon cannot use, and against more concurrent calls than the cap.
func TestMeasureCaps(t *testing.T) {
	t.Parallel()
	tab := &Table{Title: fmt.Sprintf("32 holders in 4 regions, seed %d: SEED=%d go test ./bench -run TestMeasureCaps -v", seed(), seed())}
	tab.Add("cap", "entry daemons", "callers", "calls", "refused", "attempts/call", "across regions/call", "admitted p50", "p99")
	for _, units := range []ident.Units{4, 10, 40, 200} {
		base := int(units+1) / 2
		for _, entries := range []int{1, 32} {
			for _, callers := range []int{base, int(units), 3 * int(units)} {
				r := runCap(t, units, entries, callers)
				per := func(n int) string { return fmt.Sprintf("%.2f", float64(n)/float64(max(1, r.calls))) }
				tab.Add(units, entries, callers, r.calls, percent(float64(r.refused)/float64(max(1, r.calls))),
					per(r.attempts), per(r.crossRegion), ms(r.quantile(0.5)), ms(r.quantile(0.99)))
				if r.maxOver > 0 {
					t.Errorf("cap %d: %d calls above it", units, r.maxOver)
				}
				if entries == 1 && callers == base && r.refused > 0 {
					t.Errorf("cap %d: %d of %d calls refused with %d base units for %d callers", units, r.refused, r.calls, base, callers)
				}
			}
		}
	}
	t.Log(tab.String())
}

func runCap(t *testing.T, units ident.Units, entries, callers int) *capRun {
	var r *capRun
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer time.Sleep(time.Minute) // the keeper releases its lease
		defer cancel()
		r = &capRun{holders: newHolders(ctx, emul.Future(), units, seed()), callers: callers}
		time.Sleep(time.Minute) // until the keeper lists all holders
		for i := range entries {
			r.entries = append(r.entries, route.New(route.Deps{
				Config: route.DefaultConfig(), Place: r.servers[i].Place, Random: r.random, Stats: stats.New(), Log: event.Discard(),
			}))
		}
		r.run(ctx)
	})
	return r
}

func (r *capRun) run(ctx context.Context) {
	begin := time.Now()
	var wg sync.WaitGroup
	for range r.callers {
		wg.Go(func() {
			time.Sleep(time.Duration(r.random() % uint64(200*time.Millisecond)))
			for time.Since(begin) < capWarmUp+capMeasured {
				counted := time.Since(begin) >= capWarmUp
				c := &capCall{capRun: r, entry: int(r.random() % uint64(len(r.entries))), start: time.Now()}
				err := c.run(ctx)
				if counted {
					c.count(err)
				}
			}
		})
	}
	wg.Wait()
	slices.Sort(r.admitted)
}

func (r *capRun) quantile(q float64) time.Duration {
	if len(r.admitted) == 0 {
		return 0
	}
	return r.admitted[int(q*float64(len(r.admitted)-1))]
}

// capCall is one call of a capRun with its attempts.
type capCall struct {
	*capRun
	entry       int
	start       time.Time
	req         route.Request
	attempts    int
	crossRegion int
	admitted    time.Duration
}

func (c *capCall) run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, capTimeout)
	defer cancel()
	c.req = route.Request{Service: capService, Member: capMember, Class: agree.Short, Cap: c.units}
	_, err := retry.Do(ctx, retry.Deps{Next: retry.DefaultPolicy().Next}, retry.Plan{Service: capService, Class: agree.Short},
		retry.AttemptFuncs[route.Pick, struct{}]{
			Choose: func(bool) (route.Pick, error) { return c.entries[c.entry].Choose(c.req, c.servers) },
			Prepare: func(p route.Pick, _ int) retry.AttemptFunc[struct{}] {
				c.req.Exclude = append(c.req.Exclude, p.Server.Addr)
				c.attempts++
				return func(ctx context.Context) (struct{}, error) { return struct{}{}, c.attempt(ctx, p) }
			},
			Cancel: func(p route.Pick) { p.Done(route.Outcome{Refused: refuse.Cancelled}) },
			Drop:   func(struct{}) {},
		})
	return err
}

// attempt simulates the network latency to the holder, the call there and the latency back.
func (c *capCall) attempt(ctx context.Context, p route.Pick) error {
	i, sentAt := c.index(p.Server.Control), time.Now()
	latency := c.oneWay(c.entry, i)
	if c.servers[c.entry].Place.Distance(p.Server.Place) == 2 {
		c.crossRegion++
	}
	time.Sleep(latency)
	deadline, _ := ctx.Deadline()
	release, err := c.quotaHolders[i].Acquire(ctx, quota.Request{Member: capMember, Class: agree.Short, Deadline: deadline})
	if err != nil {
		time.Sleep(latency)
		reason := refuse.From(err).Reason
		c.req.Capped = c.req.Capped || reason == refuse.CapReached || reason == refuse.CapUnavailable
		p.Done(route.Outcome{Latency: time.Since(sentAt), Refused: reason})
		return err
	}
	c.admitted = time.Since(c.start)
	c.holders.count(1)
	time.Sleep(50*time.Millisecond + time.Duration(c.random()%uint64(100*time.Millisecond)))
	c.holders.count(-1)
	release()
	time.Sleep(latency)
	p.Done(route.Outcome{Latency: time.Since(sentAt)})
	return nil
}

func (c *capCall) count(err error) {
	r := c.capRun
	r.resultsMu.Lock()
	defer r.resultsMu.Unlock()
	r.calls++
	r.attempts += c.attempts
	r.crossRegion += c.crossRegion
	if err != nil {
		r.refused++
		return
	}
	r.admitted = append(r.admitted, c.admitted)
}
