// Package agree holds the agreement: members, services, caps and routes in one immutable,
// versioned snapshot, with validation, hashing and diffs.
package agree
