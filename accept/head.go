package accept

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/store"
)

// HeadKey is the store key under which the Head is kept.
const HeadKey = "head"

// maxHeadChanges limits the change IDs in a Head. At 1,300 changes a day they cover about 4 h, far
// longer than a proposal is submitted again.
const maxHeadChanges = 256

// ChangeRef names an accepted change and its Version.
type ChangeRef struct {
	ID      ident.ChangeID
	Version ident.Version
}

// Head is the record of the current Version together with the latest changes. Each accepted change
// replaces it by a compare-and-swap on Key. The zero Head has Version zero and no rows.
type Head struct {
	Record
	Changes      []ChangeRef   // at most maxHeadChanges, oldest first
	SheetVersion ident.Version // the last Version that a sheet produced
	SheetTime    time.Time     // when SheetVersion was accepted
	Era          store.Era     `json:",omitempty"` // of the store when the head was prepared; zero if not stated
	Confirmed    bool          `json:",omitempty"` // written by Confirm, and no change was accepted since
	Revision     int64         `json:"-"`          // of the key in the store
	ReadIn       store.Era     `json:"-"`          // era of the store when it was read

	// The following fields are set by Examine only.
	Floor          ident.Version `json:"-"` // highest Version that may have been accepted; the next one is above it
	Damage         error         `json:"-"` // why the key or its chunks are damaged; nil if they are intact
	newestRecorded ident.Version // highest Version with a record in the history; used if head is damaged
}

// DecodeHead decodes the Head from v, the value of Key. It returns the zero Head if v is absent. Its
// errors wrap ErrCorrupt.
func DecodeHead(v store.Value) (Head, error) {
	if v.Revision == 0 {
		return Head{ReadIn: v.Era}, nil
	}
	h := Head{}
	if err := json.Unmarshal(v.Data, &h); err != nil {
		return Head{}, fmt.Errorf("%w: decode %s: %w", ErrCorrupt, HeadKey, err)
	}
	if h.Version == 0 {
		return Head{}, fmt.Errorf("%w: %s without version", ErrCorrupt, HeadKey)
	}
	h.Revision, h.ReadIn = v.Revision, v.Era
	return h, nil
}

// Position returns the position in the store at which the head was read.
func (h Head) Position() store.Position { return store.Position{Era: h.ReadIn, Revision: h.Revision} }

// IsUnconfirmed reports whether the store came back from a copy since the head was prepared, so that later Versions may
// be lost which daemons still hold. No change is accepted until a daemon has called Confirm.
func (h Head) IsUnconfirmed() bool { return h.Era > 0 && h.Era < h.ReadIn }

// NeedsConfirm reports whether Confirm has something to do for a daemon that holds a Version. A head that was already
// confirmed is replaced by a higher Version as long as no change was accepted on top of it.
func (h Head) NeedsConfirm(held ident.Version) bool {
	return h.IsUnconfirmed() && held >= h.Version || h.Confirmed && held > h.Version
}

// Accepted returns the Version that the change id produced, if it is among the latest changes.
func (h Head) Accepted(id ident.ChangeID) (ident.Version, bool) {
	for _, c := range h.Changes {
		if c.ID == id {
			return c.Version, true
		}
	}
	return 0, false
}

// newestDescribed returns the highest Version that may have a record in the history.
func (h Head) newestDescribed() ident.Version {
	if h.Damage != nil {
		return h.newestRecorded
	}
	return h.Version
}

func (h Head) describeDamage() string {
	if h.Damage == nil {
		return ""
	}
	return h.Damage.Error()
}

// next returns the Head that replaces h when the Version described by rec is accepted.
func (h Head) next(rec Record) Head {
	n := Head{Record: rec, SheetVersion: h.SheetVersion, SheetTime: h.SheetTime, Era: h.ReadIn}
	n.Changes = append(n.Changes, h.Changes...)
	n.Changes = append(n.Changes, ChangeRef{ID: rec.Change, Version: rec.Version})
	if extra := len(n.Changes) - maxHeadChanges; extra > 0 {
		n.Changes = n.Changes[extra:]
	}
	if rec.Kind == KindSheet {
		n.SheetVersion, n.SheetTime = rec.Version, rec.Time
	}
	return n
}
