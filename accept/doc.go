// Package accept stores the agreement and its history in the store: it accepts proposed changes with
// optimistic concurrency control, loads accepted Versions, restores earlier ones and collects
// unreferenced data.
package accept
