package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

var (
	processes            = flag.Int("processes", 0, "number of daemons in TestMeasureProcess; 0 skips it")
	rows                 = flag.Int("rows", 1000, "rows of the agreement in TestMeasureProcess")
	correctionsPerMinute = flag.Int("changes", 0, "corrections per minute in TestMeasureProcess")
	secondSheet          = flag.Bool("second", false, "upload a second sheet that changes each cap in TestMeasureProcess")
	measureFor           = flag.Duration("measure", time.Minute, "duration of the measurement in TestMeasureProcess")
)

// clockTicksPerSecond converts the CPU times in /proc/PID/stat (USER_HZ) to seconds.
const clockTicksPerSecond = 100

// fleet is an emulated store and daemons that run as processes on the loopback interface.
type fleet struct {
	t         *testing.T
	dir       string
	storeAddr string
	daemons   []*exec.Cmd
	httpAddrs []string
}

// TestMeasureProcess measures resident memory, CPU time and control bytes of
// daemon processes: go test ./bench -run TestMeasureProcess -v -processes 30 -rows 1000.
func TestMeasureProcess(t *testing.T) {
	if *processes == 0 {
		return
	}
	f := &fleet{t: t, dir: t.TempDir()}
	f.build()
	f.startStore()
	for i := range *processes {
		f.startDaemon(i)
	}
	f.upload(9)
	f.waitVersion("1")
	if *secondSheet {
		time.Sleep(5 * time.Second) // memory of the first sheet is returned to the system
		f.upload(10, "-base", "1")
		f.waitVersion("2")
	}
	time.Sleep(10 * time.Second) // let the start-up traffic end
	cpu, sent := f.cpuSeconds(), f.controlBytes()
	ctx, stop := context.WithTimeout(t.Context(), *measureFor)
	defer stop()
	corrections := f.correct(ctx)
	<-ctx.Done()
	seconds := measureFor.Seconds()
	n := len(f.daemons)
	var cpus, bytesPerS []float64
	var rss, peak []int
	after, sentAfter := f.cpuSeconds(), f.controlBytes()
	for i := range n {
		cpus = append(cpus, 100*(after[i]-cpu[i])/seconds)
		bytesPerS = append(bytesPerS, (sentAfter[i]-sent[i])/seconds)
		rss, peak = append(rss, f.memoryKB(i, "VmRSS:")), append(peak, f.memoryKB(i, "VmHWM:"))
	}
	slices.Sort(cpus)
	slices.Sort(bytesPerS)
	slices.Sort(rss)
	slices.Sort(peak)
	fmt.Printf("%d daemons, %d rows, %d corrections in %s\n", n, *rows, corrections, *measureFor)
	fmt.Printf("CPU, %% of a core: median %.2f, highest %.2f\n", cpus[n/2], cpus[n-1])
	fmt.Printf("resident memory, MB: median %.1f, highest %.1f\n", float64(rss[n/2])/1e3, float64(rss[n-1])/1e3)
	fmt.Printf("peak resident memory since the start, MB: median %.1f, highest %.1f\n", float64(peak[n/2])/1e3, float64(peak[n-1])/1e3)
	fmt.Printf("control messages, bytes/s without frames: median %.0f, highest %.0f\n", bytesPerS[n/2], bytesPerS[n-1])
}

func (f *fleet) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) build() {
	out, err := exec.CommandContext(f.t.Context(), "go", "build", "-o", f.dir+"/", "../cmd/...").CombinedOutput()
	if err != nil {
		f.t.Fatalf("build: %v\n%s", err, out)
	}
}

func (f *fleet) start(name string, args ...string) *exec.Cmd {
	cmd := exec.Command(filepath.Join(f.dir, name), args...)
	f.must(cmd.Start())
	f.t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGKILL)
		_ = cmd.Wait()
	})
	return cmd
}

