package emul

import (
	"strings"

	"github.com/marjoramcroft/marjoramcroft/wire"
)

// headerSize is the size in bytes of the header of a frame of wire.
const headerSize = 8

// frame mirrors a message of wire, to decode its kind.
type frame struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	ID       uint64
	Reply    bool
	Type     wire.Type
	Err      string
	Body     []byte
}

// readFrame decodes the frame b, which must come from a single write. A request or notice without
// a type has the type of the one before it in the stream.
func (s *stream) readFrame(b []byte) frame {
	var f frame
	if len(b) < headerSize || wire.Decode(b[headerSize:], &f) != nil {
		return frame{Type: "unknown"}
	}
	if f.Reply {
		return f
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Type == "" {
		f.Type = s.last
	}
	s.last = f.Type
	return f
}

// isUpdate reports whether f is a request or notice of fanout.
func (f frame) isUpdate() bool { return strings.HasPrefix(string(f.Type), "fanout.") }
