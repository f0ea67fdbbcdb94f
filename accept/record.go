package accept

import (
	"fmt"
	"time"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// Record describes one Version. It is stored in head and under the key history/VERSION.
type Record struct {
	Version ident.Version
	Hash    agree.Hash
	Chunks  []ChunkID // in the order of their row keys
	Change  ident.ChangeID
	Author  string
	Time    time.Time
	Kind    Kind
	Base    ident.Version
	Put     int // number of rows added or changed
	Deleted int // number of rows deleted
	// Restored is the Version that a restore restored; zero for other kinds.
	Restored ident.Version `json:",omitempty"`
	Keys     []agree.Key   // of the changed rows, at most maxRecordKeys
}

// maxRecordKeys limits the keys in a record, so that head and the history stay small after a change
// of the whole agreement.
const maxRecordKeys = 64

const historyPrefix = "history/"

// historyKey returns a key of fixed width, so that a key prefix selects a range of Versions.
func historyKey(v ident.Version) string {
	return fmt.Sprintf("%s%012d", historyPrefix, v)
}
