package event

// ID numbers a log event. Numbers are never reused; docs/events.md lists them all.
type ID int
