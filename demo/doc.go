// Package demo runs two example deployments in one process on emulated backend servers and
// an emulated store, as a demonstration and smoke test.
package demo
