package mesh

import (
	"math"
	"time"

	"github.com/marjoramcroft/marjoramcroft/pace"
	"github.com/marjoramcroft/marjoramcroft/route"
)

// egress is what an answer to another daemon passes: the link of the VM and, to another region, the path to it.
type egress struct {
	link *pace.Link // nil: not paced
	path *pace.Path // nil: the other daemon is in the region
}

// paced reports whether what leaves through x is ordered. False for a nil egress.
func (x *egress) paced() bool { return x != nil && x.link.Active() }

// rate returns the rate of large answers in bytes a second at present.
func (x *egress) rate() float64 {
	if x.path == nil {
		return float64(x.link.NearRate())
	}
	return min(float64(x.link.LargeRate()), x.path.Rate())
}

// ahead returns the bytes that go before a large answer of the rank, and the time until they have left. Answers that wait for a
// path do not delay those within the region, to which they leave the rest of the link.
func (x *egress) ahead(rank int) (int64, time.Duration) {
	n := x.link.Backlog(rank)
	if x.path == nil {
		return n, transferTime(n, float64(x.link.NearRate()))
	}
	far := x.path.Backlog(rank)
	return n + far, max(transferTime(n+far, float64(x.link.LargeRate())), transferTime(far, x.path.Rate()))
}

// queue records that n more bytes of large answers are expected; negative: fewer.
func (x *egress) queue(rank, n int) {
	if x.path != nil {
		x.path.Queue(rank, n)
		return
	}
	x.link.Queue(rank, n)
}

// report adds what a large answer finds to a report.
func (x *egress) report(r *route.Report) {
	if x.paced() {
		_, r.LinkDelay = x.ahead(math.MaxInt)
		r.LinkRate = int64(x.rate())
	}
}

func transferTime(n int64, bytesPerSecond float64) time.Duration {
	return time.Duration(float64(n) / bytesPerSecond * float64(time.Second))
}
