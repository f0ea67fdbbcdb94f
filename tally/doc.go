// Package tally sums up the logs of daemons for open services: what became of the calls of each route.
package tally
