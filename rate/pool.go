package rate

import (
	"math"
	"slices"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// pool is the state of an account at a holder.
type pool struct {
	id      ident.AccountID
	limit   Limit
	lots    []*lot // in order of arrival
	waiting int    // calls without a token
	asked   int    // tokens for waiting calls in messages without a reply
	spare   int    // tokens for expected calls in messages without a reply
	late    int    // returned tokens that had been reported as spent
	debt    int    // executions without a token
	// deniedUntil is until when the keeper is believed to have no tokens, on the monotonic clock.
	deniedUntil time.Duration
	// deniedAt is when the keeper last had no tokens; zero: it always had some.
	deniedAt  time.Duration
	demand    demand
	allowance []time.Duration // when tokens of the allowance were spent, on the monotonic clock
	lastUsed  time.Duration
}

// take spends a token.
func (p *pool) take(now Time, fast time.Duration) (Ticket, bool) {
	for _, l := range p.lots {
		if l.left > 0 && fast < l.ends {
			l.left--
			l.spent++
			l.spentAt = now.Mono
			return Ticket{seq: l.seq, used: now.Mono}, true
		}
	}
	return Ticket{}, false
}

// giveBack returns the token of t.
func (p *pool) giveBack(t Ticket, fast time.Duration) {
	for _, l := range p.lots {
		if l.seq == t.seq && l.spent > 0 {
			l.spent--
			if fast < l.ends {
				l.left++
			} else {
				l.back++
			}
			return
		}
	}
	p.late++
}

// add stores the tokens of l, less those that pay for executions without a token.
func (p *pool) add(l *lot, now time.Duration) {
	paid := min(p.debt, l.left)
	p.debt -= paid
	l.left -= paid
	l.spent += paid
	l.spentAt = now
	p.lots = append(p.lots, l)
}

// left returns the tokens that can be spent.
func (p *pool) left(fast time.Duration) int {
	n := 0
	for _, l := range p.lots {
		if fast < l.ends {
			n += l.left
		}
	}
	return n
}

// target returns the tokens to be kept for expected calls.
func (p *pool) target(now time.Duration) int {
	return int(math.Ceil(p.demand.rate(now) * prefetchTime.Seconds()))
}

// low reports whether tokens are to be requested before a call waits for one.
func (p *pool) low(now, fast time.Duration) bool {
	return p.demand.rate(now) >= minPrefetchRate && now >= p.deniedUntil && p.left(fast)+p.spare <= p.target(now)/2
}

// wants returns the tokens to ask for. Tokens for expected calls are requested when half of them are left, so that they
// arrive before the last is spent.
func (p *pool) wants(now Time, fast time.Duration) (need, spare int) {
	need = max(0, p.waiting-p.asked)
	if need > 0 || p.low(now.Mono, fast) {
		spare = max(0, p.target(now.Mono)-p.left(fast)-p.spare)
	}
	return need, spare
}

// expire moves tokens that must not be spent any more to those that are handed back, and drops lots that the keeper has
// forgotten or that is not the current one.
func (p *pool) expire(fast time.Duration, keeper ident.Addr, epoch uint32) {
	p.lots = slices.DeleteFunc(p.lots, func(l *lot) bool {
		if fast >= l.ends {
			l.back += l.left
			l.left = 0
		}
		return l.empty() || fast >= l.ends+grantLife || (fast >= l.ends && (l.keeper != keeper || l.epoch != epoch))
	})
}

// reportsAtOnce reports whether spent tokens are to be reported at once, as the burst is small and they would keep the
// account below its rate.
func (p *pool) reportsAtOnce(settle, now time.Duration) bool {
	return settle < maxSettleTime && slices.ContainsFunc(p.lots, func(l *lot) bool { return l.spent > 0 && now-l.spentAt >= settle })
}

// useAllowance spends a token of the holder's allowance of n in each window.
func (p *pool) useAllowance(n int, window, now time.Duration) bool {
	p.allowance = slices.DeleteFunc(p.allowance, func(at time.Duration) bool { return now-at > window })
	if len(p.allowance) >= n {
		return false
	}
	p.allowance = append(p.allowance, now)
	return true
}

// idle reports whether the pool can be forgotten. Tokens of the allowance are remembered for a window.
func (p *pool) idle(window, now time.Duration) bool {
	return p.waiting == 0 && len(p.lots) == 0 && now-p.lastUsed > max(poolIdle, window)
}
