package client

import (
	"context"
	"errors"
	"flag"

	"github.com/marjoramcroft/marjoramcroft/accept"
	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/demo"
	"github.com/marjoramcroft/marjoramcroft/sheet"
	"github.com/marjoramcroft/marjoramcroft/store"
)

// Exit codes of the client. docs/client.md lists them for operators.
const (
	exitOK          = 0
	exitFailed      = 1
	exitUsage       = 2 // invalid arguments or settings
	exitInvalidRows = 3 // a sheet or correction is not valid; nothing was applied
	exitConflict    = 4 // rows were changed since the base; nothing was applied
	exitUnknown     = 5 // the outcome of a change is not known; run the same command again
	exitUnavailable = 6 // the store or a daemon cannot be reached
	exitLagging     = 7 // a daemon is behind or not ready
	exitInvariant   = 8 // an invariant was violated
	exitDamaged     = 9 // stored data of the head or of the requested Version is missing or damaged
)

// errUsage marks errors in arguments or settings.
var errUsage = errors.New("usage")

// errLagging reports that daemons are behind the accepted Version or not ready.
var errLagging = errors.New("daemons are behind or not ready")

// exitCode returns the exit code for err.
func exitCode(err error) int {
	var rows sheet.RowErrors
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return exitOK
	case errors.Is(err, errUsage), errors.Is(err, accept.ErrProposal),
		errors.Is(err, accept.ErrHeadIntact), errors.Is(err, accept.ErrBaseUnknown):
		return exitUsage
	case errors.Is(err, accept.ErrUnknown):
		return exitUnknown
	case errors.Is(err, accept.ErrNotRestorable), errors.Is(err, accept.ErrBaseRemoved),
		errors.Is(err, accept.ErrCorrupt), errors.Is(err, accept.ErrMissing):
		return exitDamaged
	case errors.As(err, &rows), errors.Is(err, agree.ErrInvalid):
		return exitInvalidRows
	case errors.Is(err, accept.ErrConflict), errors.Is(err, accept.ErrBaseRequired),
		errors.Is(err, accept.ErrHeadChanged):
		return exitConflict
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, accept.ErrUnconfirmed), errors.Is(err, context.DeadlineExceeded):
		return exitUnavailable
	case errors.Is(err, errLagging):
		return exitLagging
	case errors.Is(err, demo.ErrInvariantViolated):
		return exitInvariant
	}
	return exitFailed
}
