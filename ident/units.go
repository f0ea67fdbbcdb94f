package ident

// Units is a number of concurrent calls, in which caps and slots are measured.
type Units int
