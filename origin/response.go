package origin

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Response is the whole answer of a backend server.
type Response struct {
	Status   int
	Header   http.Header
	Body     []byte
	Stamped  bool   // made by the backend server
	NotRun   bool   // the backend server states that it did not run the request
	Instance string // of the backend server that answered, if it says so
	Load     Load
	keep     time.Duration // how long the connection may stay idle; zero: not stated
}

// Load is the load that a backend server states.
type Load struct {
	Known    bool
	Running  int
	Waiting  int
	Slots    int
	Slowness int // duration of work at this moment in percent of the usual; zero: not stated
}

// parseLoad reads a load header. Fields that are not numbers make the load unknown.
func parseLoad(s string) Load {
	if s == "" {
		return Load{}
	}
	var n [4]int
	parts := strings.Split(s, ",")
	if len(parts) < 3 {
		return Load{}
	}
	for i, p := range parts[:min(len(parts), len(n))] {
		v, err := strconv.Atoi(strings.TrimSpace(p))
		if err != nil {
			return Load{}
		}
		n[i] = v
	}
	return Load{Known: true, Running: n[0], Waiting: n[1], Slots: n[2], Slowness: n[3]}
}

// parseKeepAlive returns the idle timeout that a response states; zero if there is none.
func parseKeepAlive(s string) time.Duration {
	for part := range strings.SplitSeq(s, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n > 0 {
			return time.Duration(n) * time.Second
		}
	}
	return 0
}
