package fanout_test

import (
	"fmt"
	"math"
	"os"
	"runtime"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/figure"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/race"
)

func measure(t *testing.T, r emul.Run) emul.RunResult {
	t.Helper()
	var (
		out emul.RunResult
		err error
	)
	if r.Places == nil {
		r.Places = twoRegions
	}
	if r.Changes == 0 {
		r.Changes = 6
	}
	if r.Services == 0 {
		r.Services, r.Uses = 6, 3
	}
	synctest.Test(t, func(*testing.T) { out, err = emul.Measure(r) })
	if err != nil {
		t.Fatal(err)
	}
	t.Log(r.Row(out))
	for _, u := range out.Busiest {
		s := out.Duration.Seconds()
		t.Logf("busiest: %6.0f B/s, %6.2f/s %s", float64(u.Bytes)/s, float64(u.Messages)/s, u)
	}
	return out
}

// Guards the targets of section 1.2 of the design: all daemons converge within 4 s, at most 3
// KB/s per daemon, and store calls proportional to the number of data centres. The baseline is
// printed for comparison. If MARJORAMCROFT_FIGURES names a directory, the figures are saved
// there.
func TestMeasureConvergence(t *testing.T) {
	if testing.Short() {
		t.Skip("a measurement")
	}
	data := figure.NewData("Daemons", "SlowestMs", "MeanBytes", "HighestBytes")
	record := func(series string, n int, res emul.RunResult) {
		data.Add(series, float64(n), float64(res.Slowest.Milliseconds()), math.Round(res.Rate), math.Round(res.MaxRate))
	}
	t.Log(emul.TableHeader())
	sizes := []int{30, 100, 300}
	if race.Enabled {
		sizes = []int{30, 60}
	}
	for _, sc := range []emul.Scenario{emul.Quiet, emul.Churn, emul.Restart} {
		var slowest, rate, calls []float64
		for _, n := range sizes {
			res := measure(t, emul.Run{Daemons: n, Rows: 1000, Scenario: sc})
			record(string(sc), n, res)
			slowest = append(slowest, float64(res.Slowest.Milliseconds()))
			rate = append(rate, res.Rate)
			calls = append(calls, float64(res.Calls.Reads+res.Calls.Writes)/res.Duration.Seconds())
			if res.Failed || res.Slowest > convergenceTarget || res.Restored > convergenceTarget {
				t.Errorf("%d daemons, %s: %s, restarted ones %s", n, sc, res.Slowest, res.Restored)
			}
			if res.Rate > 3000 {
				t.Errorf("%d daemons, %s: %.0f B/s per daemon", n, sc, res.Rate)
			}
			// 4 data centres have 3 forwarders each, which read a root's key every 15 s. The two
			// roots renew their lease and read their key every 2 s.
			if reads := float64(res.Calls.Reads) / res.Duration.Seconds(); sc != emul.Restart && reads > 4 {
				t.Errorf("%d daemons, %s: %.1f reads/s", n, sc, reads)
			}
		}
		t.Logf("%s, slopes per 100 daemons: slowest %.1f ms, rate per daemon %.0f B/s, store calls %.2f/s",
			sc, 100*slope(sizes, slowest), 100*slope(sizes, rate), 100*slope(sizes, calls))
	}
	for _, sc := range []emul.Scenario{emul.Quiet, emul.Restart} {
		for _, n := range sizes {
			record(string(sc)+", baseline", n, measure(t, emul.Run{Daemons: n, Rows: 1000, Scenario: sc, Baseline: true}))
		}
	}
	if dir := os.Getenv("MARJORAMCROFT_FIGURES"); dir != "" {
		if err := data.Save(dir, "convergence.csv"); err != nil {
			t.Fatal(err)
		}
	}
}

// slope returns the slope of the least-squares line through the points.
func slope(xs []int, ys []float64) float64 {
	n, sx, sy, sxx, sxy := float64(len(xs)), 0.0, 0.0, 0.0, 0.0
	for i, x := range xs {
		x := float64(x)
		sx, sy, sxx, sxy = sx+x, sy+ys[i], sxx+x*x, sxy+x*ys[i]
	}
	return (n*sxy - sx*sy) / (n*sxx - sx*sx)
}

// tenDataCentres returns the data centres of the size planned for two years ahead.
func tenDataCentres() []ident.Place {
	var out []ident.Place
	for i := range 10 {
		out = append(out, ident.Place{
			Region: ident.Region(fmt.Sprintf("region-%d", i%4)), DataCentre: ident.DataCentre(fmt.Sprintf("dc-%d", i)),
		})
	}
	return out
}

// Prints the CPU time and memory per daemon, which include the emulated network. The fleet has a
// tenth of the planned size, or MARJORAMCROFT_DAEMONS daemons, and runs under churn or the
// scenario in MARJORAMCROFT_SCENARIO. If MARJORAMCROFT_BREAKDOWN is set, it prints the traffic
// of the busiest daemon by kind.
func TestMeasureCost(t *testing.T) {
	if testing.Short() {
		t.Skip("a measurement")
	}
	n, err := strconv.Atoi(os.Getenv("MARJORAMCROFT_DAEMONS"))
	if err != nil {
		n = 190
	}
	if race.Enabled {
		n = 100
	}
	scenario := emul.Churn
	if s := os.Getenv("MARJORAMCROFT_SCENARIO"); s != "" {
		scenario = emul.Scenario(s)
	}
	var before time.Duration // CPU time
	var heap runtime.MemStats
	r := emul.Run{
		Daemons: n, Places: tenDataCentres(), Rows: 1000, Scenario: scenario, Services: 60, Uses: 5, Changes: 3,
		Account: os.Getenv("MARJORAMCROFT_BREAKDOWN") != "",
		Settled: func(*emul.Fleet) {
			runtime.GC()
			runtime.ReadMemStats(&heap)
			before = emul.CPUTime()
		},
	}
	t.Log(emul.TableHeader())
	res := measure(t, r)
	used := emul.CPUTime() - before
	share := used.Seconds() / res.Duration.Seconds() / float64(n)
	memory := float64(heap.HeapInuse+heap.StackInuse) / float64(n) / (1 << 20)
	t.Logf("%d daemons: %.2f%% of a core and %.2f MB each", n, 100*share, memory)
	if res.Failed || res.Slowest > convergenceTarget || res.Rate > 3000 || memory > 32 {
		t.Errorf("slowest %s, %.0f B/s, %.1f MB", res.Slowest, res.Rate, memory)
	}
}

// Guards against traffic between regions that grows with the size of the agreement instead of
// the size of the change.
func TestMeasureLink(t *testing.T) {
	if testing.Short() {
		t.Skip("a measurement")
	}
	t.Log(emul.TableHeader())
	var first float64
	sizes := []int{1000, 5000, 20000}
	if race.Enabled {
		sizes = []int{200, 1000}
	}
	for _, rows := range sizes {
		res := measure(t, emul.Run{Daemons: 12, Rows: rows, Scenario: emul.Quiet, Changes: 3})
		if first == 0 {
			first = res.PerLink
		}
		if res.PerLink > first+100 {
			t.Errorf("%.0f bytes for one cap in %d rows, %.0f in %d", res.PerLink, rows, first, sizes[0])
		}
		measure(t, emul.Run{Daemons: 12, Rows: rows, Scenario: emul.Quiet, Changes: 3, Baseline: true})
	}
}
