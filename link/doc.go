// Package link carries calls and notices between two daemons over one TCP connection, in the frames of
// package wire. Calls are answered in any order, can be cancelled, and never wait for a write to a
// daemon that does not read.
package link
