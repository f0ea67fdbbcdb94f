package origin

import "errors"

// Errors of Client.Do. They are matched with errors.Is.
var (
	// ErrNotSent means that no byte of the request was written: it has not run.
	ErrNotSent = errors.New("request not sent")
	// ErrRefused means that the backend server's address accepts no connection: it has not run.
	ErrRefused = errors.New("backend server accepts no connection")
	// ErrLost means that the request was written and has no complete answer: it may have run.
	ErrLost = errors.New("answer lost")
	// ErrSpoiled is an ErrLost with an answer that cannot be the backend server's to this request.
	ErrSpoiled = errors.New("answer unusable")
)
