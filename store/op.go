package store

// op names a kind of call in counters and errors.
type op string

const (
	opGet    op = "Get"
	opList   op = "List"
	opSwap   op = "Swap"
	opDelete op = "Delete"
	opGrant  op = "Grant"
	opRenew  op = "Renew"
	opRevoke op = "Revoke"
	opWatch  op = "Watch"

	opSnapshot op = "Snapshot"
)

// isWrite reports whether the call changes the store.
func (o op) isWrite() bool {
	switch o {
	case opGet, opList, opWatch, opSnapshot:
		return false
	}
	return true
}

// isRepeatable reports whether a second run of the call has the effect of one.
func (o op) isRepeatable() bool {
	switch o {
	case opSwap, opDelete, opGrant:
		return false
	}
	return true
}
