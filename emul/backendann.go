package emul

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// AnnouncePath is the path at which a daemon receives the announcements of its backend server.
const AnnouncePath = "/marjoramcroft/announce"

// Announcement is the JSON message that a backend server sends to its daemon every second and
// on each change.
type Announcement struct {
	Service ident.ServiceID
	Backend ident.Addr
	Slots   ident.Units
	Conns   int
	State   BackendState
	// Incarnation identifies the process of the backend server; zero means unknown.
	Incarnation ident.Incarnation `json:",omitempty"`
}

// Announcement returns the current announcement.
func (b *Backend) Announcement() Announcement {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := Announcement{
		Service: b.cfg.Service, Backend: ident.Addr(b.addr), Slots: b.cfg.Slots,
		Conns: b.cfg.Conns, State: b.state,
	}
	if !b.cfg.Anonymous {
		a.Incarnation = b.incarnation
	}
	return a
}

func (b *Backend) announceLoop(ctx context.Context) {
	t := time.NewTicker(b.cfg.AnnounceInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.notify:
		case <-t.C:
		}
		if b.hasProcess() {
			// A daemon that cannot be reached gets the next announcement.
			_ = b.announce(ctx)
		}
	}
}

func (b *Backend) hasProcess() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.process != nil
}

// announce sends one announcement and waits for its acknowledgement. Without a daemon it does
// nothing.
func (b *Backend) announce(ctx context.Context) error {
	if b.cfg.Announce == "" {
		return nil
	}
	body, err := json.Marshal(b.Announcement())
	if err != nil {
		return fmt.Errorf("encode announcement: %w", err)
	}
	url := "http://" + string(b.cfg.Announce) + AnnouncePath
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("announce: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := b.client.Do(req)
	if err != nil {
		return fmt.Errorf("announce: %w", err)
	}
	defer resp.Body.Close()
	// Reading to the end allows the connection to be reused.
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("announce: status %s", resp.Status)
	}
	return nil
}
