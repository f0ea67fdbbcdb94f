// Package race reports whether the race detector is enabled, for tests.
package race
