package link

import "errors"

// Errors of Conn.Call. They are matched with errors.Is.
var (
	// ErrNotSent means that no byte of the call was written.
	ErrNotSent = errors.New("call not sent")
	// ErrLost means that the connection ended, or the caller left, after the call was written.
	ErrLost = errors.New("answer of the daemon lost")
)
