package client

import (
	"errors"
	"flag"
	"fmt"

	"github.com/marjoramcroft/marjoramcroft/accept"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// changeFlags are the flags of a command that replaces the agreement.
type changeFlags struct {
	dryRun bool
	base   uint64
	id     string
}

// register adds the flags to fs. The parameter base is the help text of the flag -base; what names the
// change in the help text of the flag -id.
func (f *changeFlags) register(fs *flag.FlagSet, base, what string) {
	fs.BoolVar(&f.dryRun, "dry-run", false, "show what would change and apply nothing")
	fs.Uint64Var(&f.base, "base", 0, base)
	idFlag(fs, &f.id, what)
}

// idFlag adds the flag -id to fs.
func idFlag(fs *flag.FlagSet, id *string, what string) {
	fs.StringVar(id, "id", "", "change id, to repeat "+what+" whose outcome is unknown")
}

// unknownOutcomeError adds the change id to an error that reports an unknown outcome, so that the operator
// can repeat the change. It returns other errors as they are.
func unknownOutcomeError(id ident.ChangeID, err error) error {
	if errors.Is(err, accept.ErrUnknown) {
		return fmt.Errorf("%w; repeat the command with -id %s", err, id)
	}
	return err
}
