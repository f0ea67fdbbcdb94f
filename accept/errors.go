package accept

import (
	"errors"
	"fmt"

	"github.com/marjoramcroft/marjoramcroft/store"
)

// Errors of an Acceptor, besides those of package store and agree.ErrInvalid.
var (
	// ErrProposal means that the proposal is malformed, or deletes a row that its base does not have.
	ErrProposal = errors.New("malformed proposal")
	// ErrConflict means that rows of the proposal were changed since its base. The error is a
	// *ConflictError.
	ErrConflict = errors.New("change conflicts with later changes")
	// ErrBaseRequired means that a sheet does not state the Version from which it was exported, or a
	// restore the head against which it was prepared.
	ErrBaseRequired = errors.New("base version must be stated")
	// ErrHeadChanged means that a restore of a damaged head was prepared against another head. The rows
	// of a damaged head cannot be compared, so the base has to be exactly Head.Floor.
	ErrHeadChanged = errors.New("restore was prepared against another head")
	// ErrHeadIntact means that a restore names no Version although head is not damaged.
	ErrHeadIntact = errors.New("head is intact, state the version to restore")
	// ErrUnconfirmed means that the store came back from a copy and no daemon has confirmed its head since.
	ErrUnconfirmed = errors.New("store came back from a copy, the daemons are still to confirm the accepted version; prepare the change again in some seconds")
	// ErrNotRestorable means that the chunks or the record of a Version are missing or damaged. The
	// error is a *NotRestorableError.
	ErrNotRestorable = errors.New("version cannot be restored")
	// ErrBaseRemoved means that the rows or the record of the base Version have been removed from the store.
	ErrBaseRemoved = errors.New("base version is no longer kept")
	// ErrBaseUnknown means that the base Version has not been accepted.
	ErrBaseUnknown = errors.New("base version does not exist")
	// ErrUnknown means that the outcome could not be determined in time. Submitting the proposal
	// again with the same ID determines it.
	ErrUnknown = store.ErrUnknown
	// ErrCorrupt means that stored data does not match its hash or cannot be decoded.
	ErrCorrupt = errors.New("stored agreement is corrupt")
	// ErrMissing means that a chunk is not in the store, for example because it was collected.
	ErrMissing = errors.New("chunk is missing")
	// ErrTimeout means that the change was not accepted within Config.ProposeTimeout.
	ErrTimeout = errors.New("change not accepted in time")
	// ErrHeadMissing means that the key head is absent from the store although Versions have been
	// accepted. It wraps ErrCorrupt.
	ErrHeadMissing = fmt.Errorf("%w: key %s is missing", ErrCorrupt, HeadKey)

	// errWrongHash means that the chunks are intact but their rows do not have the hash in the
	// record, so the record itself is wrong.
	errWrongHash = fmt.Errorf("%w: wrong hash", ErrCorrupt)
)
