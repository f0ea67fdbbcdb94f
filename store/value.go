package store

// Value is the data of a key at a revision. Revision 0 means that the key does not exist.
type Value struct {
	Key      string
	Data     []byte
	Revision int64
	Era      Era // of the answer that holds the value
}

// Position returns the point in the history of the store at which the key was written last.
func (v Value) Position() Position { return Position{Era: v.Era, Revision: v.Revision} }

// MaxValue is the store's limit on the size of a value, in bytes.
const MaxValue = 1 << 20

// Change is a write or deletion of a key.
type Change struct {
	Value
	Deleted bool // the key was deleted
}
