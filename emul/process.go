package emul

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// maxLogged limits the lines of one kind in the log of a Process: one a second, for some minutes. Lines about calls are not
	// limited here: each call has one, and the log drops those above 400 a second.
	maxLogged = 300
	// maxLogLine limits a line of the log, which must not hold what a client has sent without a bound.
	maxLogLine = 2 << 10
	// lastLogBytes is how much of the log an error shows.
	lastLogBytes = 2000
)

// Process is a process under test with a limited number of descriptors.
type Process struct {
	cmd    *exec.Cmd
	log    processLog
	files  int
	exited chan struct{}
	err    error // of the exit
}

// processLog is the output of a process. It is safe for concurrent use.
type processLog struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write appends p.
func (l *processLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p) //nolint:wrapcheck // never fails
}

func (l *processLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// StartProcess starts the program bin, which can open at most files descriptors, with the additional environment env.
func StartProcess(files int, env []string, bin string, args ...string) (*Process, error) {
	p := &Process{files: files, exited: make(chan struct{})}
	// The shell sets the limit of the process that replaces it.
	p.cmd = exec.Command("/bin/sh", append([]string{"-c", `ulimit -n "$0" && exec "$@"`, strconv.Itoa(files), bin}, args...)...)
	p.cmd.Stdout, p.cmd.Stderr = &p.log, &p.log
	p.cmd.Env = append(os.Environ(), env...)
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start process: %w", err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.exited)
	}()
	return p, nil
}

// Stop kills the process and waits for its end.
func (p *Process) Stop() {
	_ = p.cmd.Process.Kill() // fails if it has ended
	<-p.exited
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error {
	if err := p.cmd.Process.Signal(s); err != nil {
		return fmt.Errorf("signal process: %w", err)
	}
	return nil
}

// Exited returns a channel that is closed when the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Log returns the output of the process so far.
func (p *Process) Log() string { return p.log.String() }

// MemoryMB returns the memory in use and the most that was in use, in MB; -1 if the process has ended.
func (p *Process) MemoryMB() (now, most int) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return -1, -1
	}
	return statusMB(string(b), "VmRSS"), statusMB(string(b), "VmHWM")
}

// statusMB returns a field of the status of a process in MB; -1: there is none.
func statusMB(status, field string) int {
	for line := range strings.Lines(status) {
		if rest, ok := strings.CutPrefix(line, field+":"); ok {
			if kb, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(rest), " kB")); err == nil {
				return kb >> 10
			}
		}
	}
	return -1
}

// Descriptors returns the number of open descriptors; -1 if the process has ended.
func (p *Process) Descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		return -1
	}
	return len(entries)
}

// AwaitAccepted waits until the process accepts no more connections: its descriptors have not changed for a while. A slow
// machine can only hide a fault by that, not report one.
func (p *Process) AwaitAccepted() {
	const still, pause = 20, 25 * time.Millisecond
	for n, last, end := 0, -1, time.Now().Add(20*time.Second); n < still && time.Now().Before(end); time.Sleep(pause) {
		now := p.Descriptors()
		if now == last {
			n++
		} else {
			n, last = 0, now
		}
	}
}

// Check returns an error if the process has ended, if it has used memoryMB or all its descriptors, or if its log is long
// or has a long line.
func (p *Process) Check(memoryMB int) error {
	_, most := p.MemoryMB()
	files, log := p.Descriptors(), p.Log()
	select {
	case <-p.exited:
		return fmt.Errorf("the process has ended: %w\n%s", p.err, log[max(0, len(log)-lastLogBytes):])
	default:
	}
	var errs []error
	if most < 0 || most >= memoryMB {
		errs = append(errs, fmt.Errorf("%d MB in use at most, the VM has %d MB", most, memoryMB))
	}
	if files < 0 || files >= p.files {
		errs = append(errs, fmt.Errorf("%d descriptors in use, the limit is %d", files, p.files))
	}
	return errors.Join(append(errs, checkLog(log))...)
}

// callEvents are the numbers of events that are written once for each call.
var callEvents = map[string]bool{"801": true, "802": true, "803": true, "804": true, "805": true, "654": true}

// checkLog returns an error if log has a long line, or many lines of one kind. Lines without an event are one kind.
func checkLog(log string) error {
	kinds := map[string]int{}
	for line := range strings.Lines(log) {
		if len(line) > maxLogLine {
			return fmt.Errorf("a log line of %d bytes: %.200s", len(line), line)
		}
		_, rest, _ := strings.Cut(line, "Event=")
		kind, _, _ := strings.Cut(rest, " ")
		if kinds[kind]++; kinds[kind] > maxLogged && !callEvents[kind] {
			return fmt.Errorf("more than %d log lines such as: %s", maxLogged, line)
		}
	}
	return nil
}
