package store_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/stats"
	"github.com/marjoramcroft/marjoramcroft/store"
)

// testClient is a Client of an emulated store.
type testClient struct {
	*store.Client
	emul  *emul.Store
	stats *stats.Set
	cfg   store.Config
}

func newTestClient(edit func(*store.Config)) *testClient {
	cfg := store.DefaultConfig()
	cfg.Budget = store.Budget{Reads: 1e6, ReadBurst: 1e6, Writes: 1e6, WriteBurst: 1e6}
	if edit != nil {
		edit(&cfg)
	}
	var mu sync.Mutex
	rnd := rand.New(rand.NewPCG(3, 4))
	c := &testClient{emul: emul.NewStore(emul.DefaultStoreConfig()), stats: stats.New(), cfg: cfg}
	c.Client = store.New(store.Deps{
		Driver: c.emul.Driver(), Config: cfg, Stats: c.stats, Log: event.Discard(),
		Rand: func() float64 {
			mu.Lock()
			defer mu.Unlock()
			return rnd.Float64()
		},
	})
	return c
}

func TestClient(t *testing.T) {
	tests := map[string]struct {
		edit func(*store.Config)
		run  func(t *testing.T, is *is.I, c *testClient)
	}{
		"write whose answer is lost is not repeated": {nil, func(t *testing.T, is *is.I, c *testClient) {
			for _, answer := range []emul.Answer{emul.Broken, emul.Missing} {
				before := c.emul.Counts()["Swap"]
				c.emul.FailWrites("a", 1, answer, 0)
				_, err := c.Swap(t.Context(), "a", c.emul.Peek("a").Revision, nil, 0)
				is.True(errors.Is(err, store.ErrUnknown))
				is.Equal(c.emul.Counts()["Swap"]-before, int64(1))
			}
			is.Equal(c.stats.Value("Store.Swap.Unknown"), int64(2))
		}},
		"lost answer of a delete or grant is unknown": {nil, func(t *testing.T, is *is.I, c *testClient) {
			c.emul.FailWrites("", 2, emul.Broken, 0)
			is.True(errors.Is(c.Delete(t.Context(), "a", 0), store.ErrUnknown))
			_, err := c.Grant(t.Context(), time.Second)
			is.True(errors.Is(err, store.ErrUnknown))
		}},
		"write cancelled by its caller is unknown, not unavailable": {nil, func(t *testing.T, is *is.I, c *testClient) {
			c.emul.FailWrites("a", 1, emul.Missing, 0)
			ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
			defer cancel()
			_, err := c.Swap(ctx, "a", 0, nil, 0)
			is.True(errors.Is(err, store.ErrUnknown))
			is.True(errors.Is(err, context.DeadlineExceeded))
			is.True(!errors.Is(err, store.ErrUnavailable))
		}},
		"write with a context that has ended is not sent": {nil, func(t *testing.T, is *is.I, c *testClient) {
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			_, err := c.Swap(ctx, "a", 0, nil, 0)
			is.True(errors.Is(err, store.ErrUnavailable))
			is.Equal(c.emul.Counts()["Swap"], int64(0))
		}},
		"write that did not run is repeated": {nil, func(t *testing.T, is *is.I, c *testClient) {
			c.emul.SetOutage(emul.Rejecting)
			time.AfterFunc(time.Millisecond, func() { c.emul.SetOutage(emul.NoOutage) })
			v, err := c.Swap(t.Context(), "a", 0, []byte("1"), 0)
			is.NoErr(err)
			is.True(v.Revision > 0)
		}},
		"lost answer of a renewal is repeated": {nil, func(t *testing.T, is *is.I, c *testClient) {
			id, err := c.Grant(t.Context(), time.Minute)
			is.NoErr(err)
			c.emul.FailWrites(id.String(), 1, emul.Broken, 0)
			is.NoErr(c.Renew(t.Context(), id))
		}},
		"lease that ended is reported at once": {nil, func(t *testing.T, is *is.I, c *testClient) {
			id, err := c.Grant(t.Context(), time.Minute)
			is.NoErr(err)
			time.Sleep(time.Minute)
			is.True(errors.Is(c.Renew(t.Context(), id), store.ErrLeaseLost))
			is.Equal(c.emul.Counts()["Renew"], int64(1))
		}},
		"read of a silent store ends at its deadlines": {nil, func(t *testing.T, is *is.I, c *testClient) {
			c.emul.SetOutage(emul.Silent)
			start := time.Now()
			_, err := c.Get(t.Context(), "a")
			is.True(errors.Is(err, store.ErrUnavailable))
			is.True(time.Since(start) <= 4*c.cfg.Timeout+3*c.cfg.BackoffMax)
			is.Equal(c.stats.Value("Store.Get.Unavailable"), int64(4))
		}},
		"conflicts do not open the circuit breaker": {nil, func(t *testing.T, is *is.I, c *testClient) {
			for range 20 {
				_, err := c.Swap(t.Context(), "a", 7, nil, 0)
				is.True(errors.Is(err, store.ErrConflict))
			}
			is.Equal(c.stats.Value("Store.Swap.Conflict"), int64(20))
		}},
		"calls cancelled by their callers do not open the circuit breaker": {nil, func(t *testing.T, is *is.I, c *testClient) {
			c.emul.SetDelay(time.Second)
			for range 20 {
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
				_, err := c.Get(ctx, "a")
				cancel()
				is.True(err != nil)
			}
			_, err := c.Get(t.Context(), "a")
			is.NoErr(err)
		}},
		"open circuit breaker sends no calls except one probe": {
			func(cfg *store.Config) { cfg.Attempts = 1 },
			func(t *testing.T, is *is.I, c *testClient) {
				c.emul.SetOutage(emul.Rejecting)
				for range 1000 {
					_, err := c.Get(t.Context(), "a")
					is.True(errors.Is(err, store.ErrUnavailable))
				}
				is.Equal(c.emul.Counts()["Get"], int64(c.cfg.OpenAfter))
				time.Sleep(c.cfg.OpenFor)
				var wg sync.WaitGroup
				for range 100 {
					wg.Go(func() { _, _ = c.Get(t.Context(), "a") })
				}
				wg.Wait()
				is.Equal(c.emul.Counts()["Get"], int64(c.cfg.OpenAfter+1)) // one probe
				c.emul.SetOutage(emul.NoOutage)
				time.Sleep(c.cfg.OpenFor)
				for range 10 {
					_, err := c.Get(t.Context(), "a")
					is.NoErr(err)
				}
			},
		},
		"watches alone close the circuit breaker after an outage": {nil, func(t *testing.T, is *is.I, c *testClient) {
			c.emul.SetOutage(emul.Rejecting)
			for range 3 {
				_, err := c.Watch(t.Context(), "a", store.Position{})
				is.True(errors.Is(err, store.ErrUnavailable))
			}
			c.emul.SetOutage(emul.NoOutage)
			time.Sleep(c.cfg.OpenFor)
			time.AfterFunc(time.Second, func() { _, _ = c.emul.Driver().Swap(t.Context(), "a", 0, nil, 0) })
			v, err := c.Watch(t.Context(), "a", store.Position{})
			is.NoErr(err)
			is.True(v.Revision > 0)
		}},
		"budget limits the rate and rejects long waits at once": {
			func(cfg *store.Config) { cfg.Budget = store.Budget{Reads: 10, ReadBurst: 5, Writes: 1, WriteBurst: 1} },
			func(t *testing.T, is *is.I, c *testClient) {
				start := time.Now()
				var rejected int
				var mu sync.Mutex
				var wg sync.WaitGroup
				for range 100 {
					wg.Go(func() {
						if _, err := c.Get(t.Context(), "a"); errors.Is(err, store.ErrBudget) {
							mu.Lock()
							defer mu.Unlock()
							rejected++
						}
					})
				}
				wg.Wait()
				is.Equal(time.Since(start), c.cfg.BudgetWait)
				is.Equal(rejected, 75) // 5 at once and 10/s for 2 s were sent
				is.Equal(c.emul.Counts()["Get"], int64(25))
				is.Equal(c.stats.Value("Store.Get.Budget"), int64(75))
			},
		},
		"one role does not use up the budget of another": {
			func(cfg *store.Config) { cfg.Budget = store.Budget{Reads: 1, ReadBurst: 1, Writes: 1, WriteBurst: 1} },
			func(t *testing.T, is *is.I, c *testClient) {
				for range 5 {
					_, _ = c.Get(t.Context(), "a")
				}
				start := time.Now()
				keeper := c.As(store.RoleKeeper)
				_, err := keeper.Get(t.Context(), "a")
				is.NoErr(err)
				is.Equal(time.Since(start), time.Duration(0))
				is.True(keeper == c.As(store.RoleKeeper)) // one Client, and thus one budget, per role
			},
		},
		"blocked watch is sent again and each request is counted": {nil, func(t *testing.T, is *is.I, c *testClient) {
			time.AfterFunc(150*time.Second, func() {
				is.Equal(c.stats.Value("Store.Watching"), int64(1))
				_, _ = c.emul.Driver().Swap(t.Context(), "a", 0, []byte("1"), 0)
			})
			v, err := c.Watch(t.Context(), "a", store.Position{})
			is.NoErr(err)
			is.Equal(string(v.Data), "1")
			is.Equal(c.emul.Counts()["Watch"], int64(3)) // at 0, 60 and 120 s
			is.Equal(c.stats.Value("Store.Watch.Period"), int64(2))
			is.Equal(c.stats.Value("Store.Watching"), int64(0))
		}},
		"change during a silent outage reaches the watch afterwards": {nil, func(t *testing.T, is *is.I, c *testClient) {
			start := time.Now()
			time.AfterFunc(10*time.Second, func() { c.emul.SetOutage(emul.Silent) })
			time.AfterFunc(30*time.Minute, func() { c.emul.SetOutage(emul.NoOutage) })
			time.AfterFunc(31*time.Minute, func() { _, _ = c.emul.Driver().Swap(t.Context(), "a", 0, []byte("1"), 0) })
			for {
				v, err := c.Watch(t.Context(), "a", store.Position{})
				if err == nil {
					is.Equal(string(v.Data), "1")
					break
				}
				is.True(errors.Is(err, store.ErrUnavailable))
			}
			is.True(time.Since(start) <= 31*time.Minute+c.cfg.WatchPeriod)
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { tt.run(t, is.New(t), newTestClient(tt.edit)) })
		})
	}
}
