package tally

import (
	"strconv"
	"strings"
	"time"

	"github.com/marjoramcroft/marjoramcroft/event"
)

// maxPromptShare is the share of the goal within which a refusal counts as given at once.
const maxPromptShare = 0.25

// call is one log line about the end of a call.
type call struct {
	route, service string
	outcome        Outcome
	reason         string // of a refusal; empty: none
	attempts       int
}

// parseCall returns the call of a log line with these fields. ok is false for a line about something else.
func parseCall(fields map[string]string) (c call, ok bool) {
	n, err := strconv.Atoi(fields["Event"])
	if err != nil {
		return call{}, false
	}
	c = call{route: fields["Route"], service: fields["Service"]}
	if a := fields["Attempts"]; a != "" {
		c.attempts = strings.Count(a, ",") + 1
	}
	switch event.ID(n) {
	case event.CallAnswered:
		c.outcome = answered(fields)
	case event.CallRefused:
		c.reason, c.outcome = fields["Reason"], refused(fields)
	case event.CallerLeft:
		c.outcome = CallerLeft
	default:
		return call{}, false
	}
	return c, true
}

func answered(fields map[string]string) Outcome {
	if status, err := strconv.Atoi(fields["Status"]); err == nil && status >= 500 {
		return ServerError
	}
	if took, goal, ok := times(fields); ok && took > goal {
		return Late
	}
	return InTime
}

func refused(fields map[string]string) Outcome {
	if fields["Ran"] != "no" {
		return NoAnswer
	}
	if took, goal, ok := times(fields); ok && took.Seconds() > maxPromptShare*goal.Seconds() {
		return RefusedLate
	}
	return RefusedAtOnce
}

// times returns how long a call took and the goal of its route.
func times(fields map[string]string) (took, goal time.Duration, ok bool) {
	took, err := time.ParseDuration(fields["Took"])
	if err != nil {
		return 0, 0, false
	}
	goal, err = time.ParseDuration(fields["Goal"])
	return took, goal, err == nil && goal > 0
}
