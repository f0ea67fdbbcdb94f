package wire

import "errors"

// Type is the type of a message.
type Type string

// ErrUnknownType is returned by a Handler for a type that it does not handle.
var ErrUnknownType = errors.New("unknown message type")

// Body is a message body that is already encoded, for example one that is sent to many peers.
type Body []byte

// message is the content of a frame: a request, its reply, or a notification, which gets no
// reply. It is encoded as an array, since the field names took a fifth of a heartbeat.
type message struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	ID       uint64   // matches a reply to its request; zero for a notification
	Reply    bool
	Type     Type // empty in a reply, or if the sender's last request or notification had the same type
	Err      string
	Body     []byte
}
