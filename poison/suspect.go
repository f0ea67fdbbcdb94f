package poison

import (
	"bytes"
	"cmp"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// Suspect is the fingerprint of a request that was in flight when backend servers crashed,
// in the form that daemons exchange.
type Suspect struct {
	Fingerprint Fingerprint
	Servers     []ident.Addr // that crashed, the first two at most
	// Until is the expiry time in Unix milliseconds, by the clock of the daemon that saw
	// the crash. Daemons relay it unchanged. A remaining duration would be extended by
	// the transfer delay of each exchange, and the suspect would never expire.
	Until int64
}

// compareSuspects orders poisoned suspects first, then those that expire last.
func compareSuspects(a, b Suspect) int {
	return cmp.Or(
		cmp.Compare(len(b.Servers), len(a.Servers)),
		cmp.Compare(b.Until, a.Until),
		bytes.Compare(a.Fingerprint[:], b.Fingerprint[:]),
	)
}
