// Package mesh is a daemon for open services: it takes requests of the callers on its VM, chooses a
// backend server for each, and passes requests of other daemons to the backend server beside it.
//
// Only the daemon beside a backend server sends requests to it. It is therefore the place where slots are
// counted, where a backend server that leaves gets no new request, and where it is known whether a request
// has run, whatever the other daemons believe.
package mesh
