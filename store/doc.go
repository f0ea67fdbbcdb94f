// Package store implements a client for the platform's key-value store.
package store
