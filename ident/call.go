package ident

import "strconv"

// CallID identifies a call within the mesh.
type CallID uint64

// String formats id in hexadecimal.
func (id CallID) String() string {
	return strconv.FormatUint(uint64(id), 16)
}
