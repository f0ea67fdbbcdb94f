package origin

import "errors"

// Errors returned by Client.Do, to be matched with errors.Is.
var (
	// ErrNotSent means that no byte of the request was written, so it has not run.
	ErrNotSent = errors.New("request not sent")
	// ErrRefused means that the backend server's address accepts no connection, so the request has not run.
	ErrRefused = errors.New("backend server accepts no connection")
	// ErrLost means that the request was written but got no complete answer, so it may have run.
	ErrLost = errors.New("answer lost")
	// ErrInvalidAnswer accompanies ErrLost if an answer arrived that cannot be the backend server's answer to
	// this request.
	ErrInvalidAnswer = errors.New("answer unusable")
)
