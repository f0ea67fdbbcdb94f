package event

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// blockedTime is how long the output blocks. It is longer than any time that a call could wait for its log line.
const blockedTime = 10 * time.Second

// slowWriter blocks until until.
type slowWriter struct {
	until time.Time
	buf   bytes.Buffer
}

func (w *slowWriter) Write(p []byte) (int, error) {
	time.Sleep(time.Until(w.until))
	return w.buf.Write(p)
}

// TestDroppingWriterNeverBlocks guards against a slow output that delays calls, and against lines that are dropped
// without being counted in the log. In virtual time a busy machine does not count as a delay.
func TestDroppingWriterNeverBlocks(t *testing.T) {
	tests := map[string]struct {
		lines int
		every time.Duration // between the lines
		kept  int
	}{
		"above the rate limit":        {lines: 3 * maxBurstLines, kept: maxBurstLines},
		"more than the queue holds":   {lines: 3 * maxQueuedLines, every: blockedTime / (3*maxQueuedLines + 1), kept: maxQueuedLines + 1},
		"within the limit and queue":  {lines: maxBurstLines, kept: maxBurstLines},
		"within the rate of a second": {lines: maxQueuedLines, every: time.Second / maxLinesPerSecond, kept: maxQueuedLines},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				start := time.Now()
				w := &slowWriter{until: start.Add(blockedTime)}
				b := NewDroppingWriter(w)
				l := New(b, "info")
				for range tt.lines {
					before := time.Now()
					l.Emit(NodeStarted)
					is.Equal(time.Since(before), time.Duration(0)) // the line did not wait for the output
					time.Sleep(tt.every)
					if tt.every > 0 {
						synctest.Wait()
					}
				}
				time.Sleep(blockedTime + 2*reportInterval) // the output has caught up and a report is due
				b.Close()
				dropped := tt.lines - tt.kept
				is.Equal(strings.Count(w.buf.String(), "log lines dropped") > 0, dropped > 0)
				if dropped > 0 {
					is.True(strings.Contains(w.buf.String(), fmt.Sprintf("Lines=%d\n", dropped)))
				}
				reports := strings.Count(w.buf.String(), "log lines dropped")
				is.Equal(strings.Count(w.buf.String(), "\n"), tt.kept+reports)
			})
		})
	}
}
