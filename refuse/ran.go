package refuse

// Ran states whether a call ran on a backend server.
type Ran string

// The values of Ran. RanNo guarantees that no byte of the call reached a backend server.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)
