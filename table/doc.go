// Package table holds the routes of open services, which any caller may use. Routes are matched by host and
// path prefix rather than by member.
package table
