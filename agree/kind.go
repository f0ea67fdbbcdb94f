package agree

// Kind is the type of a row; it determines which fields the row uses.
type Kind string

// The kinds of rows.
const (
	KindMember  Kind = "member"
	KindService Kind = "service"
	KindCap     Kind = "cap"
	KindRoute   Kind = "route"
)
