package admit

import "time"

// Outcome describes how an admitted call ended.
type Outcome struct {
	Service time.Duration // from the arrival of the call at the backend server to the complete response
	Shed    bool          // the backend server refused the call because it is overloaded
	Failed  bool          // Service does not reflect the work, so it is not recorded
}
