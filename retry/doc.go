// Package retry decides which calls are retried, limits the number of retries, and hedges slow
// calls.
package retry
