// Package mesh routes requests for open services. It receives requests from the callers on its VM, selects a
// backend server for each, and forwards requests from other daemons to the backend server beside it. Only the
// daemon beside a backend server sends requests to it. That daemon alone counts slots, stops sending requests
// to a backend server that is draining, and knows whether a request has run, whatever state other daemons
// have cached.
package mesh
