package dedup

import "github.com/marjoramcroft/marjoramcroft/refuse"

// Answer is the result of a call. Ran is RanNo if the call provably did not run, which
// releases the key; RanYes if it ran; RanUnknown if its response was lost.
type Answer struct {
	Ran    refuse.Ran
	Status int                 `msgpack:",omitempty"`
	Header map[string][]string `msgpack:",omitempty"`
	Body   []byte              `msgpack:",omitempty"`
	Kept   bool                `msgpack:",omitempty"` // Status, Header and Body hold the response
}

// trimmed returns a, without its response if that is too long to store.
func (a Answer) trimmed() Answer {
	if a.Ran != refuse.RanYes {
		return Answer{Ran: a.Ran}
	}
	if a.size() > MaxBody+1024 || len(a.Body) > MaxBody {
		return Answer{Ran: refuse.RanYes}
	}
	return a
}

// size returns the size of the body and headers in bytes.
func (a Answer) size() int {
	n := len(a.Body)
	for k, vs := range a.Header {
		n += len(k)
		for _, v := range vs {
			n += len(v)
		}
	}
	return n
}
