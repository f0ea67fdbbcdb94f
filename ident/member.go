package ident

// MemberID names a member, an organisation that calls the shared services.
type MemberID string
