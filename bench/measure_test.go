package bench

import (
	"fmt"
	"maps"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/figure"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/race"
	"github.com/marjoramcroft/marjoramcroft/refuse"
)

// Targets of section 1.2 of the design page.
const (
	minGoodput         = 0.95
	maxLongWorkRatio   = 1.2
	maxSlowServerRatio = 1.5
	maxExtraShare      = 0.05
)

// seed returns the seed of the run, from the environment variable SEED.
func seed() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64); err == nil {
		return n
	}
	return 1
}

func deployments() map[string]emul.Deployment {
	return map[string]emul.Deployment{"school": emul.School(), "laundry": emul.Laundry()}
}

// allPolicies returns the current policies, which come first, and all baselines.
func allPolicies() []emul.Policies {
	return withBaselines(0, 1, 2, 3, 4, 5)
}

// runBaselines is false under the race detector, where a run takes ten times as long. The checks
// apply to the current policies only.
const runBaselines = !race.Enabled

// withBaselines returns the current policies and the baselines with the given indices.
func withBaselines(indices ...int) []emul.Policies {
	out := []emul.Policies{emul.Current()}
	for _, i := range indices {
		if runBaselines {
			out = append(out, emul.Baselines()[i])
		}
	}
	return out
}

func run(t *testing.T, m *emul.Model) *emul.Result {
	t.Helper()
	var res *emul.Result
	synctest.Test(t, func(t *testing.T) {
		res = m.Run(t.Context())
	})
	return res
}

// measurePolicies logs a table with one row for each of allPolicies and checks the first row, that of
// the current policies.
func measurePolicies(t *testing.T, columns []any, row func(t *testing.T, d emul.Deployment, p emul.Policies) (cells []any, check func(t *testing.T))) {
	t.Parallel()
	for name, d := range deployments() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tab := &Table{Title: fmt.Sprintf("%s, seed %d: SEED=%d go test ./bench -run %s -v", name, seed(), seed(), strings.Split(t.Name(), "/")[0])}
			tab.Add(append([]any{"policies"}, columns...)...)
			var check func(t *testing.T)
			for i, p := range allPolicies() {
				cells, c := row(t, d, p)
				tab.Add(append([]any{p.Name}, cells...)...)
				if i == 0 {
					check = c
				}
			}
			t.Log(tab.String())
			check(t)
		})
	}
}

func percent(x float64) string { return fmt.Sprintf("%.1f%%", 100*x) }

func ms(d time.Duration) string { return fmt.Sprintf("%.1fms", float64(d.Microseconds())/1000) }

func extraShare(r *emul.Result) float64 { return float64(r.Retries) / float64(max(r.Total, 1)) }

// Guards against slots left idle at the peak of a surge, and against a surge of one member
// that costs another member calls.
func TestMeasureGoodputAtThePeak(t *testing.T) {
	measurePolicies(t, []any{"goodput", "large good/sent", "small good/sent", "other good/sent", "extra", "not run", "remote"},
		func(t *testing.T, d emul.Deployment, p emul.Policies) ([]any, func(t *testing.T)) {
			r := run(t, peakModel(d, p, seed()))
			goodOfSent := func(m string) string {
				x := r.Members[ident.MemberID(m)]
				return fmt.Sprintf("%d/%d", x.Good, x.Calls)
			}
			return []any{percent(r.Goodput()), goodOfSent("large"), goodOfSent("small"), goodOfSent("other"), percent(extraShare(r)), r.NotRun, r.Remote}, func(t *testing.T) {
				checkPeak(t, "peak", r)
			}
		})
}

// Guards against a policy that serves only the simplest peak well. The capacity of a slowed or cold
// server counts as it is at the time.
func TestMeasureHarderPeaks(t *testing.T) {
	t.Parallel()
	policies := withBaselines(1, 2)
	for name, d := range deployments() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tab := &Table{Title: fmt.Sprintf("%s, seed %d: SEED=%d go test ./bench -run TestMeasureHarderPeaks -v", name, seed(), seed())}
			tab.Add("demand", "policies", "goodput", "waste", "all good/sent", "small good/sent", "other good/sent", "extra", "not run", "remote")
			for _, demand := range slices.Sorted(maps.Keys(peakVariants)) {
				for i, p := range policies {
					m := peakModel(d, p, seed())
					peakVariants[demand](m)
					r := run(t, m)
					goodOfSent := func(m ident.MemberID) string { return fmt.Sprintf("%d/%d", r.Members[m].Good, r.Members[m].Calls) }
					tab.Add(demand, p.Name, percent(r.Goodput()), percent(r.Waste()), fmt.Sprintf("%d/%d", r.Calls-r.Failed(), r.Calls), goodOfSent("small"), goodOfSent("other"), percent(extraShare(r)), r.NotRun, r.Remote)
					if i == 0 {
						checkPeak(t, demand, r)
					}
				}
			}
			t.Log(tab.String())
		})
	}
}

