package refuse

import (
	"fmt"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func ExampleRefusal() {
	err := fmt.Errorf("call bookings: %w", NotRun(CapReached, "office has 3 of 3 units"))
	if r := From(err); r != nil {
		fmt.Println(r.Reason, r.Ran, r.Reason.Status())
	}
	// Output: CapReached no 429
}

func TestRefusalRoundTrip(t *testing.T) {
	tests := map[string]struct{ in, want *Refusal }{
		"not run":                            {NotRun(Draining, "x"), New(Draining, RanNo, "")},
		"unknown":                            {New(AnswerLost, RanUnknown, "x"), New(AnswerLost, RanUnknown, "")},
		"an invalid value of ran is unknown": {New(AnswerLost, "maybe", "x"), New(AnswerLost, RanUnknown, "")},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := httptest.NewRecorder()
			is.NoErr(tt.in.Write(w))
			is.Equal(FromResponse(w.Header()), tt.want)
			is.Equal(w.Code, tt.in.Reason.Status())
		})
	}
}

// TestGuideExplainsEveryReason guards against reasons that the operating guide does not
// explain.
func TestGuideExplainsEveryReason(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/operate.md")
	is.NoErr(err)
	for _, r := range Reasons() {
		if !strings.Contains(string(page), "| "+string(r)+" |") {
			t.Errorf("docs/operate.md does not explain %s", r)
		}
	}
}
