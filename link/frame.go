package link

import "github.com/marjoramcroft/marjoramcroft/wire"

// kind says what a frame carries.
type kind uint8

const (
	kindCall kind = iota + 1
	kindAnswer
	kindCancel
	kindNotice
	kindPing
	kindPong
)

// frame is one message on a connection. It is an array on the wire, to save the names of its fields.
type frame struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Kind     kind
	ID       uint64 // ties answer and cancellation to a call
	Body     []byte
}

// encode returns f as it is sent.
func (f frame) encode() ([]byte, error) {
	payload, err := wire.Encode(f)
	if err != nil {
		return nil, err
	}
	return wire.AppendFrame(nil, payload)
}
