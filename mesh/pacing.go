package mesh

import (
	"context"
	"time"

	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/link"
	"github.com/marjoramcroft/marjoramcroft/pace"
	"github.com/marjoramcroft/marjoramcroft/table"
)

// Pacing says when what a daemon sends to others is ordered and held below the rate of the VM's link.
type Pacing string

// The values of Pacing.
const (
	PacingAuto Pacing = "auto" // if the configuration has a route with large answers
	PacingOn   Pacing = "on"
	PacingOff  Pacing = "off"
)

// payloadShare is the share of a link's rate that frames may use. Of 1,538 bytes that a full packet takes on Ethernet, 1,448
// are payload of TCP (0.94), of its 1,500 bytes of IP 0.965; answers to the callers on the VM, acknowledgements of what is
// received and the calls to the store take some more of the same link. With 0.95, the queue formed in the kernel of VMs with
// links of 12 Mbit/s, where small frames waited for 90 to 210 ms.
const payloadShare = 0.9

// newPacer returns the order of what the daemon sends; nil if the rate of the VM's link is not known or pacing is off.
func (n *Node) newPacer() *pace.Link {
	if n.d.Config.LinkRate <= 0 || n.d.Config.Pacing == PacingOff {
		return nil
	}
	p := pace.New(payloadShare*n.d.Config.LinkRate, nil)
	var sizes, waits [pace.Classes]string
	for c := range pace.Class(pace.Classes) {
		sizes[c], waits[c] = "Pace."+c.String()+".Bytes", "Pace."+c.String()+".Wait"
	}
	p.Sent = func(c pace.Class, bytes int, waited time.Duration) {
		n.d.Stats.Add(sizes[c], int64(bytes))
		n.d.Stats.Time(waits[c], waited)
	}
	p.Dropped = func(bytes int) {
		n.d.Stats.Inc("Pace.Dropped")
		n.d.Stats.Add("Pace.DroppedBytes", int64(bytes))
	}
	return p
}

// updatePacing applies a configuration to the order of what is sent.
func (n *Node) updatePacing(t *table.Table) {
	if n.pacer == nil {
		return
	}
	on := n.d.Config.Pacing == PacingOn || t.HasLargeAnswers()
	if on != n.pacer.Active() {
		n.pacer.SetActive(on)
		n.d.Log.Emit(event.PacingChanged, "Active", on, "BytesPerSecond", int64(payloadShare*n.d.Config.LinkRate))
	}
}

// maxPaths limits the regions to which the bytes in flight are limited. A fleet has some four.
const maxPaths = 64

// limitPath limits the bytes of large answers in flight over a link to a daemon of another region, together with the other
// links to it: the rate of the path is not known.
func (n *Node) limitPath(c *link.Conn, r ident.Region) {
	if n.pacer == nil || r == n.d.Place.Region {
		return
	}
	n.mu.Lock()
	p := n.paths[r]
	if p == nil && len(n.paths) < maxPaths {
		p = pace.NewPath()
		n.paths[r] = p
	}
	n.mu.Unlock()
	if p != nil {
		c.SetPath(p)
	}
}

// handleRanked handles a request from another daemon, and returns how urgent the reply is.
func (n *Node) handleRanked(ctx context.Context, c *link.Conn, body []byte) ([]byte, link.Urgency) {
	began := time.Now()
	r, b := n.handleRequest(ctx, c.Path(), body)
	u := link.Urgency{Rank: r.Priority}
	if r.TimeLeft > 0 { // the request could be decoded
		u.Goal, u.Deadline = began.Add(r.Goal), began.Add(r.TimeLeft+answerMargin)
	}
	return b, u
}
