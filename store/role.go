package store

// Role names a kind of store client; each role has its own call budget.
type Role string

// Roles, with the work that their calls serve.
const (
	RoleDaemon   Role = "Daemon"   // start and bootstrap of a daemon
	RoleRoot     Role = "Root"     // distribution of accepted Versions
	RoleKeeper   Role = "Keeper"   // caps: lease and record of a keeper
	RoleOperator Role = "Operator" // acceptance of changes by operators
)
