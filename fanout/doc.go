// Package fanout distributes accepted Versions of the agreement to all daemons, over a tree: the
// region's root, the forwarders of each data centre, their subscribers.
package fanout
