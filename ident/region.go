package ident

// Region names a region, a group of data centres.
type Region string
