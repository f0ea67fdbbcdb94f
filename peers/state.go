package peers

// State is the state of a backend server.
type State string

// States of a backend server. Only a ready server gets new requests. A gone one is kept for
// a while, so that late messages about it are recognised as outdated.
const (
	Starting State = "Starting"
	Ready    State = "Ready"
	Draining State = "Draining"
	Gone     State = "Gone"
)

// statesByCode lists the states by their wire code.
var statesByCode = []State{Starting, Ready, Draining, Gone}

func (s State) code() uint8 {
	for i, x := range statesByCode {
		if x == s {
			return uint8(i)
		}
	}
	return 0
}

func stateFromCode(code uint8) (State, bool) {
	if int(code) >= len(statesByCode) {
		return "", false
	}
	return statesByCode[code], true
}
