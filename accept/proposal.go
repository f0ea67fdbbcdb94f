package accept

import (
	"fmt"
	"unicode/utf8"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// Proposal is a change that an operator submits.
type Proposal struct {
	// ID identifies the change. After ErrUnknown the proposal is submitted again with the same ID;
	// it is accepted only once if fewer than 256 other changes are accepted in between.
	ID ident.ChangeID
	// Resubmitted states that an earlier submission ended with ErrUnknown, possibly in another
	// process. That one may still take effect, so a failure to reach the store is ErrUnknown again.
	Resubmitted bool
	Author      string
	Kind        Kind
	// Base is the Version from which the change was prepared. A correction without a base is
	// based on the head that Propose reads first.
	Base ident.Version
	// Restore is the Version that KindRestore restores. Zero means the newest intact one and is
	// allowed only while head is damaged. For a restore, Base is Plan.Base.
	Restore ident.Version
	// Served is the highest Version that daemons are known to serve. A restore gets a higher one.
	Served ident.Version
	// HasBase marks Base as stated if it is zero.
	HasBase bool
	// Change holds the rows to put and delete. For KindSheet, Put holds every row of the agreement,
	// Delete is empty, and rows that are not in Put are deleted. For KindRestore it is empty.
	Change agree.Change
}

// Length limits of the texts in a proposal, since head stores them.
const (
	maxIDBytes     = 64
	maxAuthorBytes = 128
)

func (p Proposal) hasBase() bool { return p.HasBase || p.Base > 0 }

func (p Proposal) validate() error {
	switch {
	case p.ID == "" || len(p.ID) > maxIDBytes || !utf8.ValidString(string(p.ID)):
		return fmt.Errorf("%w: id must have 1 to %d bytes of UTF-8", ErrProposal, maxIDBytes)
	case p.Author == "" || len(p.Author) > maxAuthorBytes || !utf8.ValidString(p.Author):
		return fmt.Errorf("%w: author must have 1 to %d bytes of UTF-8", ErrProposal, maxAuthorBytes)
	case p.Kind != KindSheet && p.Kind != KindCorrection && p.Kind != KindRestore:
		return fmt.Errorf("%w: kind %q must be sheet, correction or restore", ErrProposal, p.Kind)
	case p.Kind == KindRestore && !p.Change.IsEmpty():
		return fmt.Errorf("%w: a restore must not state rows", ErrProposal)
	case p.Kind == KindRestore && !p.hasBase():
		return fmt.Errorf("%w: a restore must state the head against which it was prepared", ErrBaseRequired)
	case p.Kind == KindRestore:
		return nil
	case p.Restore > 0:
		return fmt.Errorf("%w: only a restore names a version to restore", ErrProposal)
	case p.Kind == KindSheet && len(p.Change.Delete) > 0:
		return fmt.Errorf("%w: a sheet must state all rows and must not delete rows by key", ErrProposal)
	case p.Change.IsEmpty():
		// An empty sheet, such as a truncated file, would delete the whole agreement.
		return fmt.Errorf("%w: no rows", ErrProposal)
	}
	seen := make(map[agree.Key]struct{}, p.Change.Len())
	for _, k := range p.Change.Keys() {
		if _, ok := seen[k]; ok {
			return fmt.Errorf("%w: row %s is given twice", ErrProposal, k)
		}
		seen[k] = struct{}{}
	}
	return nil
}
