package dedup

import (
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// Request describes a call with an idempotency key at the entry daemon.
type Request struct {
	Scope
	Digest   uint64       // of method, path and body; equal for repeated requests
	Call     ident.CallID // unique to this attempt of the caller; identifies the claim
	Deadline time.Time
}
