package accept

// Kind is the way in which a change states its rows.
type Kind string

// The kinds of changes.
const (
	KindSheet      Kind = "sheet"      // the whole agreement
	KindCorrection Kind = "correction" // single rows
	KindRestore    Kind = "restore"    // the rows of an earlier Version
	KindConfirm    Kind = "confirm"    // a Version that a daemon held when the store had lost it, see Confirm
)
