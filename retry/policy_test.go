package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/refuse"
)

func TestNext(t *testing.T) {
	notRun := func(r refuse.Reason) *refuse.Refusal { return refuse.NotRun(r, "") }
	tests := map[string]struct {
		a     Attempt
		retry bool
		kind  Kind
	}{
		"non-idempotent call run twice after a broken connection": {
			Attempt{Number: 1, Sent: true, Remaining: time.Second}, false, Failed,
		},
		"non-idempotent call run twice after an unknown result": {
			Attempt{Number: 1, Refusal: refuse.New(refuse.AnswerLost, refuse.RanUnknown, ""), Remaining: time.Second}, false, Failed,
		},
		"refusal that claims to have run taken for not run": {
			Attempt{Number: 1, Refusal: refuse.New(refuse.Draining, refuse.RanYes, ""), Remaining: time.Second}, false, Failed,
		},
		"non-idempotent call lost although nothing was sent": {
			Attempt{Number: 1, Remaining: time.Second}, true, NotRun,
		},
		"non-idempotent call lost although the server was draining": {
			Attempt{Number: 1, Refusal: notRun(refuse.Draining), Sent: true, Remaining: time.Second}, true, NotRun,
		},
		"idempotent call not repeated after a broken connection": {
			Attempt{Number: 1, Idempotent: true, Sent: true, Remaining: time.Second}, true, Failed,
		},
		"failures repeated without bound": {
			Attempt{Number: 2, Idempotent: true, Sent: true, Remaining: time.Second}, false, Failed,
		},
		"refusals repeated without bound": {
			Attempt{Number: 5, Refusal: notRun(refuse.QueueFull), Remaining: time.Second}, false, NotRun,
		},
		"failure repeated again by the next hop of the chain": {
			Attempt{Number: 1, Idempotent: true, Sent: true, Retried: true, Remaining: time.Second}, false, Failed,
		},
		"cap of another holder not tried in a retried chain": {
			Attempt{Number: 1, Retried: true, Refusal: notRun(refuse.CapReached), Remaining: time.Second}, true, NotRun,
		},
		"call lost to a daemon that has stopped": {
			Attempt{Number: 1, Refusal: notRun(refuse.NoServer), Remaining: time.Second}, true, NotRun,
		},
		"call lost to a daemon that has just started": {
			Attempt{Number: 1, Refusal: notRun(refuse.NoAgreement), Remaining: time.Second}, true, NotRun,
		},
		"call lost to a daemon that does not have the new cap yet": {
			Attempt{Number: 1, Refusal: notRun(refuse.NoRoute), Remaining: time.Second}, true, NotRun,
		},
		"attempt without time left": {
			Attempt{Number: 1, Idempotent: true, Sent: true, Remaining: time.Millisecond}, false, Failed,
		},
		"refusal that every daemon would repeat": {
			Attempt{Number: 1, Refusal: notRun(refuse.Poisoned), Remaining: time.Second}, false, NotRun,
		},
		"loop continued by retries": {
			Attempt{Number: 1, Refusal: notRun(refuse.TooDeep), Remaining: time.Second}, false, NotRun,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d, kind := DefaultPolicy().Next(tt.a)
			is.Equal(d.Retry, tt.retry)
			is.Equal(kind, tt.kind)
			is.True(d.Wait < tt.a.Remaining)
		})
	}
}
