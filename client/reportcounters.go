package client

import (
	"cmp"
	"context"
	"maps"
	"net/url"
	"slices"
	"strings"
	"sync"

	"github.com/marjoramcroft/marjoramcroft/admin"
	"github.com/marjoramcroft/marjoramcroft/agree"
)

// refusedPrefix is the prefix of refusal counters, which are named "Refused.REASON.RAN".
const refusedPrefix = "Refused."

// refusalReport counts the refusals with one reason, summed over all daemons.
type refusalReport struct {
	Reason, Ran string
	Count       int64
}

// capReport counts the calls that daemons refused because all units of a cap were in use.
type capReport struct {
	Cap      agree.Key
	Refusals int64
	Daemons  int // daemons that refused a call
}

// daemonCounters holds the counters of one daemon, or the error of reading them.
type daemonCounters struct {
	addr          string
	refused, caps map[string]int64
	err           error
}

// fetchCounters reads the counters of all daemons of the setting Daemons concurrently.
func (c *Client) fetchCounters(ctx context.Context) []daemonCounters {
	out := make([]daemonCounters, len(c.settings.Daemons))
	var wg sync.WaitGroup
	for i, addr := range c.settings.Daemons {
		wg.Go(func() {
			n := daemonCounters{addr: addr}
			n.err = cmp.Or(
				c.getJSON(ctx, addr, "metrics", url.Values{"prefix": {refusedPrefix}}, &n.refused),
				c.getJSON(ctx, addr, "metrics", url.Values{"prefix": {admin.CapReachedPrefix}}, &n.caps),
			)
			out[i] = n
		})
	}
	wg.Wait()
	return out
}

// addCounters adds the sums of the counters of all daemons to s.
func (s *summary) addCounters(all []daemonCounters) {
	refusals, caps := map[string]refusalReport{}, map[string]capReport{}
	for _, d := range all {
		if d.err != nil {
			s.Unread = append(s.Unread, d.err.Error())
			continue
		}
		for name, n := range d.refused {
			r := refusals[name]
			r.Reason, r.Ran, _ = strings.Cut(strings.TrimPrefix(name, refusedPrefix), ".")
			r.Count += n
			refusals[name] = r
		}
		for name, n := range d.caps {
			r := caps[name]
			r.Cap = agree.Key(strings.TrimPrefix(name, admin.CapReachedPrefix))
			r.Refusals += n
			r.Daemons++
			caps[name] = r
		}
	}
	s.Refusals = slices.SortedFunc(maps.Values(refusals), func(a, b refusalReport) int {
		return cmp.Or(-cmp.Compare(a.Count, b.Count), cmp.Compare(a.Reason+a.Ran, b.Reason+b.Ran))
	})
	s.Caps = slices.SortedFunc(maps.Values(caps), func(a, b capReport) int {
		return cmp.Or(-cmp.Compare(a.Refusals, b.Refusals), cmp.Compare(a.Cap, b.Cap))
	})
}
