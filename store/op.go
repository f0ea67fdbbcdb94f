package store

// op is a kind of store call. Its value is part of counter names and error messages.
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

	opSnapshot  op = "Snapshot"
	opStaleList op = "StaleList"
)

// isWrite reports whether the call changes the store.
func (o op) isWrite() bool {
	switch o {
	case opGet, opList, opWatch, opSnapshot, opStaleList:
		return false
	}
	return true
}

// isIdempotent reports whether running the call twice has the same effect as running it once.
func (o op) isIdempotent() bool {
	switch o {
	case opSwap, opDelete, opGrant:
		return false
	}
	return true
}
