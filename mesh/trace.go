package mesh

import (
	"fmt"
	"strings"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// trace is what happened to the attempts of a call, for the log.
type trace []step

type step struct {
	server ident.Addr
	name   string
	reason string
	took   time.Duration
}

// String returns the steps as ADDR:OUTCOME(REASON)@TIME, separated by commas.
func (t trace) String() string {
	var b strings.Builder
	for i, s := range t {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "%s:%s", s.server, s.name)
		if s.reason != "" {
			fmt.Fprintf(&b, "(%s)", s.reason)
		}
		fmt.Fprintf(&b, "@%dms", s.took.Milliseconds())
	}
	return b.String()
}