func checkPeak(t *testing.T, name string, r *emul.Result) {
	t.Helper()
	if g := r.Goodput(); g < minGoodput {
		t.Errorf("%s: goodput %s, target %s", name, percent(g), percent(minGoodput))
	}
	for _, m := range []ident.MemberID{"small", "other"} {
		refused := 0
		for reason, n := range r.Members[m].Refused {
			if reason != refuse.AnswerLost { // ran on a slowed server until the deadline
				refused += n
			}
		}
		if refused > 0 {
			t.Errorf("%s: member %s within its cap was refused %d of %d calls: %v", name, m, refused, r.Members[m].Calls, r.Members[m].Refused)
		}
	}
	if x := extraShare(r); x >= maxExtraShare {
		t.Errorf("%s: extra calls %s, target below %s", name, percent(x), percent(maxExtraShare))
	}
}

// Guards against short work that waits behind long work.
func TestMeasureShortWorkBesideLongWork(t *testing.T) {
	measurePolicies(t, []any{"p99 without", "p99 with", "ratio", "failed", "extra", "remote"},
		func(t *testing.T, d emul.Deployment, p emul.Policies) ([]any, func(t *testing.T)) {
			without, with := run(t, longWorkModel(d, p, seed(), false)), run(t, longWorkModel(d, p, seed(), true))
			a, b := without.Quantile(agree.Short, 0.99), with.Quantile(agree.Short, 0.99)
			return compareP99(a, b, with, maxLongWorkRatio)
		})
}

// Guards against a slowed server that sets the tail latency, and against hedges and retries
// that add more load than the target allows.
func TestMeasureTailWithOneServerSlowed(t *testing.T) {
	measurePolicies(t, []any{"p99 without", "p99 with", "ratio", "failed", "extra", "remote"},
		func(t *testing.T, d emul.Deployment, p emul.Policies) ([]any, func(t *testing.T)) {
			without, with := run(t, slowServerModel(d, p, seed(), false)), run(t, slowServerModel(d, p, seed(), true))
			a, b := without.Quantile(agree.Short, 0.99), with.Quantile(agree.Short, 0.99)
			return compareP99(a, b, with, maxSlowServerRatio)
		})
}

// Guards against a reserve for short work that suffices only for few long jobs that are declared
// long. The short calls are those of the members small and other; long jobs fail only by their
// deadlines.
func TestMeasureHarderLongWork(t *testing.T) {
	t.Parallel()
	policies := withBaselines(1, 4)
	for name, d := range deployments() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tab := &Table{Title: fmt.Sprintf("%s, seed %d: SEED=%d go test ./bench -run TestMeasureHarderLongWork -v", name, seed(), seed())}
			tab.Add("long work", "policies", "p99 without", "p99 with", "ratio", "failed", "extra", "remote", "long good/sent")
			for _, variant := range slices.Sorted(maps.Keys(longWorkVariants)) {
				for i, p := range policies {
					without, m := run(t, longWorkModel(d, p, seed(), false)), longWorkModel(d, p, seed(), true)
					longWorkVariants[variant](&m.Streams[2])
					with := run(t, m)
					large := with.Members["large"]
					a, b := without.MemberQuantile("small", 0.99), with.MemberQuantile("small", 0.99)
					cells, check := compareP99(a, b, with, maxLongWorkRatio)
					tab.Add(append(append([]any{variant, p.Name}, cells...), fmt.Sprintf("%d/%d", large.Good, large.Calls))...)
					if i == 0 {
						t.Run(variant, check)
					}
				}
			}
			t.Log(tab.String())
		})
	}
}

// Guards against a tail latency that is low only while the slowdown is steady and calls are many.
func TestMeasureHarderTails(t *testing.T) { measureTails(t, tailVariants) }

// Guards against a tail latency that is low only while the other server of the region can take the
// load.
func TestMeasureTailAtHighLoad(t *testing.T) {
	measureTails(t, map[string]func(*emul.Model, bool){"load of 60%": setHighLoad})
}

func measureTails(t *testing.T, variants map[string]func(*emul.Model, bool)) {
	t.Parallel()
	policies := withBaselines(1, 2)
	for name, d := range deployments() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tab := &Table{Title: fmt.Sprintf("%s, seed %d: SEED=%d go test ./bench -run %s -v", name, seed(), seed(), strings.Split(t.Name(), "/")[0])}
			tab.Add("slowdown", "policies", "p99 without", "p99 with", "ratio", "failed", "extra", "remote")
			for _, tail := range slices.Sorted(maps.Keys(variants)) {
				for i, p := range policies {
					var q [2]time.Duration
					var r *emul.Result
					for j, slow := range []bool{false, true} {
						m := slowServerModel(d, p, seed(), slow)
						variants[tail](m, slow)
						r = run(t, m)
						q[j] = r.Quantile(agree.Short, 0.99)
					}
					cells, check := compareP99(q[0], q[1], r, maxSlowServerRatio)
					tab.Add(append([]any{tail, p.Name}, cells...)...)
					if i == 0 {
						t.Run(tail, check)
					}
				}
			}
			t.Log(tab.String())
		})
	}
}

