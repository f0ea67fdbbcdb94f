package delay_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/delay"
)

// TestSleep guards against waits that outlast their context, and against a wait that counts as complete
// although its context ended first.
func TestSleep(t *testing.T) {
	tests := map[string]struct {
		d, limit time.Duration
		done     bool
		took     time.Duration
	}{
		"whole wait":                 {time.Second, time.Minute, true, time.Second},
		"context ends first":         {time.Minute, time.Second, false, time.Second},
		"no wait":                    {-time.Second, time.Second, true, 0},
		"no wait, context has ended": {0, 0, false, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithTimeout(t.Context(), tt.limit)
				defer cancel()
				begin := time.Now()
				is.Equal(delay.Until(ctx, begin.Add(tt.d)), tt.done)
				is.Equal(time.Since(begin), tt.took)
			})
		})
	}
}
