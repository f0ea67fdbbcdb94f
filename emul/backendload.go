package emul

import (
	"encoding/json"
	"maps"
	"net/http"
	"time"
)

// LoadPath is the path at which a backend server reports its load.
const LoadPath = "/load"

// RunsPath is the path at which a backend server reports its counts of runs by request id,
// for checks from another process.
const RunsPath = "/runs"

// maxLoadSamples limits the history from which delayed load reports are taken.
const maxLoadSamples = 4096

// LoadReport is the load that a backend server reports. It may be delayed and misleading.
type LoadReport struct {
	Running int
	Slots   int
}

type loadSample struct {
	at      time.Time
	running int
}

// recordLoad records the load after a change, if load reports are delayed. The caller holds mu.
func (b *Backend) recordLoad() {
	if b.cfg.LoadDelay <= 0 {
		return
	}
	if len(b.loadHistory) >= maxLoadSamples {
		b.loadHistory = append(b.loadHistory[:0], b.loadHistory[maxLoadSamples/2:]...)
	}
	b.loadHistory = append(b.loadHistory, loadSample{time.Now(), b.running})
}

// Load returns the load report: delayed by LoadDelay and multiplied by LoadFactor.
func (b *Backend) Load() LoadReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.running
	if b.cfg.LoadDelay > 0 {
		n = 0
		limit := time.Now().Add(-b.cfg.LoadDelay)
		for i := len(b.loadHistory) - 1; i >= 0; i-- {
			if !b.loadHistory[i].at.After(limit) {
				n = b.loadHistory[i].running
				break
			}
		}
	}
	return LoadReport{Running: int(float64(n) * b.cfg.LoadFactor), Slots: int(b.cfg.Slots)}
}

func (b *Backend) serveRuns(w http.ResponseWriter) {
	b.mu.Lock()
	runs := maps.Clone(b.runs)
	b.mu.Unlock()
	writeJSON(w, runs)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}
