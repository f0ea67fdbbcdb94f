// Package event writes numbered, structured log events.
package event

import (
	"io"

	"github.com/charmbracelet/log"
)

// Log writes the events of one process as logfmt lines.
type Log struct {
	l *log.Logger
}

// New returns a Log that writes logfmt lines to w at level (debug, info, warn, error)
// and above. An unknown level means info.
func New(w io.Writer, level string) *Log {
	lv, err := log.ParseLevel(level)
	if err != nil {
		lv = log.InfoLevel
	}
	return &Log{l: log.NewWithOptions(w, log.Options{
		Level:           lv,
		ReportTimestamp: true,
		TimeFormat:      "2006-01-02T15:04:05.000Z07:00",
		Formatter:       log.LogfmtFormatter,
	})}
}

// Discard returns a Log that drops all events.
func Discard() *Log {
	return New(io.Discard, "error")
}

// With returns a Log that adds the key-value pairs to each event.
func (l *Log) With(kv ...any) *Log {
	return &Log{l: l.l.With(kv...)}
}

// Emit writes the event id with the key-value pairs, at the level of its definition. An undefined id is written as
// an error.
func (l *Log) Emit(id ID, kv ...any) {
	def, ok := catalogue[id]
	if !ok {
		def = Def{Level: log.ErrorLevel, Text: "undefined event"}
	}
	l.l.Log(def.Level, def.Text, append([]any{"Event", int(id)}, kv...)...)
}
