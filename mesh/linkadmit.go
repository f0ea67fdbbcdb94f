package mesh

import (
	"fmt"
	"time"

	"github.com/marjoramcroft/marjoramcroft/admit"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/refuse"
)

// linkForecast is when the large answer to a request would leave over the VM's link.
type linkForecast struct {
	added time.Duration // from the end of the work until its last byte has left
	done  time.Duration // from now until then
}

// forecastLink returns the forecast for an answer that is ready after work and takes own, behind others that take ahead.
func forecastLink(ahead, work, own time.Duration) linkForecast {
	return linkForecast{added: max(0, ahead-work) + own, done: max(ahead, work) + own}
}

// noWaitShare is the share of the time to the goal within which the answer to a no-wait attempt has to leave. Such an
// attempt looks for a server with a free link; one that is refused everywhere is made again where the queue is shortest.
const noWaitShare = 0.5

// excess returns by how much the answer would be late for a request; zero or less: it is in time. What the link adds counts
// as the wait for a slot does.
func (f *linkForecast) excess(r *request) time.Duration {
	late := f.done - r.TimeLeft
	if r.MaxWait == 0 {
		return max(late, f.done-time.Duration(noWaitShare*float64(max(0, r.Goal))))
	}
	return max(late, f.added-r.MaxWait)
}

// reserveEgress reserves the link and the path of x for the answer to a request, until release is called. It returns an
// *admit.Busy if the answer would be late because of the answers that wait there or are expected to.
func (n *Node) reserveEgress(r *request, x *egress) (release func(), err error) {
	if !x.paced() {
		return func() {}, nil
	}
	e := n.answers.expect(r.Route, n.d.Now())
	if e.bytes == 0 {
		return func() {}, nil
	}
	now := n.d.Now()
	ahead, wait := x.ahead(r.Priority)
	own := transferTime(e.bytes+e.spread, x.rate())
	f := forecastLink(wait, e.took, own)
	late := f.excess(r)
	if late > 0 && r.MaxWait > 0 && e.took+own <= r.Goal {
		n.linkOverload.add(r.Priority, now)
	}
	if f.done > r.Goal && n.linkOverload.has(r.Priority, now) {
		late = max(late, f.done-max(0, r.Goal))
	}
	if late > 0 && ahead > 0 {
		n.d.Stats.Inc("Target.LinkFull")
		return nil, &admit.Busy{
			Refusal: refuse.NotRun(refuse.QueueFull, fmt.Sprintf("%d KB wait for the link, the answer would leave after %s", ahead>>10, f.done.Round(time.Millisecond))),
			Wait:    late,
		}
	}
	x.queue(r.Priority, int(e.bytes))
	return func() { x.queue(r.Priority, -int(e.bytes)) }, nil
}

// recordSize records the size of an answer, which is used where pacing is active.
func (n *Node) recordSize(id ident.RouteID, bytes int, took time.Duration) {
	if n.pacer.Active() {
		n.answers.add(id, bytes, took, n.d.Now())
	}
}

// expectedBytes returns the expected size of an answer of the route; zero: small, or nothing is paced.
func (n *Node) expectedBytes(id ident.RouteID) int64 {
	if !n.pacer.Active() {
		return 0
	}
	return n.answers.expect(id, n.d.Now()).bytes
}
