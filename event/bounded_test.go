package event

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// slowWriter blocks until it is released.
type slowWriter struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (w *slowWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(p)
}

// TestBoundedNeverBlocks guards against a slow output that holds up calls, and against lines that are dropped
// without a word.
func TestBoundedNeverBlocks(t *testing.T) {
	is := is.New(t)
	w := &slowWriter{}
	w.mu.Lock() // the output takes nothing
	b := NewBounded(w)
	l := New(b, "info")
	began := time.Now()
	for range 3 * burstLines {
		l.Emit(NodeStarted)
	}
	is.True(time.Since(began) < 2*time.Second)
	w.mu.Unlock()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		w.mu.Lock()
		told := strings.Contains(w.buf.String(), "log lines dropped")
		w.mu.Unlock()
		if told {
			break
		}
	}
	b.Close()
	is.True(strings.Contains(w.buf.String(), "log lines dropped"))
	is.True(strings.Count(w.buf.String(), "\n") <= burstLines+maxLines*5+5)
}
