package proxy

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/refuse"
)

// TestUnreachableDaemon guards against a call that waits until its deadline for a VM that does
// not answer, while another server could run it.
func TestUnreachableDaemon(t *testing.T) {
	tests := map[string]struct {
		gone   []string // daemons whose VMs do not answer
		status int
		reason refuse.Reason
		most   time.Duration
	}{
		"the first choice is gone":    {[]string{"d0"}, http.StatusOK, "", time.Second},
		"two choices are gone":        {[]string{"d0", "d1"}, http.StatusOK, "", 1500 * time.Millisecond},
		"all choices are gone":        {[]string{"d0", "d1", "d2"}, http.StatusServiceUnavailable, refuse.NoServer, 1900 * time.Millisecond},
		"all choices can be reached":  {nil, http.StatusOK, "", 100 * time.Millisecond},
		"a choice that is not needed": {[]string{"d2"}, http.StatusOK, "", 100 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newRig(t, 3, nil)
				defer g.close()
				deps := g.entryDeps("silent", nil)
				deps.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
					for _, d := range tt.gone {
						if strings.HasPrefix(addr, d) {
							<-ctx.Done()
							return nil, ctx.Err()
						}
					}
					return g.net.Dial(ctx, network, addr)
				}
				e := NewEntry(deps)
				defer e.hops.closeIdle()
				g.serve("silent", e)
				synctest.Wait()
				begin := time.Now()
				got := g.callAt(t.Context(), "silent", http.MethodPost, "/", "r", nil)
				took := time.Since(begin)
				is.Equal(got.status, tt.status)
				is.Equal(got.reason, tt.reason)
				is.True(took <= tt.most) // well before the deadline of 2 s
				if tt.reason != "" {
					is.Equal(got.ran, refuse.RanNo)
				}
				for i, o := range g.outcomes {
					gone := len(tt.gone) > 0 && g.picks[i] == ident.Addr(tt.gone[min(i, len(tt.gone)-1)])
					is.Equal(o.ConnRefused, gone) // so that the next calls avoid this server
				}
			})
		})
	}
}
