// Package origin is the HTTP/1.1 client for the backend server beside a daemon. It sends one request at a
// time on a connection, never retries, and reports for each failure whether the request may have run.
package origin
