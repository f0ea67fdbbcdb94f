package route

import (
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// linkHalfLife is the age at which a reported delay of a link counts half. The queue that it describes is sent within some
// hundred milliseconds, while others add to it.
const linkHalfLife = 250 * time.Millisecond

// linkTime returns the time that a large answer of the server at addr waits for the link of its VM and takes on it.
func (s *serverState) linkTime(addr ident.Addr, n *Requirements, now time.Time) time.Duration {
	if n.Bytes == 0 || addr == n.Self || !s.known {
		return 0
	}
	wait := time.Duration(float64(s.report.LinkDelay) / (1 + float64(now.Sub(s.reported))/float64(linkHalfLife)))
	if s.report.LinkRate <= 0 {
		return wait
	}
	return wait + time.Duration(float64(n.Bytes)/float64(s.report.LinkRate)*float64(time.Second))
}
