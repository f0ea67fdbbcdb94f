package bench

import (
	"time"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

const (
	shortMean = 20 * time.Millisecond
	longMean  = 600 * time.Millisecond // 30 times shortMean
)

// capacity returns the short calls per second that all slots of d can serve.
func capacity(d emul.Deployment) float64 {
	return float64(int(d.Slots)*len(d.Places)) / shortMean.Seconds()
}

// shortStream returns a stream of short, idempotent calls.
func shortStream(member ident.MemberID, rate func(time.Duration) float64) emul.Stream {
	return emul.Stream{
		Member: member, Route: ident.RouteID(member), Class: agree.Short, Rate: rate,
		Mean: shortMean, Sigma: 0.5, Timeout: time.Second,
	}
}

// peakModel returns a surge of one member to 1.5 times the capacity, with most of the demand at
// the daemons of one region, while two members stay within 5% of the capacity each.
func peakModel(d emul.Deployment, p emul.Policies, seed uint64) *emul.Model {
	c := capacity(d)
	large := shortStream("large", emul.TenfoldSurge(0.15*c, 2*time.Second, 4*time.Second))
	large.Entries = []float64{0.4, 0.3, 0.2, 0.1}
	large.Cap = 4 * int(d.Slots) * len(d.Places)
	return &emul.Model{
		Deployment: d, Policies: p, Seed: seed,
		Length: 7 * time.Second, From: 3 * time.Second, To: 7 * time.Second,
		Streams: []emul.Stream{large, shortStream("small", emul.ConstantRate(0.05*c)), shortStream("other", emul.ConstantRate(0.05*c))},
	}
}

// peakVariants are harder variants of peakModel.
var peakVariants = map[string]func(m *emul.Model){
	// Demand far beyond the slots, bounded by deadlines only.
	"deadlines": func(m *emul.Model) {
		m.Streams[0].Rate = emul.TenfoldSurge(0.3*capacity(m.Deployment), 2*time.Second, 4*time.Second)
		m.Streams[0].Cap = 0
		m.Streams[0].Timeout = 250 * time.Millisecond
	},
	// The whole surge arrives at one region.
	"one region": func(m *emul.Model) { m.Streams[0].Entries = []float64{0.5, 0.5, 0, 0} },
	// The whole surge arrives at one daemon.
	"one daemon": func(m *emul.Model) { m.Streams[0].Entries = []float64{1, 0, 0, 0} },
	// Two servers in turn are slowed for a second.
	"momentary slowdowns": func(m *emul.Model) {
		m.Prepare = func(s []*emul.ModelServer) {
			s[1].Slowdowns = []emul.Slowdown{{From: 3500 * time.Millisecond, To: 4500 * time.Millisecond, Factor: 10}}
			s[2].Slowdowns = []emul.Slowdown{{From: 5 * time.Second, To: 6 * time.Second, Factor: 10}}
		}
	},
	// Long jobs beside the surge.
	"long jobs": func(m *emul.Model) {
		jobs := shortStream("jobs", emul.ConstantRate(0.2*capacity(m.Deployment)*shortMean.Seconds()/longMean.Seconds()))
		jobs.Class, jobs.Mean, jobs.Timeout = agree.Long, longMean, 20*time.Second
		m.Streams = append(m.Streams, jobs)
	},
	// Six members surge at the same time, two do not.
	"many members": func(m *emul.Model) {
		c := capacity(m.Deployment)
		m.Streams = m.Streams[1:]
		for _, name := range []ident.MemberID{"a", "b", "c", "d", "e", "f"} {
			s := shortStream(name, emul.TenfoldSurge(0.03*c, 2*time.Second, 4*time.Second))
			s.Timeout, s.Cap = 400*time.Millisecond, int(m.Deployment.Slots)*len(m.Deployment.Places)
			m.Streams = append(m.Streams, s)
		}
	},
	// One server is cold when the surge starts.
	"cold server": func(m *emul.Model) {
		m.Prepare = func(s []*emul.ModelServer) { s[3].Cold = 5 * time.Second }
	},
}

// longWorkModel returns short work at 25% of the capacity, with or without long work that
// would by itself take more than half of the capacity at times.
func longWorkModel(d emul.Deployment, p emul.Policies, seed uint64, long bool) *emul.Model {
	c := capacity(d)
	m := &emul.Model{
		Deployment: d, Policies: p, Seed: seed,
		Length: 12 * time.Second, From: 2 * time.Second, To: 12 * time.Second,
		Streams: []emul.Stream{shortStream("small", emul.ConstantRate(0.15*c)), shortStream("other", emul.ConstantRate(0.1*c))},
	}
	if long {
		jobs := shortStream("large", emul.ConstantRate(0.5*c*shortMean.Seconds()/longMean.Seconds()))
		jobs.Class, jobs.Mean, jobs.Timeout = agree.Long, longMean, 20*time.Second
		m.Streams = append(m.Streams, jobs)
	}
	return m
}

// slowServerModel returns load at 40% of the capacity; with slow, one server in four is ten
// times slower from the third second on.
func slowServerModel(d emul.Deployment, p emul.Policies, seed uint64, slow bool) *emul.Model {
	c := capacity(d)
	m := &emul.Model{
		Deployment: d, Policies: p, Seed: seed,
		Length: 14 * time.Second, From: 2 * time.Second, To: 14 * time.Second,
		Streams: []emul.Stream{shortStream("small", emul.ConstantRate(0.2*c)), shortStream("other", emul.ConstantRate(0.2*c))},
	}
	if slow {
		m.Prepare = func(s []*emul.ModelServer) {
			for i := 0; i < len(s); i += 4 {
				s[i].Slowdowns = []emul.Slowdown{{From: 3 * time.Second, To: time.Hour, Factor: 10}}
			}
		}
	}
	return m
}

// steadyModel returns short work at the given share of the capacity, half from each of two members.
func steadyModel(d emul.Deployment, p emul.Policies, seed uint64, load float64) *emul.Model {
	m := slowServerModel(d, p, seed, false)
	for i := range m.Streams {
		m.Streams[i].Rate = emul.ConstantRate(load / 2 * capacity(d))
	}
	return m
}

// setHighLoad raises the load of slowServerModel to 60% of the capacity. The region with the slowed
// server must then send calls across the paid link.
func setHighLoad(m *emul.Model, _ bool) {
	for i := range m.Streams {
		m.Streams[i].Rate = emul.ConstantRate(0.3 * capacity(m.Deployment))
	}
}

// tailVariants are harder variants of slowServerModel; each is compared with itself without the
// slowdown.
var tailVariants = map[string]func(m *emul.Model, slow bool){
	// Each server in turn is slowed for two seconds, before load reports show it.
	"in turn": func(m *emul.Model, slow bool) {
		if slow {
			m.Prepare = func(s []*emul.ModelServer) {
				for i := range s {
					from := time.Duration(3+3*i) * time.Second
					s[i].Slowdowns = []emul.Slowdown{{From: from, To: from + 2*time.Second, Factor: 10}}
				}
			}
		}
	},
	// Few calls per daemon, as in a deployment with many daemons.
	"few calls": func(m *emul.Model, _ bool) {
		m.Length, m.To = 10*m.Length, 10*m.To
		for i := range m.Streams {
			m.Streams[i].Rate = emul.ConstantRate(0.01 * capacity(m.Deployment))
		}
	},
	// Half of the calls must not be hedged.
	"half not idempotent": func(m *emul.Model, _ bool) { m.Streams[0].Mutates = true },
	// All calls enter at the daemon beside the slowed server.
	"beside the slowed": func(m *emul.Model, _ bool) {
		for i := range m.Streams {
			m.Streams[i].Rate = emul.ConstantRate(0.1 * capacity(m.Deployment))
			m.Streams[i].Entries = []float64{1, 0, 0, 0}
		}
	},
}

// longWorkVariants are harder variants of longWorkModel; each changes the stream of long work, which is
// the last.
var longWorkVariants = map[string]func(long *emul.Stream){
	// The routes of the long jobs are declared short.
	"declared short": func(s *emul.Stream) { s.Class = agree.Short },
	// Fewer jobs that take 150 times as long as short work.
	"few very long": func(s *emul.Stream) {
		rate := s.Rate
		s.Mean = 5 * longMean
		s.Rate = func(at time.Duration) float64 { return rate(at) / 5 }
	},
	// More long work than fits in the slots that it may occupy.
	"too much": func(s *emul.Stream) {
		rate := s.Rate
		s.Rate = func(at time.Duration) float64 { return 2 * rate(at) }
	},
	// Long jobs arrive in a burst at one daemon.
	"burst": func(s *emul.Stream) {
		rate := s.Rate
		s.Entries = []float64{1, 0, 0, 0}
		s.Rate = func(at time.Duration) float64 {
			if at > 4*time.Second && at < 5*time.Second {
				return 6 * rate(at)
			}
			return rate(at) / 3
		}
	},
}
