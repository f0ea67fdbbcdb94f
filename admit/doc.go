// Package admit controls the admission of calls to the backend server beside a daemon.
package admit