func freePort(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

func (f *fleet) startStore() {
	f.storeAddr = freePort(f.t)
	f.start("marjoramcroft", "emulate", "-listen", f.storeAddr, "store")
	time.Sleep(300 * time.Millisecond)
}

func (f *fleet) startDaemon(i int) {
	addr := freePort(f.t)
	f.httpAddrs = append(f.httpAddrs, addr)
	region := i % 10 * 4 / 10
	f.daemons = append(f.daemons, f.start("marjoramcroftd",
		"-listen.http", addr, "-listen.control", freePort(f.t), "-log.level", "error",
		"-place.region", fmt.Sprintf("region-%d", region), "-place.datacentre", fmt.Sprintf("dc-%d", i%10),
		"-store.region", "region-0", "-store.endpoint", "http://"+f.storeAddr))
	body, err := json.Marshal(map[string]any{
		"Service": fmt.Sprintf("service-%d", i/10%6), "Backend": addr, "Slots": 9, "Conns": 120, "State": "Ready",
	})
	f.must(err)
	go f.announce(addr, body)
}

// announce sends the announcements of a backend server every second.
func (f *fleet) announce(addr string, body []byte) {
	for f.t.Context().Err() == nil {
		resp, err := http.Post("http://"+addr+"/marjoramcroft/announce", "application/json", bytes.NewReader(body))
		if err == nil {
			_ = resp.Body.Close()
		}
		time.Sleep(time.Second)
	}
}

func (f *fleet) client(args ...string) error {
	cmd := exec.CommandContext(f.t.Context(), filepath.Join(f.dir, "marjoramcroft"), append(args[:1:1],
		append([]string{"-store.endpoint", "http://" + f.storeAddr}, args[1:]...)...)...)
	out, err := cmd.CombinedOutput()
	if err != nil {
		return fmt.Errorf("%s: %w\n%s", args[0], err, out)
	}
	return nil
}

// upload writes a sheet whose caps have the given units and uploads it; args are passed to the client.
func (f *fleet) upload(units int, args ...string) {
	var b strings.Builder
	b.WriteString("Kind,Member,Service,Route,Units,Prefix\n")
	for s := range 6 {
		fmt.Fprintf(&b, "service,,service-%d,,,\n", s)
	}
	for m := 0; m*3 < *rows; m++ {
		s := m % 6
		fmt.Fprintf(&b, "member,m%d,,,,\ncap,m%d,service-%d,,%d,\nroute,m%d,service-%d,r%d,,/\n", m, m, s, units, m, s, m)
	}
	path := filepath.Join(f.dir, "sheet.csv")
	f.must(os.WriteFile(path, []byte(b.String()), 0o600))
	f.must(f.client(append(append([]string{"upload"}, args...), path)...))
}

// correct makes correctionsPerMinute corrections until ctx ends and returns their number.
func (f *fleet) correct(ctx context.Context) int {
	if *correctionsPerMinute == 0 {
		return 0
	}
	n := 0
	for tick := time.NewTicker(time.Minute / time.Duration(*correctionsPerMinute)); ; n++ {
		select {
		case <-ctx.Done():
			tick.Stop()
			return n
		case <-tick.C:
		}
		f.must(f.client("set", "cap", "Member=m0", "Service=service-0", "Units="+strconv.Itoa(10+n)))
	}
}

func (f *fleet) waitVersion(v string) {
	for _, addr := range f.httpAddrs {
		for f.get(addr, "version") != v {
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func (f *fleet) get(addr, page string) string {
	resp, err := http.Get("http://" + addr + "/marjoramcroft/" + page)
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	var b bytes.Buffer
	_, _ = b.ReadFrom(resp.Body)
	return strings.TrimSpace(b.String())
}

// controlBytes returns the bytes of the control messages that each daemon handled.
func (f *fleet) controlBytes() []float64 {
	out := make([]float64, len(f.httpAddrs))
	for i, addr := range f.httpAddrs {
		var all map[string]float64
		f.must(json.Unmarshal([]byte(f.get(addr, "metrics?prefix=Control.Bytes")), &all))
		for _, v := range all {
			out[i] += v
		}
	}
	return out
}

// cpuSeconds returns the CPU time that each daemon has used, in seconds.
func (f *fleet) cpuSeconds() []float64 {
	var out []float64
	for _, d := range f.daemons {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", d.Process.Pid))
		f.must(err)
		fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
		user, err := strconv.ParseFloat(fields[11], 64)
		f.must(err)
		system, err := strconv.ParseFloat(fields[12], 64)
		f.must(err)
		out = append(out, (user+system)/clockTicksPerSecond)
	}
	return out
}

// memoryKB returns a field of a daemon's /proc/PID/status in kB.
func (f *fleet) memoryKB(i int, field string) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", f.daemons[i].Process.Pid))
	f.must(err)
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, field); ok {
			n, err := strconv.Atoi(strings.Fields(rest)[0])
			f.must(err)
			return n
		}
	}
	f.t.Fatal("no field " + field)
	return 0
}
