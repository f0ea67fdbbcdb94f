package agree

// Key identifies a row within an agreement: "KIND/ID" or, for caps, "cap/MEMBER/SERVICE".
type Key string
