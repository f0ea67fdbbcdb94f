package mesh

import (
	"fmt"
	"strings"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// trace lists the attempts of a call, for the log.
type trace []attempt

type attempt struct {
	server  ident.Addr
	outcome string
	reason  string
	took    time.Duration
}

// String returns the attempts as ADDR:OUTCOME(REASON)@TIME, separated by commas.
func (t trace) String() string {
	var b strings.Builder
	for i, s := range t {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "%s:%s", s.server, s.outcome)
		if s.reason != "" {
			fmt.Fprintf(&b, "(%s)", s.reason)
		}
		fmt.Fprintf(&b, "@%dms", s.took.Milliseconds())
	}
	return b.String()
}
