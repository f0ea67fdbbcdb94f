// Package link carries calls and notices between two daemons over one TCP connection, in the frames of
// package wire. Calls may be answered in any order, can be cancelled, and are never blocked by writing to a
// daemon that does not read.
package link
