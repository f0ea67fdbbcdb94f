package agree

import "strconv"

// Hash identifies the content of an agreement, its Version included. It is derived
// from the sum of the row hashes, so that an update only hashes the rows that changed.
type Hash uint64

// String returns h in hexadecimal.
func (h Hash) String() string {
	return strconv.FormatUint(uint64(h), 16)
}
