package rate

import (
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// lot holds the tokens that a holder got with one Ask.
type lot struct {
	seq     uint32 // of the Ask
	keeper  ident.Addr
	epoch   uint32        // process of the keeper
	ends    time.Duration // on the fast clock
	left    int
	spent   int           // not yet reported
	back    int           // to be handed back
	spentAt time.Duration // when the last one was spent, on the monotonic clock
}

// report returns what is to be reported of l, and counts it as reported; false: nothing is. Tokens that were spent
// within the time settle are left out.
func (l *lot) report(now, settle time.Duration) (LotReport, bool) {
	r := LotReport{Seq: l.seq, Back: l.back}
	if now-l.spentAt >= settle {
		r.Spent, l.spent = l.spent, 0
	}
	l.back = 0
	return r, r.Spent > 0 || r.Back > 0
}

// empty reports whether nothing is left to spend or to report.
func (l *lot) empty() bool { return l.left == 0 && l.spent == 0 && l.back == 0 }
