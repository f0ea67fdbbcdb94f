// Package route chooses a backend server for each call.
package route
