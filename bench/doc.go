// Package bench measures how server selection, admission and retries perform together under load and
// faults.
package bench
