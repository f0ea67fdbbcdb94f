// Command figure draws the plots of the documentation from recorded measurements.
package main

import (
	"os"

	"github.com/marjoramcroft/marjoramcroft/figure"
)

func main() {
	os.Exit(figure.Main(os.Args[1:], os.Stderr))
}
