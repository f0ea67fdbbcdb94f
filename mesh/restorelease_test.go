package mesh

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/store"
)

// TestLeaseIDGivenOutAgain guards against a daemon that renews the lease of another one, because the store came back from a
// copy and has given the id of its lease out again.
func TestLeaseIDGivenOutAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSyncFleet(t, 4, 6)
		f.startAll()
		defer f.stopAll()
		c := f.store.Copy()
		n := f.quiet()
		f.kill(n)
		f.start(n) // its lease is granted after the copy
		time.Sleep(3 * time.Second)
		var other store.LeaseID
		f.restore(c, func() {
			id, err := f.store.Driver().Grant(t.Context(), DefaultConfig().Lease)
			is.NoErr(err)
			other = id
			_, err = f.store.Driver().Swap(t.Context(), testKeys.Peers+"other", 0, []byte("x"), id)
			is.NoErr(err)
		})
		n.mu.Lock()
		is.Equal(n.entry.lease, other) // the same id
		n.mu.Unlock()
		time.Sleep(2 * DefaultConfig().Lease)
		is.Equal(f.store.Peek(testKeys.Peers+"other").Revision, int64(0)) // the lease of other ended
		f.requireEntries()
	})
}

// TestLeaseIDGivenOutAgainAtStop guards against a daemon that stops soon after a restore and revokes the lease of
// another one, which removes that one's entry.
func TestLeaseIDGivenOutAgainAtStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSyncFleet(t, 4, 6)
		f.startAll()
		defer f.stopAll()
		c := f.store.Copy()
		n := f.quiet()
		f.kill(n)
		f.start(n) // its lease is granted after the copy
		time.Sleep(3 * time.Second)
		f.restore(c, func() {
			id, err := f.store.Driver().Grant(t.Context(), DefaultConfig().Lease)
			is.NoErr(err)
			_, err = f.store.Driver().Swap(t.Context(), testKeys.Peers+"other", 0, []byte("x"), id)
			is.NoErr(err)
			f.stop(n)
		})
		is.True(f.store.Peek(testKeys.Peers+"other").Revision != 0) // the entry of another daemon was removed
	})
}

// TestLateWriteAfterRestore guards against an entry that stays for good in the state of the time before a restore, under
// the lease of another daemon: a write of that time may run after the daemon has written its entry again, if the entry
// has the expected revision again and the lease id was given out again.
func TestLateWriteAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSyncFleet(t, 4, 6)
		f.startAll()
		defer f.stopAll()
		n := f.quiet()
		c := f.store.Copy()
		f.kill(n)
		f.start(n) // its lease is granted after the copy
		f.passRevision(100)
		time.Sleep(3 * time.Second)
		n.publish()
		time.Sleep(time.Second)
		key, d := testKeys.Peers+string(n.addr), f.store.Driver()
		old := f.store.Peek(key).Revision
		f.store.FailWrites(key, 1, emul.Late, 6*time.Second)
		n.publish()
		time.Sleep(200 * time.Millisecond)
		f.store.SetOutage(emul.Rejecting)
		time.Sleep(time.Second)
		f.store.Restore(c)
		f.store.SetOutage(emul.NoOutage)
		other, err := d.Grant(t.Context(), DefaultConfig().Lease) // of another daemon
		is.NoErr(err)
		swaps := 0
		f.store.BeforeWrite(func(call, k string) { // the entry gets the revision again that it had before
			if call == "Swap" && k == key {
				if swaps++; swaps == 2 { // the first one expects the revision of the last era
					f.passRevision(old - 2)
				}
			}
		})
		for range 20 {
			time.Sleep(2 * time.Second)
			is.NoErr(d.Renew(t.Context(), other))
			p, _ := f.entry(n)
			t.Logf("revision %d (before: %d), seq %d of %d, era %d of %d", f.store.Peek(key).Revision, old, p.Seq, n.self().Seq, p.Era, f.store.Era())
		}
		f.requireEntries()
	})
}
