package ident

// ChangeID identifies a change to the agreement that an operator submitted.
type ChangeID string
