package fanout_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/fanout"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// twoRegions are four data centres in two regions. The store is in the first region.
var twoRegions = []ident.Place{
	{Region: "riga", DataCentre: "riga-a"},
	{Region: "riga", DataCentre: "riga-b"},
	{Region: "daugavpils", DataCentre: "dgp-a"},
	{Region: "daugavpils", DataCentre: "dgp-b"},
}

func mustAgreement(t testing.TB, v ident.Version, units ident.Units) *agree.Agreement {
	t.Helper()
	a, err := newAgreement(v, units)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func newAgreement(v ident.Version, units ident.Units) (*agree.Agreement, error) {
	return agree.New(v, []agree.Row{
		{Kind: agree.KindMember, Member: "m"},
		{Kind: agree.KindService, Service: "s"},
		{Kind: agree.KindCap, Member: "m", Service: "s", Units: units},
		{Kind: agree.KindRoute, Member: "m", Service: "s", Route: "r", Prefix: "/", Class: agree.Short, Repeat: agree.RepeatByMethod, Timeout: time.Second},
	})
}

// Guards against a fleet that starts but does not converge on the accepted Version.
func TestFleetConverges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := emul.NewFleet(40, twoRegions, 3)
		f.Platform.Accept(mustAgreement(t, 1, 5))
		f.Start()
		defer f.Stop()
		time.Sleep(20 * time.Second)
		is.True(f.Converged(1))
		f.Platform.Accept(mustAgreement(t, 2, 6))
		for i := 0; i < 400 && !f.Converged(2); i++ {
			time.Sleep(10 * time.Millisecond)
			if f.Converged(2) {
				t.Logf("converged after %d ms", (i+1)*10)
			}
		}
		is.True(f.Converged(2))
		t.Log(f.Stats.All(""), f.Platform.Calls())
	})
}

// Guards against a restart of many daemons in which a forwarder encodes the state once per
// daemon, or exceeds its limit of concurrent transfers.
func TestTransfersBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := emul.NewFleet(60, twoRegions, 3)
		f.Limits = fanout.Limits{Transfers: 1}
		var (
			mu        sync.Mutex
			now, most = map[ident.Addr]int{}, 0
		)
		f.Platform.Accept(mustAgreement(t, 1, 5))
		f.Start()
		defer f.Stop()
		time.Sleep(settleTime)
		// A transfer takes 50 ms, so that the transfers after the restart overlap.
		f.SetDelay(func(from ident.Addr, typ wire.Type, done bool) time.Duration {
			if typ != fanout.TypeSnapshot {
				return 0
			}
			mu.Lock()
			defer mu.Unlock()
			if done {
				now[from]--
				return 0
			}
			now[from]++
			most = max(most, now[from])
			return 50 * time.Millisecond
		})
		encoded := f.Stats.Value("Fanout.SnapshotsEncoded")
		for _, d := range pick(f, func(d *emul.Daemon) bool { return !d.Agent.IsForwarder() }) {
			d.Kill()
			d.Start()
		}
		time.Sleep(convergenceTarget)
		is.True(f.Converged(1))
		is.Equal(most, 1)
		is.True(f.Stats.Value("Fanout.SnapshotsEncoded")-encoded <= 12) // once per forwarder
		is.True(f.Stats.Value("Fanout.Redirects") > 0)
	})
}

// Guards against forwarders that encode a received state again.
func TestReceivedSnapshotsForwardedUnchanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := emul.NewFleet(20, twoRegions, 3)
		f.Start()
		defer f.Stop()
		time.Sleep(settleTime)
		f.Platform.Accept(agreementOfSize(t, 5000)) // too large for a delta from the empty agreement
		time.Sleep(convergenceTarget)
		is.True(f.Converged(1))
		is.True(f.Stats.Value("Fanout.SnapshotsSent") >= 19)
		is.Equal(f.Stats.Value("Fanout.SnapshotsEncoded"), int64(1)) // by the root of the store's region
	})
}
