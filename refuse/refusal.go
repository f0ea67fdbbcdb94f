package refuse

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
)

// Headers of a refusal.
const (
	HeaderReason = "Marjoramcroft-Reason"
	HeaderRan    = "Marjoramcroft-Ran"
)

// Refusal is the error of a call that got no answer from its backend server.
type Refusal struct {
	Reason Reason
	Ran    Ran
	Detail string
}

// New returns a refusal; detail is a message for people.
func New(reason Reason, ran Ran, detail string) *Refusal {
	return &Refusal{Reason: reason, Ran: ran, Detail: detail}
}

// NotRun returns a refusal of a call that never reached a backend server.
func NotRun(reason Reason, detail string) *Refusal {
	return New(reason, RanNo, detail)
}

// Error returns reason, ran and detail in one line.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused: %s (ran: %s): %s", r.Reason, r.Ran, r.Detail)
}

// From returns the refusal in the chain of err, or nil.
func From(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return nil
}

// Write sends r as an HTTP response with its headers and a JSON body.
func (r *Refusal) Write(w http.ResponseWriter) error {
	h := w.Header()
	h.Set(HeaderReason, string(r.Reason))
	h.Set(HeaderRan, string(r.Ran))
	h.Set("Content-Type", "application/json")
	w.WriteHeader(r.Reason.Status())
	if err := json.NewEncoder(w).Encode(r); err != nil {
		return fmt.Errorf("write refusal: %w", err)
	}
	return nil
}

// FromResponse returns the refusal described by the headers h, or nil. A missing or unknown
// value of HeaderRan counts as RanUnknown.
func FromResponse(h http.Header) *Refusal {
	reason := h.Get(HeaderReason)
	if reason == "" {
		return nil
	}
	ran := Ran(h.Get(HeaderRan))
	if ran != RanNo && ran != RanYes {
		ran = RanUnknown
	}
	return New(Reason(reason), ran, "")
}