// Guards against server selection that works well only with four servers: runs 32 servers and 192
// daemons, with one server in four slowed.
func TestMeasureFutureDeployment(t *testing.T) {
	t.Parallel()
	d := emul.Future()
	tab := &Table{Title: fmt.Sprintf("%s, seed %d: SEED=%d go test ./bench -run TestMeasureFutureDeployment -v", d.Name, seed(), seed())}
	tab.Add("policies", "p99 without", "p99 with", "ratio", "failed", "extra", "remote", "p99 with long work", "goodput at the peak")
	for i, p := range withBaselines(1) {
		without, with := slowServerModel(d, p, seed(), false), slowServerModel(d, p, seed(), true)
		without.Length, without.To, with.Length, with.To = 8*time.Second, 8*time.Second, 8*time.Second, 8*time.Second
		w := run(t, with)
		cells, check := compareP99(run(t, without).Quantile(agree.Short, 0.99), w.Quantile(agree.Short, 0.99), w, maxSlowServerRatio)
		surge := peakModel(d, p, seed())
		surge.Streams[0].Entries = nil
		jobs := longWorkModel(d, p, seed(), true)
		jobs.Length, jobs.To = 8*time.Second, 8*time.Second
		long, top := run(t, jobs), run(t, surge)
		tab.Add(append(append([]any{p.Name}, cells...), ms(long.Quantile(agree.Short, 0.99)), percent(top.Goodput()))...)
		if i == 0 {
			check(t)
			checkPeak(t, "peak", top)
		}
	}
	t.Log(tab.String())
}

// Guards against slots left idle under a steady load beyond capacity, and against hedges and
// retries that add more load than the target allows at any load. With MARJORAMCROFT_FIGURES set
// to a directory, the figures are saved there.
func TestMeasureTailByLoad(t *testing.T) {
	t.Parallel()
	step := 10
	if !runBaselines {
		step = 30
	}
	tenths := func(x float64) float64 { return math.Round(10*x) / 10 }
	millis := func(d time.Duration) float64 { return tenths(d.Seconds() * 1e3) }
	data := figure.NewData("Load", "P99Ms", "AddedP99Ms", "FailedPercent")
	for _, name := range slices.Sorted(maps.Keys(deployments())) {
		tab := &Table{Title: fmt.Sprintf("%s, seed %d: SEED=%d go test ./bench -run TestMeasureTailByLoad -v", name, seed(), seed())}
		tab.Add("load", "policies", "p99", "added p99", "failed", "goodput", "extra", "remote")
		for i, p := range withBaselines(1) {
			for load := 30; load <= 120; load += step {
				r := run(t, steadyModel(deployments()[name], p, seed(), float64(load)/100))
				q, added := r.Quantile(agree.Short, 0.99), r.AddedQuantile(agree.Short, 0.99)
				failed := float64(r.Failed()) / float64(r.Calls)
				tab.Add(fmt.Sprintf("%d%%", load), p.Name, ms(q), ms(added), percent(failed), percent(r.Goodput()), percent(extraShare(r)), r.Remote)
				data.Add(name+", "+p.Name, float64(load), millis(q), millis(added), tenths(100*failed))
				if i > 0 {
					continue
				}
				if x := extraShare(r); x >= maxExtraShare {
					t.Errorf("%s, load of %d%%: extra calls %s, target below %s", name, load, percent(x), percent(maxExtraShare))
				}
				if g := r.Goodput(); load > 100 && g < minGoodput {
					t.Errorf("%s, load of %d%%: goodput %s, target %s", name, load, percent(g), percent(minGoodput))
				}
			}
		}
		t.Log(tab.String())
	}
	if dir := os.Getenv("MARJORAMCROFT_FIGURES"); dir != "" {
		if err := data.Save(dir, "tail.csv"); err != nil {
			t.Fatal(err)
		}
	}
}

func compareP99(a, b time.Duration, with *emul.Result, target float64) ([]any, func(t *testing.T)) {
	ratio := float64(b) / float64(a)
	return []any{ms(a), ms(b), fmt.Sprintf("%.2f", ratio), with.Failed(), percent(extraShare(with)), with.Remote}, func(t *testing.T) {
		if ratio > target {
			t.Errorf("p99 ratio %.2f, target %.2f", ratio, target)
		}
		for name, m := range with.Members {
			if name != "large" && m.Good < m.Calls {
				t.Errorf("member %s lost %d of %d calls: %v", name, m.Calls-m.Good, m.Calls, m.Refused)
			}
		}
		if x := extraShare(with); x >= maxExtraShare {
			t.Errorf("extra calls %s, target below %s", percent(x), percent(maxExtraShare))
		}
	}
}
