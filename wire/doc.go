// Package wire exchanges msgpack messages in length-prefixed frames over TCP between daemons.
package wire
