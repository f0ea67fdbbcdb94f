// Package seed sets a fixed seed for rapid, so that the tests that import it generate the same cases in every
// run. The flag -rapid.seed=0 selects a random seed.
package seed

import (
	"flag"

	_ "pgregory.net/rapid" // defines the flag rapid.seed
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
