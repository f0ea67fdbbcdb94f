package route

import (
	"time"

	"github.com/marjoramcroft/marjoramcroft/refuse"
)

// Outcome describes how a call to a server ended.
type Outcome struct {
	Latency     time.Duration // until the response was complete
	Refused     refuse.Reason // empty if the call was not refused; Cancelled for the slower of two hedged calls
	Waiting     int           // calls that waited at the server's daemon when it sent the response
	Failed      bool          // the connection broke or the response was an error of the server
	ConnRefused bool          // the address refused the connection
}
