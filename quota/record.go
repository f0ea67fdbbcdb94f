package quota

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// Record is the state of a service's keeper, stored under the key quota/SERVICE.
type Record struct {
	Epoch       uint64
	Era         uint64 `json:",omitempty"` // of the store when the epoch began; zero if not stated
	Keeper      ident.Addr
	ListVersion uint64
	Holders     []ident.Addr
	Prev        []ident.Addr  `json:",omitempty"`
	Joining     []ident.Addr  `json:",omitempty"` // may have floating units; added to Holders once Prev is empty
	Lost        []LostRecord  `json:",omitempty"`
	Longest     time.Duration // see List.Longest
}

// LostRecord is the stored form of Lost.
type LostRecord struct {
	Addr  ident.Addr
	Until int64 // Unix time in seconds on the clock of the keeper that wrote it
	Among [][]ident.Addr
}

// RecordKey returns the store key of the record of service.
func RecordKey(service ident.ServiceID) string { return "quota/" + string(service) }

// KeeperKey returns the store key, bound to a lease, that names the keeper of service.
func KeeperKey(service ident.ServiceID) string { return "keeper/" + string(service) }

// isBefore reports whether the store came back from a copy since the record was written, so that later terms and lists
// may be lost. A service without a record may have had one, unless the store is in its first era.
func (r Record) isBefore(era uint64) bool {
	if r.Epoch == 0 {
		return era > 1
	}
	return r.Era > 0 && r.Era < era
}

func (r Record) encode() ([]byte, error) {
	b, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	return b, nil
}

// decodeRecord decodes a record. Empty data is the zero Record.
func decodeRecord(b []byte) (Record, error) {
	var r Record
	if len(b) == 0 {
		return r, nil
	}
	if err := json.Unmarshal(b, &r); err != nil {
		return r, fmt.Errorf("decode record: %w", err)
	}
	return r, nil
}

// adoptList takes the list of a holder if it is newer than that of r. Holders in it use their shares although the store
// has lost it.
func (r *Record) adoptList(l List, now time.Time) {
	if l.Version <= r.ListVersion {
		return
	}
	r.ListVersion, r.Holders, r.Prev = l.Version, slices.Clone(l.Holders), slices.Clone(l.Prev)
	r.Joining = slices.DeleteFunc(r.Joining, func(a ident.Addr) bool { return slices.Contains(l.Holders, a) })
	r.Longest = max(r.Longest, l.Longest)
	r.Lost = nil
	for _, lost := range l.Lost {
		r.Lost = append(r.Lost, LostRecord{Addr: lost.Addr, Until: now.Add(lost.Left).Unix(), Among: lost.Among})
	}
}

// clone returns a copy of r with its own slices.
func (r Record) clone() Record {
	r.Holders = slices.Clone(r.Holders)
	r.Prev = slices.Clone(r.Prev)
	r.Joining = slices.Clone(r.Joining)
	r.Lost = slices.Clone(r.Lost)
	return r
}
