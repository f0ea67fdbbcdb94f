package daemon

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// TestActivationReportsOnlyMeasuredTimes guards against reporting the start of the process, or the time
// of another Version, as the time at which a Version came into force.
func TestActivationReportsOnlyMeasuredTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		agreementAt := func(v ident.Version) *agree.Agreement {
			a, err := agree.New(v, nil)
			is.NoErr(err)
			return a
		}
		var act activation
		act.observe(agree.Empty(), agreementAt(4))
		is.True(act.timeOf(4).IsZero())
		time.Sleep(time.Minute)
		act.observe(agreementAt(4), agreementAt(5))
		is.Equal(act.timeOf(5), time.Now().UTC())
		is.True(act.timeOf(4).IsZero())
		is.True(act.timeOf(6).IsZero())
	})
}
