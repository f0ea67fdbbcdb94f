// Package proxy forwards HTTP calls: from the caller to the entry daemon, from there to the
// daemon beside the chosen backend server, and on to that server.
package proxy
