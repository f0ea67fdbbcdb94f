package rate

import (
	"slices"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// members is the current View with what must be remembered of earlier ones.
type members struct {
	clock   fastClock
	view    View
	leaving bool          // this daemon is stopping, so that others do not know it as a voter
	known   [Shards]int   // number of voters in view
	fleet   fleet         // number of daemons
	voters  [Shards]fleet // number of voters, also if all daemons are
	pause   time.Duration // how far the wall clock ran ahead of the monotonic one in the last pause
	pauseAt time.Duration // when that pause was noticed, on the monotonic clock
}

// minPause is the difference between the clocks that counts as a pause of the VM.
const minPause = time.Second

// advance returns the time on the fast clock.
func (m *members) advance(now Time) time.Duration {
	before, mono := m.clock.elapsed, m.clock.last.Mono
	after := m.clock.advance(now)
	if d := after - before - (now.Mono - mono); d >= minPause {
		m.pause, m.pauseAt = d, now.Mono
	}
	return after
}

// setView replaces the view, and reports whether it has other daemons than before.
func (m *members) setView(v View, now Time) bool {
	m.advance(now)
	// A state from before a pause is older than the monotonic clock shows.
	if m.pause > 0 && v.StateAge >= now.Mono-m.pauseAt {
		v.StateAge += m.pause
	}
	changed := !slices.Equal(v.Able, m.view.Able)
	m.leaving = !slices.Contains(v.Able, v.Self)
	m.view = v
	m.fleet.record(len(v.Able), now.Mono)
	if changed {
		for i := range m.known {
			m.known[i] = 0
			for _, a := range v.Able {
				if isVoter(uint8(i), a) {
					m.known[i]++
				}
			}
		}
	}
	for i := range m.voters {
		m.voters[i].record(m.known[i], now.Mono)
	}
	return changed
}

// hear records the numbers of daemons and of voters of a shard that another daemon knows.
func (m *members) hear(shard uint8, daemons, voters int, now time.Duration) {
	m.fleet.record(daemons, now)
	m.voters[shard].record(voters, now)
}

// allVote reports whether all daemons are voters.
func (m *members) allVote() bool { return m.fleet.size() <= allVoters }

// votes reports whether the daemon at a is a voter of a shard.
func (m *members) votes(shard uint8, a ident.Addr) bool { return m.allVote() || isVoter(shard, a) }

// voterCount returns the number of voters of a shard.
func (m *members) voterCount(shard uint8) int {
	if m.allVote() {
		return m.fleet.size()
	}
	return m.voters[shard].size()
}

// ready reports whether a process that started at a time on the monotonic clock may act for others.
func (m *members) ready(started time.Duration, now Time) bool {
	return now.Mono-started >= moveDelay && len(m.view.Able) > 0 && !m.view.stale()
}
