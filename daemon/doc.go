// Package daemon builds a daemon from its settings and runs it.
package daemon
