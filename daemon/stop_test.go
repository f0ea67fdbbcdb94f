package daemon

import (
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/admin"
	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/peers"
	"github.com/marjoramcroft/marjoramcroft/stats"
)

func newStoppableDaemon(t *testing.T) *Daemon {
	t.Helper()
	settings := DefaultSettings()
	settings.Listen = ListenConfig{HTTP: "127.0.0.1:0", Control: "127.0.0.1:0"}
	settings.Stop.Notice, settings.Stop.Handover = 0, time.Millisecond
	d, err := New(Deps{
		Settings: settings, Driver: emul.NewStore(emul.DefaultStoreConfig()).Driver(), Log: event.Discard(), Stats: stats.New(),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = d.httpListener.Close() })
	return d
}

// TestFirstAnnouncementDuringStop guards against a daemon that panics when it stops while its service starts, and
// against a service that starts after the daemon has handed over its units.
func TestFirstAnnouncementDuringStop(t *testing.T) {
	first := admin.Announcement{Service: "s", Backend: "127.0.0.1:1", Slots: 8, Conns: 9, State: string(peers.Ready), Incarnation: 1}
	t.Run("at the same time", func(t *testing.T) {
		// The race detector reports a service that is seen half started.
		for range 50 {
			d := newStoppableDaemon(t)
			var wg sync.WaitGroup
			wg.Go(func() { _ = d.handleAnnouncement(first) })
			d.drain()
			wg.Wait()
			d.close()
		}
	})
	t.Run("afterwards", func(t *testing.T) {
		is := is.New(t)
		d := newStoppableDaemon(t)
		d.drain()
		is.True(errors.Is(d.handleAnnouncement(first), admin.ErrStopping))
		is.True(d.service.Load() == nil)
		d.close()
	})
}
