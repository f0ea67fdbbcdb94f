package ident

// Addr is the HOST:PORT address of a daemon or backend server.
type Addr string
