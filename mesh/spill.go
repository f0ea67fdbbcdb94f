package mesh

import (
	"slices"
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/refuse"
	"github.com/marjoramcroft/marjoramcroft/route"
	"github.com/marjoramcroft/marjoramcroft/spill"
	"github.com/marjoramcroft/marjoramcroft/table"
)

// beginSpill decides whether a call may leave the data centre.
func (p *pendingCall) beginSpill(t *table.Table) {
	p.places = map[int]ident.Place{}
	if !p.n.d.Config.Spill.IsAdaptive(competes(t)) {
		return
	}
	id := spill.Class{Service: p.service, Large: p.route.Large}
	p.spill = p.n.spill.Begin(id, p.n.answerSizes.mean(p.route.ID), p.n.d.Now())
	p.n.d.Stats.Gauge("Spill.Share."+sizeNames[id.Large]+"."+string(p.service), int64(1000*p.spill.Share()))
	switch p.spill.Change() {
	case spill.Leaves:
		p.n.d.Log.Emit(event.SpillStarted, "Service", p.service, "Large", id.Large)
	case spill.Returns:
		p.n.d.Log.Emit(event.SpillEnded, "Service", p.service, "Large", id.Large)
	case spill.NoChange:
	}
}

// transferCosts returns the costs of the distances for the next attempt, which is made at one of list; nil: the fixed ones.
func (p *pendingCall) transferCosts(list []route.Candidate) *[3]float64 {
	if p.spill == nil {
		return nil
	}
	return p.spill.Costs(slices.ContainsFunc(list, func(c route.Candidate) bool { return c.Place == p.n.d.Place }))
}

// recordPlace records that an attempt starts at a server.
func (p *pendingCall) recordPlace(number int, at ident.Place) {
	p.places[number] = at
	p.spill.Started(p.n.d.Place.Distance(at))
}

// recordDistance records what an attempt shows about its distance.
func (p *pendingCall) recordDistance(r result) {
	now := p.n.d.Now()
	d := p.n.d.Place.Distance(p.places[r.attempt])
	switch {
	case r.err == nil && r.reply.Outcome == answered:
		p.n.d.Stats.Inc("Entry.Answered." + distanceNames[d] + "." + string(p.service))
		if r.reply.Status < 500 {
			p.recordDistanceAnswer(r.reply, d, now)
		}
	case r.err == nil && r.isBusy() && r.noWait():
		p.spill.NoSlot()
	case r.err == nil && (r.isBusy() || r.reply.Outcome == shed), !now.Before(p.deadline):
		p.spill.Refused(d)
	}
}

// isBusy reports whether the server rejected the attempt for lack of slots or memory. The attempt has a reply.
func (r *result) isBusy() bool {
	return r.reply.Outcome == rejected && r.reply.Wait > 0 && r.reply.Reason != refuse.Poisoned
}

func (p *pendingCall) recordDistanceAnswer(a *reply, d int, now time.Time) {
	o := spill.Observation{
		Took: now.Sub(p.c.Arrived), Goal: p.route.Goal,
		Bytes: len(a.Body), Slots: a.Report.Slots, Free: a.Report.Slots - a.Report.Running - a.Report.Waiting,
	}
	if now.After(p.goal) {
		o.Outcome = spill.Late
	}
	p.spill.Answered(d, o, now)
	p.n.answerSizes.add(p.route.ID, len(a.Body))
}

// Parts of the names of metrics.
var (
	distanceNames = [3]string{"SameDataCentre", "SameRegion", "OtherRegion"}
	sizeNames     = map[bool]string{false: "Small", true: "Large"}
)

// competes reports whether the configuration has requests that compete for capacity: those of accounts beside large
// answers. On a deployment without accounts whose traffic between data centres is dear, adaptive costs had 1 in 100 more
// calls answered in time and cost more than that was worth.
func competes(t *table.Table) bool { return t.HasAccounts() && t.HasLargeAnswers() }

// recordSpillMode records whether the costs of distances are adaptive with the configuration in force.
func (n *Node) recordSpillMode(t *table.Table) {
	adaptive := n.d.Config.Spill.IsAdaptive(competes(t))
	if n.spillAdaptive.Swap(adaptive) != adaptive {
		n.d.Log.Emit(event.SpillPolicyChanged, "Adaptive", adaptive, "Version", t.Version())
	}
}

// answerSizes tracks the mean size of the answers of each route.
type answerSizes struct {
	mu    sync.Mutex
	bytes map[ident.RouteID]float64
}

// answerSizeWeight is the weight of an answer in the mean: about the last 30 answers count.
const answerSizeWeight = 0.03

// mean returns the mean size in bytes; zero: not known.
func (s *answerSizes) mean(id ident.RouteID) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes[id]
}

func (s *answerSizes) add(id ident.RouteID, size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.bytes == nil || len(s.bytes) > maxLatencyRoutes {
		s.bytes = map[ident.RouteID]float64{}
	}
	old, ok := s.bytes[id]
	if !ok {
		old = float64(size)
	}
	s.bytes[id] = old + answerSizeWeight*(float64(size)-old)
}
