package pace

import "time"

// Class is the urgency of bytes. Lower values go first.
type Class uint8

// The classes of bytes.
const (
	Control Class = iota // notices, pings and the end of connections
	Small                // calls and answers up to LargeBytes
	Large                // larger calls and answers
)

// Classes is the number of classes.
const Classes = 3

// String returns the name of the class, as used in metrics.
func (c Class) String() string { return [...]string{"Control", "Small", "Large"}[min(c, Large)] }

const (
	// LargeBytes is the size above which a call or an answer is large.
	LargeBytes = 16 << 10
	// ChunkBytes limits the bytes of one permission. It takes 3 ms at 12 Mbit/s: with 16 KB, small
	// answers waited for three chunks in the kernel and missed a goal of 120 ms. Its frame header is 2% of it.
	ChunkBytes = 4 << 10
)

// Ask describes bytes that are to be written.
type Ask struct {
	Class Class
	Rank  int       // zero goes first; only of Large
	Due   time.Time // the earliest goes first; zero: last; only of Large
	Bytes int       // up to ChunkBytes
	Far   bool      // a Path limits these bytes, too
}

// Before reports whether a goes before b regardless of when they arrived.
func (a *Ask) Before(b *Ask) bool {
	switch {
	case a.Class != b.Class:
		return a.Class < b.Class
	case a.Class != Large:
		return false
	case a.Rank != b.Rank:
		return a.Rank < b.Rank
	case a.Due.IsZero() || b.Due.IsZero():
		return !a.Due.IsZero()
	}
	return a.Due.Before(b.Due)
}
