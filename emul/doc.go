// Package emul emulates what surrounds the daemons: the store, backend servers and load.
package emul
