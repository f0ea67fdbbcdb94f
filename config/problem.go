package config

import "fmt"

// Problem describes why the value of a setting is invalid.
type Problem struct {
	Name string // TABLE.FIELD
	Text string
}

// Problemf returns a Problem of the setting name with a formatted text.
func Problemf(name, format string, args ...any) Problem {
	return Problem{Name: name, Text: fmt.Sprintf(format, args...)}
}
