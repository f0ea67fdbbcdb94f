package peers_test

import (
	"testing"
	"testing/synctest"
	"time"
)

// Each case is an interleaving that once left daemons with a wrong state of other daemons.
func TestFoundInterleavings(t *testing.T) {
	for name, steps := range map[string][]action{
		"two forwarders leave after the loss of the third": {
			{Kind: "kill", Daemon: 4, Wait: 2 * time.Second},
			{Kind: "leave", Daemon: 12, Wait: 51 * time.Millisecond},
			{Kind: "leave", Daemon: 8, Wait: 2 * time.Millisecond},
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				for _, wrong := range interleave(steps) {
					t.Error(wrong)
				}
			})
		})
	}
}
