package event

import "github.com/charmbracelet/log"

// Def is the definition of an event: its log level and message.
type Def struct {
	Level log.Level
	Text  string
}
