package store_test

import (
	"fmt"

	"github.com/marjoramcroft/marjoramcroft/store"
)

// A change made after a restore is later than one with a higher revision that the restore discarded.
func ExamplePosition_After() {
	discarded := store.Position{Era: 1, Revision: 500}
	later := store.Position{Era: 2, Revision: 310}
	fmt.Println(later.After(discarded), discarded.After(later), discarded.Later(later))
	// Output: true false 2/310
}
