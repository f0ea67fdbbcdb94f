// Package origin is the HTTP/1.1 client towards the backend server beside a daemon. It sends one
// request at a time on a connection, never repeats one by itself, and tells for each failure
// whether the request may have run.
package origin
