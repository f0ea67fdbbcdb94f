package emul

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/refuse"
)

// callsPerBatch is the number of calls of one caller before the target changes. Short batches
// expose both targets to the same background load of the machine.
const callsPerBatch = 100

// errCompare wraps the error of a call that got no valid answer.
var errCompare = errors.New("compare")

// CompareConfig configures a Compare.
type CompareConfig struct {
	Direct ident.Addr // address of the backend server
	Mesh   ident.Addr // address of the entry daemon
	Member ident.MemberID
	// Path and MeshPath are the paths with query of direct calls and of calls through the
	// mesh; an empty MeshPath means Path. The method is GET.
	Path, MeshPath string
	Callers        int // concurrent callers, each without a pause between calls
	Calls          int // per target, over all callers

	// Dial replaces TCP; nil: TCP.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error) `json:"-"`
}

// Comparison is the cost of direct calls and of calls through the mesh.
type Comparison struct {
	Direct, Mesh Latency
	// DirectCPU and MeshCPU are the CPU time of this process per call: that of the caller,
	// and of those daemons and backend servers that run in the process.
	DirectCPU, MeshCPU time.Duration
}

// callTarget is a target of calls with the measurements of its calls.
type callTarget struct {
	addr ident.Addr
	path string
	mu   sync.Mutex
	h    *hdrhistogram.Histogram // µs
	cpu  time.Duration
}

func (c *callTarget) cpuPerCall() time.Duration {
	return c.cpu / time.Duration(max(1, c.h.TotalCount()))
}

// Compare makes calls directly and through the mesh, in alternating batches. The first batch
// of each target opens the connections and is not counted.
func Compare(ctx context.Context, cfg CompareConfig) (Comparison, error) {
	t := &http.Transport{DialContext: cfg.Dial, MaxIdleConnsPerHost: cfg.Callers, DisableCompression: true}
	defer t.CloseIdleConnections()
	if cfg.MeshPath == "" {
		cfg.MeshPath = cfg.Path
	}
	targets := []*callTarget{{addr: cfg.Direct, path: cfg.Path}, {addr: cfg.Mesh, path: cfg.MeshPath}}
	for done := -callsPerBatch * cfg.Callers; done < cfg.Calls; done += callsPerBatch * cfg.Callers {
		for _, c := range targets {
			if done <= 0 {
				c.h, c.cpu = hdrhistogram.New(1, maxLatency.Microseconds(), 3), 0
			}
			if err := c.runBatch(ctx, cfg, t); err != nil {
				return Comparison{}, err
			}
		}
	}
	return Comparison{
		Direct: latencyOf(targets[0].h), Mesh: latencyOf(targets[1].h),
		DirectCPU: targets[0].cpuPerCall(), MeshCPU: targets[1].cpuPerCall(),
	}, nil
}

// runBatch makes callsPerBatch calls with each caller.
func (c *callTarget) runBatch(ctx context.Context, cfg CompareConfig, t *http.Transport) error {
	errs := make([]error, cfg.Callers)
	cpu := CPUTime()
	var wg sync.WaitGroup
	for i := range cfg.Callers {
		wg.Go(func() {
			for range callsPerBatch {
				if errs[i] = c.call(ctx, cfg, t); errs[i] != nil {
					return
				}
			}
		})
	}
	wg.Wait()
	c.cpu += CPUTime() - cpu
	return errors.Join(errs...)
}

func (c *callTarget) call(ctx context.Context, cfg CompareConfig, t *http.Transport) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(c.addr)+c.path, nil)
	if err != nil {
		return fmt.Errorf("%w: %w", errCompare, err)
	}
	req.Header.Set("Marjoramcroft-Member", string(cfg.Member))
	req.Header.Set(HeaderRequest, "compare")
	start := time.Now()
	resp, err := t.RoundTrip(req)
	if err != nil {
		return fmt.Errorf("%w: %w", errCompare, err)
	}
	defer resp.Body.Close()
	first, err := readAnswer(resp.Body)
	took := time.Since(start)
	if err != nil || !strings.HasPrefix(first, "compare") {
		return fmt.Errorf("%w: status %s, %w", errCompare, resp.Status, errors.Join(err, refusalError(resp)))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	// Latencies above maxLatency are recorded as maxLatency.
	_ = c.h.RecordValue(min(took, maxLatency).Microseconds())
	return nil
}

// refusalError returns the refusal in resp as an error, or nil.
func refusalError(resp *http.Response) error {
	if ref := refuse.FromResponse(resp.Header); ref != nil {
		return ref
	}
	return nil
}

// CPUTime returns the CPU time that this process has used.
func CPUTime() time.Duration {
	var u syscall.Rusage
	// Getrusage does not fail for RUSAGE_SELF.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
