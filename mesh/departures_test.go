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
		added, err := d.add(departure{ID: "i-1", Born: 100})
		is.NoErr(err)
		is.True(added)
		is.True(!d.has(departure{ID: "i-1", Born: 200}))
		is.True(!d.has(departure{ID: "i-2", Born: 100}))
		time.Sleep(departureTTL)
		is.True(d.has(departure{ID: "i-1", Born: 100}))
		added, err = d.add(departure{ID: "i-1", Born: 100}) // repeated, so it is kept as long again
		is.NoErr(err)
		is.True(!added)
		time.Sleep(departureTTL)
		is.True(d.has(departure{ID: "i-1", Born: 100}))
		is.Equal(d.processes(), []departure{{ID: "i-1", Born: 100}})
		time.Sleep(time.Second)
		is.True(!d.has(departure{ID: "i-1", Born: 100}))
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
			_, err := d.add(departure{ID: "i-1", Born: born})
			is.NoErr(err)
		}
		_, err := d.add(departure{ID: "i-1", Born: maxDepartures})
		is.True(errors.Is(err, errTooManyDepartures))
		is.True(d.has(departure{ID: "i-1", Born: 0}))
		_, err = d.add(departure{ID: "i-1", Born: 0}) // known
		is.NoErr(err)
		d.removeBefore(maxDepartures - 1)
		is.Equal(len(d.list), 1)
		_, err = d.add(departure{ID: "i-1", Born: maxDepartures})
		is.NoErr(err)
		time.Sleep(departureTTL + time.Second)
		_, err = d.add(departure{ID: "i-2", Born: 1})
		is.NoErr(err)
		is.Equal(len(d.list), 1) // the others have expired
	})
}

// TestDepartureWithoutStart guards against a departure of unstated start that misses a process that started before it,
// counts for one that started after it, or fills the list with its repetitions.
func TestDepartureWithoutStart(t *testing.T) {
	is := is.New(t)
	var d departures
	for _, x := range []departure{{ID: "i-1", Born: 50}, {ID: "i-2", Born: 50}, {"i-1", 100, true}, {"i-1", 120, true}} {
		added, err := d.add(x)
		is.NoErr(err)
		is.True(added)
	}
	for _, x := range []departure{{ID: "i-1", Born: 70}, {"i-1", 110, true}} { // known
		added, err := d.add(x)
		is.NoErr(err)
		is.True(!added)
	}
	is.Equal(d.processes(), []departure{{ID: "i-2", Born: 50}, {"i-1", 120, true}})
	is.True(d.has(departure{ID: "i-1", Born: 0}))
	is.True(d.has(departure{ID: "i-1", Born: 120}))
	is.True(!d.has(departure{ID: "i-1", Born: 121}))
	is.True(!d.has(departure{ID: "i-2", Born: 40}))
}
