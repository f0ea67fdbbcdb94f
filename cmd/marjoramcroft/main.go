// Command marjoramcroft is the client with which operators read and change the agreement.
package main

import (
	"context"
	"os"

	"github.com/marjoramcroft/marjoramcroft/client"
)

func main() {
	os.Exit(client.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
