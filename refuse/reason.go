package refuse

import (
	"maps"
	"net/http"
	"slices"
)

// Reason is the cause of a refusal. Each reason has its own counter.
type Reason string

// The reasons for which a call is refused.
const (
	NoAgreement        Reason = "NoAgreement"
	NoMember           Reason = "NoMember"
	NoRoute            Reason = "NoRoute"
	NoServer           Reason = "NoServer"
	CapReached         Reason = "CapReached"
	CapUnavailable     Reason = "CapUnavailable"
	QueueFull          Reason = "QueueFull"
	DeadlinePassed     Reason = "DeadlinePassed"
	DeadlineTooShort   Reason = "DeadlineTooShort"
	Draining           Reason = "Draining"
	Starting           Reason = "Starting"
	Shedding           Reason = "Shedding"
	TooDeep            Reason = "TooDeep"
	Poisoned           Reason = "Poisoned"
	KeyTableFull       Reason = "KeyTableFull"
	KeyHomeUnreachable Reason = "KeyHomeUnreachable"
	KeyReused          Reason = "KeyReused"
	KeyUnknown         Reason = "KeyUnknown"
	AnswerLost         Reason = "AnswerLost"
	AnswerNotKept      Reason = "AnswerNotKept"
	Cancelled          Reason = "Cancelled"
	BadRequest         Reason = "BadRequest"
	MemoryFull         Reason = "MemoryFull"
	KeyInvalid         Reason = "KeyInvalid"
	KeyPending         Reason = "KeyPending"
	RateExceeded       Reason = "RateExceeded"
	RateUnavailable    Reason = "RateUnavailable"
)

// statuses maps each reason to its HTTP status.
var statuses = map[Reason]int{
	NoAgreement:        http.StatusServiceUnavailable,
	NoMember:           http.StatusForbidden,
	NoRoute:            http.StatusNotFound,
	NoServer:           http.StatusServiceUnavailable,
	CapReached:         http.StatusTooManyRequests,
	CapUnavailable:     http.StatusServiceUnavailable,
	QueueFull:          http.StatusServiceUnavailable,
	DeadlinePassed:     http.StatusGatewayTimeout,
	DeadlineTooShort:   http.StatusServiceUnavailable,
	Draining:           http.StatusServiceUnavailable,
	Starting:           http.StatusServiceUnavailable,
	Shedding:           http.StatusServiceUnavailable,
	TooDeep:            http.StatusLoopDetected,
	Poisoned:           http.StatusServiceUnavailable,
	KeyTableFull:       http.StatusServiceUnavailable,
	KeyHomeUnreachable: http.StatusServiceUnavailable,
	KeyReused:          http.StatusUnprocessableEntity,
	KeyUnknown:         http.StatusConflict,
	AnswerLost:         http.StatusBadGateway,
	AnswerNotKept:      http.StatusConflict,
	Cancelled:          499,
	BadRequest:         http.StatusBadRequest,
	MemoryFull:         http.StatusServiceUnavailable,
	KeyInvalid:         http.StatusUnauthorized,
	KeyPending:         http.StatusServiceUnavailable,
	RateExceeded:       http.StatusTooManyRequests,
	RateUnavailable:    http.StatusServiceUnavailable,
}

// Status returns the HTTP status of r, or 500 for an unknown reason.
func (r Reason) Status() int {
	if s, ok := statuses[r]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// MayRetry reports whether the same request may succeed later: the reason is not in the request itself.
func (r Reason) MayRetry() bool {
	return r != NoRoute && r != BadRequest && r != KeyInvalid
}

// Reasons returns all reasons in alphabetical order.
func Reasons() []Reason {
	return slices.Sorted(maps.Keys(statuses))
}
