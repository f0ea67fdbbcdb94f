//go:build race

package race

// Enabled reports whether the race detector is enabled.
const Enabled = true
