package link

import "github.com/marjoramcroft/marjoramcroft/wire"

// kind is the type of a frame. Unknown kinds are ignored, as daemons of two builds run side by side during a rolling
// restart.
type kind uint8

const (
	kindCall kind = iota + 1
	kindAnswer
	kindCancel
	kindNotice
	kindPing
	kindPong
	kindStop    // the sender is ending the connection and wants no further calls
	kindStopped // answers kindStop: the sender sends no further calls
	kindReads   // the sender reads the kinds in Body, one byte each, which daemons of earlier builds do not know
	kindChunk   // part of an answer; kindAnswer has the last part. One without a body ends the answer without the rest.
	kindMark    // asks for kindMarked with the same ID, which shows that the frames before have arrived
	kindMarked
)

// frame is one message on a connection. It is encoded as an array, which omits the field names.
type frame struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Kind     kind
	ID       uint64 // matches answers and cancellations to calls
	Body     []byte
}

// encode returns f in its wire format, including the frame header.
func (f frame) encode() ([]byte, error) {
	payload, err := wire.Encode(f)
	if err != nil {
		return nil, err
	}
	return wire.AppendFrame(nil, payload)
}
