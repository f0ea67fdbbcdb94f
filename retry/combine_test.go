package retry

import (
	"testing"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/refuse"
)

func TestCombine(t *testing.T) {
	notRun, unknown := refuse.NotRun(refuse.QueueFull, ""), refuse.New(refuse.AnswerLost, refuse.RanUnknown, "")
	tests := map[string]struct{ a, b, want error }{
		"not run reported after an attempt that ran":  {unknown, notRun, unknown},
		"not run reported before an attempt that ran": {notRun, unknown, unknown},
		"broken connection taken for not run":         {notRun, errTest, errTest},
		"not run lost although neither ran":           {notRun, refuse.NotRun(refuse.Draining, ""), notRun},
		"failure lost":                                {nil, notRun, notRun},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(combine(tt.a, tt.b), tt.want)
		})
	}
}
