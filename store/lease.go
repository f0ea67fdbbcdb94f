package store

import "strconv"

// LeaseID identifies a lease. Zero means no lease.
type LeaseID int64

// String formats id in decimal.
func (id LeaseID) String() string { return strconv.FormatInt(int64(id), 10) }
