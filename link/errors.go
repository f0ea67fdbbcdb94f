package link

import "errors"

// Errors returned by Conn.Call, to be matched with errors.Is.
var (
	// ErrNotSent means that no byte of the call was written.
	ErrNotSent = errors.New("call not sent")
	// ErrLost means that the connection failed, or the caller gave up, after the call was written.
	ErrLost = errors.New("answer of the daemon lost")
)
