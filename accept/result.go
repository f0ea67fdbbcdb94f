package accept

import (
	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// Result describes an accepted change.
type Result struct {
	Version ident.Version
	// Repeated reports that the change was already accepted under the same ID.
	Repeated bool
	// Restored is the Version that a restore restored.
	Restored ident.Version
	// Repaired is the damage of the head that a restore replaced; empty if it was intact.
	Repaired string
	// Unchanged reports that head already has the rows of the Version to restore, so that nothing
	// was accepted. Version is then that of head.
	Unchanged bool
	// Rebased reports that other Versions were accepted between the base and this change.
	Rebased bool
	// Change is what was applied to the previous Version; empty if Repeated.
	Change agree.Change
	// Kept lists the rows that a sheet states with their values in its base but that were changed
	// since. They keep the later values, so the agreement differs from the sheet in them.
	Kept []agree.Key
}
