package link

import "errors"

// Errors returned by Conn.Call, to be matched with errors.Is.
var (
	// ErrNotSent means that no byte of the call was written.
	ErrNotSent = errors.New("call not sent")
	// ErrLost means that after the call was written the connection failed, the caller gave up or the other daemon could
	// not send the answer.
	ErrLost = errors.New("answer of the daemon lost")
)
