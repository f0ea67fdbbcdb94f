package proxy

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/refuse"
	_ "github.com/marjoramcroft/marjoramcroft/seed" // the same cases in each run
)

// schedule is a random load with random faults.
type schedule struct {
	Daemons int
	Hedge   time.Duration
	Load    emul.LoadConfig
	Faults  []emul.Fault
}

// faultDaemon kills the daemon On; faultRefuse makes all daemons refuse with CapReached for
// the time For.
const (
	faultDaemon emul.FaultKind = "Daemon"
	faultRefuse emul.FaultKind = "Refuse"
)

func drawMS(t *rapid.T, label string, lo, hi int) time.Duration {
	return time.Duration(rapid.IntRange(lo, hi).Draw(t, label)) * time.Millisecond
}

func drawKind(t *rapid.T) emul.LoadKind {
	pick := func(label string, of ...string) string { return rapid.SampledFrom(of).Draw(t, label) }
	path := pick("path", "/", "/once", "/safe", "/long")
	k := emul.LoadKind{
		Member: "office", Weight: 1, Method: pick("method", http.MethodGet, http.MethodPost, http.MethodPut),
		Keyed: rapid.Bool().Draw(t, "keyed"),
	}
	if k.Method != http.MethodGet {
		k.Body = rapid.SampledFrom([]int{0, 10, 3000, 2 * MaxReplay}).Draw(t, "body")
	}
	k.Once = path == "/once" || path != "/safe" && k.Method == http.MethodPost
	k.Path = fmt.Sprintf("%s?time=%s%s%s", path, drawMS(t, "time", 0, 300),
		pick("crash", "", "", "", "&crash=before", "&crash=after", "&crash=mid"),
		pick("size", "", "&size=3000", "&size=50000", "&size=50000&chunked=1"))
	return k
}

func drawSchedule(t *rapid.T) schedule {
	s := schedule{Daemons: rapid.IntRange(1, 3).Draw(t, "daemons"), Hedge: drawMS(t, "hedge", 0, 100)}
	s.Load = emul.LoadConfig{
		Entries: []ident.Addr{"entry", "d0"},
		Mix:     rapid.SliceOfN(rapid.Custom(drawKind), 1, 6).Draw(t, "mix"),
		Rate:    rapid.Float64Range(1, 20).Draw(t, "rate"), For: 1500 * time.Millisecond, MaxInFlight: 1000,
		Seed:   rapid.Uint64().Draw(t, "seed"),
		Repeat: 0.5, RepeatAfter: 600 * time.Millisecond, Leave: 0.2, LeaveAfter: 200 * time.Millisecond,
	}
	kinds := []emul.FaultKind{
		emul.FaultCrash, emul.FaultSlow, emul.FaultDrain, emul.FaultCut, emul.FaultDelay, faultDaemon, faultRefuse,
	}
	s.Faults = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) emul.Fault {
		return emul.Fault{
			At: drawMS(t, "at", 0, 1500), Kind: rapid.SampledFrom(kinds).Draw(t, "kind"),
			On: rapid.IntRange(0, s.Daemons-1).Draw(t, "on"), For: drawMS(t, "for", 1, 800),
		}
	}), 0, 5).Draw(t, "faults")
	return s
}

// TestScheduleReportsRanCorrectly guards against refusals that wrongly claim "not run", a
// second run of a call that must run once, and an answer to another call. It applies random
// crashes, lost and late answers, drains, killed daemons, callers that disconnect and repeats
// of keys.
func TestScheduleReportsRanCorrectly(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawSchedule(rt)
		var problems []string
		synctest.Test(t, func(t *testing.T) { problems = s.run(t) })
		if len(problems) > 0 {
			rt.Fatalf("%s", strings.Join(problems, "\n"))
		}
	})
}

// run returns descriptions of the violations found.
func (s schedule) run(t *testing.T) []string {
	g := newRig(t, s.Daemons, func(c *emul.BackendConfig) { c.AnnounceInterval = time.Hour })
	defer g.close()
	g.hedge = s.Hedge
	s.Load.Dial = g.net.Dial
	l := emul.NewLoad(s.Load)
	for _, f := range s.Faults {
		go g.fault(f)
	}
	go emul.Faults(t.Context(), s.Faults, g.net, g.backends)
	if _, err := l.Run(t.Context()); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * time.Minute) // all deadlines pass
	var out []string
	for _, v := range l.Check(emul.TotalRuns(g.backends...)) {
		out = append(out, v.String())
	}
	if n := g.unitsInUse(); n != 0 {
		out = append(out, fmt.Sprintf("%d units are not returned", n))
	}
	if picks, outcomes, _ := g.counts(); picks != outcomes {
		out = append(out, fmt.Sprintf("%d picks, %d outcomes", picks, outcomes))
	}
	return out
}

// fault applies the faults that concern daemons.
func (g *rig) fault(f emul.Fault) {
	time.Sleep(f.At)
	switch f.Kind {
	case faultDaemon:
		_ = g.servers[f.On+1].Close()
	case faultRefuse:
		g.refuseAt("Acquire", refuse.NotRun(refuse.CapReached, ""))
		time.Sleep(f.For)
		g.refuseAt("Acquire", nil)
	}
}
