// Package admin serves a daemon's HTTP interface for operators and its backend server: liveness,
// readiness, metrics, Version, status, explanations, announcements, idempotency keys and the
// retirement of VMs.
package admin
