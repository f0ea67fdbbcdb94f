// Package event writes numbered, structured log events.
package event

import (
	"fmt"
	"io"
	"reflect"
	"strings"

	"github.com/charmbracelet/log"
)

// maxValueBytes limits a text in an event. A client chooses some of them, such as the id of a request.
const maxValueBytes = 512

// Log writes the events of one process as logfmt lines.
type Log struct {
	l       *log.Logger
	limiter *Limiter[ID]
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
	}), limiter: NewLimiter[ID]()}
}

// Discard returns a Log that drops all events.
func Discard() *Log {
	return New(io.Discard, "error")
}

// With returns a Log that adds the key-value pairs to each event.
func (l *Log) With(kv ...any) *Log {
	return &Log{l: l.l.With(kv...), limiter: l.limiter}
}

// Emit writes the event id with the key-value pairs, at the level of its definition. An undefined id is written as
// an error. Of a limited event at most one is written per second; the next one states how many were not (Suppressed).
// Long texts are cut.
func (l *Log) Emit(id ID, kv ...any) {
	def, ok := catalogue[id]
	if !ok {
		def = Def{Level: log.ErrorLevel, Text: "undefined event"}
	}
	args := append([]any{"Event", int(id)}, kv...)
	for i := 3; i < len(args); i += 2 {
		args[i] = cut(args[i])
	}
	if limited[id] {
		suppressed, ok := l.limiter.Allow(id)
		if !ok {
			return
		}
		if suppressed > 0 {
			args = append(args, "Suppressed", suppressed)
		}
	}
	l.l.Log(def.Level, def.Text, args...)
}

// cut returns v, cut to maxValueBytes if it is a longer text.
func cut(v any) any {
	var text string
	switch t := v.(type) {
	case error:
		text = t.Error()
	case fmt.Stringer: // such as the attempts of a call, which the daemon writes itself
		return v
	default:
		if rv := reflect.ValueOf(v); rv.Kind() == reflect.String {
			text = rv.String() // of a named type, too: another program chooses the address in a notice
		}
	}
	if len(text) <= maxValueBytes {
		return v
	}
	return strings.ToValidUTF8(text[:maxValueBytes], "") + "..."
}
