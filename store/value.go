package store

// Value is a key's data at a revision. Revision 0 means that the key is absent.
type Value struct {
	Key      string
	Data     []byte
	Revision int64
}

// MaxValue is the store's limit on the size of a value, in bytes.
const MaxValue = 1 << 20

// Change is a change of a key: its new value, or its end.
type Change struct {
	Value
	Gone bool
}
