// Package rate limits the calls of client accounts over all daemons, without network, clocks or goroutines of its own.
package rate
