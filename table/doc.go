// Package table holds the routes of open services: those that any caller may use, found by host and
// path prefix rather than by member.
package table
