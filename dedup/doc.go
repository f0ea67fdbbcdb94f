// Package dedup runs the call of an idempotency key at most once and replays its answer to
// repeated requests.
package dedup
