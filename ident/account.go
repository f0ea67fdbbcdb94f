package ident

// AccountID names a client account, a customer whose callers present one of its keys.
type AccountID string
