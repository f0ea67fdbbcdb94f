package agree

// Class tells routes for long calls from routes for short calls.
type Class string

// The classes of routes.
const (
	Short Class = "short"
	Long  Class = "long"
)
