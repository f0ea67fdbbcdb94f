package event

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// slowWriter blocks while mu is locked.
type slowWriter struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (w *slowWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(p)
}

// TestDroppingWriterNeverBlocks guards against a slow output that delays calls, and against lines that are dropped
// without being counted in the log.
func TestDroppingWriterNeverBlocks(t *testing.T) {
	is := is.New(t)
	w := &slowWriter{}
	w.mu.Lock() // the output blocks
	b := NewDroppingWriter(w)
	l := New(b, "info")
	start := time.Now()
	for range 3 * maxBurstLines {
		l.Emit(NodeStarted)
	}
	is.True(time.Since(start) < 2*time.Second)
	w.mu.Unlock()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		w.mu.Lock()
		reported := strings.Contains(w.buf.String(), "log lines dropped")
		w.mu.Unlock()
		if reported {
			break
		}
	}
	b.Close()
	is.True(strings.Contains(w.buf.String(), "log lines dropped"))
	is.True(strings.Count(w.buf.String(), "\n") <= maxBurstLines+maxLinesPerSecond*5+5)
}
