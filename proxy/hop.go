package proxy

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// Hop describes a call to the daemon beside the backend server. It is sent as JSON in
// HeaderHop.
type Hop struct {
	Call    ident.CallID
	Version ident.Version // of the agreement from which the entry daemon resolved the call
	Service ident.ServiceID
	Route   ident.RouteID
	Member  ident.MemberID
	Class   agree.Class
	// Deadline is in Unix milliseconds. Remaining is the same limit in milliseconds from the
	// time of sending. The earlier of the two applies, so that a target whose clock is behind
	// does not run a call for longer than its caller waits.
	Deadline  int64
	Remaining int64
	Depth     int
	Retried   bool   `json:",omitempty"`
	Digest    uint64 // of the first 4 KB of the body
}

// Encode returns the value of HeaderHop.
func (h Hop) Encode() (string, error) {
	b, err := json.Marshal(h)
	if err != nil {
		return "", fmt.Errorf("encode hop: %w", err)
	}
	return string(b), nil
}

// DecodeHop parses the value of HeaderHop.
func DecodeHop(s string) (Hop, error) {
	var h Hop
	if err := json.Unmarshal([]byte(s), &h); err != nil {
		return Hop{}, fmt.Errorf("decode hop: %w", err)
	}
	return h, nil
}

// localDeadline returns the deadline on the local clock, which shows now.
func (h Hop) localDeadline(now time.Time) time.Time {
	abs := time.UnixMilli(h.Deadline)
	if rel := now.Add(time.Duration(h.Remaining) * time.Millisecond); rel.Before(abs) {
		return rel
	}
	return abs
}
