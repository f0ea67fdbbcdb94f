package mesh

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestDepartureIsKept guards against a departure that is forgotten while a heartbeat may still arrive, and against
// one that counts for another process.
func TestDepartureIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var d departures
		added, err := d.add(departure{"i-1", 100})
		is.NoErr(err)
		is.True(added)
		is.True(!d.has(departure{"i-1", 200}))
		is.True(!d.has(departure{"i-2", 100}))
		time.Sleep(departureTTL)
		is.True(d.has(departure{"i-1", 100}))
		added, err = d.add(departure{"i-1", 100}) // repeated, so it is kept as long again
		is.NoErr(err)
		is.True(!added)
		time.Sleep(departureTTL)
		is.True(d.has(departure{"i-1", 100}))
		is.Equal(d.processes(), []departure{{"i-1", 100}})
		time.Sleep(time.Second)
		is.True(!d.has(departure{"i-1", 100}))
		is.Equal(len(d.processes()), 0)
	})
}

// TestDeparturesAreBounded guards against memory that grows with the reports of a faulty sender, and against a
// departure that was accepted and is displaced by a later one.
func TestDeparturesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var d departures
		for born := range int64(maxDepartures) {
			_, err := d.add(departure{"i-1", born})
			is.NoErr(err)
		}
		_, err := d.add(departure{"i-1", maxDepartures})
		is.True(errors.Is(err, errTooManyDepartures))
		is.True(d.has(departure{"i-1", 0}))
		_, err = d.add(departure{"i-1", 0}) // known
		is.NoErr(err)
		d.removeBefore(maxDepartures - 1)
		is.Equal(len(d.list), 1)
		_, err = d.add(departure{"i-1", maxDepartures})
		is.NoErr(err)
		time.Sleep(departureTTL + time.Second)
		_, err = d.add(departure{"i-2", 1})
		is.NoErr(err)
		is.Equal(len(d.list), 1) // the others have expired
	})
}
