package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The ports are the same on all machines, which have addresses of their own.
type ports struct{ app, callers, ready, control, link int }

// fleet is a deployment on loopback addresses.
type fleet struct {
	rec      *record
	dir      string
	template string
	ports    ports
	net      string // first three parts of the addresses
	store    *storeServer
	machines []*machine

	mu        sync.Mutex
	logs      []*os.File
	disturbed time.Time // last change of the store or of a process
}

// machine is one machine with its daemon and its target.
type machine struct {
	f                      *fleet
	name, ip, zone, region string
	service                string
	storeAt                string
	memoryMB               int
	target                 *target
	mu                     sync.Mutex
	cmd                    *exec.Cmd
	exited                 chan struct{}
	starts                 int
}

// deployment says what deploy sets up.
type deployment struct {
	services []string
	zones    [][2]string // with regions
	memoryMB int
	slots    int
	work     time.Duration
}

func newFleet(recordPath string) (*fleet, error) {
	rec, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "third")
	if err != nil {
		return nil, fmt.Errorf("temporary folder: %w", err)
	}
	t, err := os.ReadFile("deploy/settings.toml")
	if err != nil {
		return nil, fmt.Errorf("run this in the repository: %w", err)
	}
	f := &fleet{rec: rec, dir: dir, template: string(t), store: newStoreServer()}
	f.net = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
	free := func() int {
		ln, err := net.Listen("tcp", f.net+".250:0")
		if err != nil {
			return 0
		}
		defer ln.Close()
		return ln.Addr().(*net.TCPAddr).Port
	}
	f.ports = ports{free(), free(), free(), free(), free()}
	if p := f.ports; len(map[int]bool{0: true, p.app: true, p.callers: true, p.ready: true, p.control: true, p.link: true}) < 6 {
		return nil, errors.New("no free ports")
	}
	return f, nil
}

// close ends all that was started.
func (f *fleet) close() {
	for _, m := range f.machines {
		m.kill()
		if m.target != nil {
			m.target.stop()
		}
	}
	f.store.close()
	for _, l := range f.logs {
		_ = l.Close()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs:", f.dir)
	}
}

// deploy creates one machine for each service in each zone, and starts the targets.
func (f *fleet) deploy(d deployment) error {
	for _, service := range d.services {
		for _, z := range d.zones {
			i := len(f.machines) + 1
			m := &machine{f: f, name: fmt.Sprintf("side-%s-%d", z[0], i), ip: fmt.Sprintf("%s.%d", f.net, i), zone: z[0], region: z[1], service: service, memoryMB: d.memoryMB}
			f.machines = append(f.machines, m)
			ln, err := net.Listen("tcp", m.addr(f.ports.app))
			if err != nil {
				return fmt.Errorf("target: %w", err)
			}
			sl, err := net.Listen("tcp", f.net+".251:0")
			if err != nil {
				return fmt.Errorf("store: %w", err)
			}
			m.storeAt = sl.Addr().String()
			f.store.serve(sl, m.name)
			m.target = &target{
				rec: f.rec, id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, addr: m.addr(f.ports.app), zone: z[0],
				control: m.addr(f.ports.control), slots: d.slots, work: d.work,
			}
			m.target.start(ln)
		}
	}
	return nil
}

func (m *machine) addr(port int) string { return net.JoinHostPort(m.ip, strconv.Itoa(port)) }

var (
	section     = regexp.MustCompile(`(?s)\{\{#([^}]+)\}\}(.*?)\{\{/[^}]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([^}]+)\}\}`)
)

// settings fills in the template of the settings.
func (m *machine) settings() string {
	fields := map[string]string{
		"node": m.name, "ip": m.ip, "region": m.region, "zone": m.zone, "limits.memory_mb": strconv.Itoa(m.memoryMB),
		"limits.link_mbps": "1000.0", "limits.max_fds": "4100", "listen.outbound": m.addr(m.f.ports.callers),
		"listen.ready": m.addr(m.f.ports.ready), "listen.control": m.addr(m.f.ports.control),
		"port_range.0": strconv.Itoa(m.f.ports.link), "service": m.service, "app_addr": m.addr(m.f.ports.app),
		"platform.addr": m.storeAt, "platform.min_ttl_s": "1", "bounds.config_s": "2.5", "bounds.touch_s": "3",
		"bounds.grace_s": "6", "bounds.retry_ratio": "0.2", "bounds.retry_slack": "60", "bounds.retry_window_s": "10",
	}
	text := section.ReplaceAllStringFunc(m.f.template, func(s string) string {
		p := section.FindStringSubmatch(s)
		v, ok := fields[p[1]]
		if !ok {
			return ""
		}
		return strings.ReplaceAll(p[2], "{{.}}", v)
	})
	return placeholder.ReplaceAllStringFunc(text, func(s string) string { return fields[s[2:len(s)-2]] })
}

// start starts the daemon with the command of the deploy file.
func (m *machine) start() error {
	path := filepath.Join(m.f.dir, m.name+".toml")
	if err := os.WriteFile(path, []byte(m.settings()), 0o600); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.starts++
	out, err := os.Create(filepath.Join(m.f.dir, fmt.Sprintf("%s.%d.log", m.name, m.starts)))
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	m.f.mu.Lock()
	m.f.logs = append(m.f.logs, out)
	m.f.mu.Unlock()
	cmd := exec.Command("target/marjoramcroftd", "platform")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "MARJORAMCROFT_NODE_FILE=" + path}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start daemon: %w", err)
	}
	exited := make(chan struct{})
	m.cmd, m.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// kill ends the daemon with SIGKILL and waits for its end.
func (m *machine) kill() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return
	}
	_ = m.cmd.Process.Kill() // fails if it has ended
	<-m.exited
}

// ended reports whether the daemon has ended.
func (m *machine) ended() bool {
	select {
	case <-m.exited:
		return true
	default:
		return false
	}
}

// anonymousMB returns the anonymous memory of the daemon in use, in MB; 0 if it has ended.
func (m *machine) anonymousMB() int {
	m.mu.Lock()
	pid := m.cmd.Process.Pid
	m.mu.Unlock()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
			if err == nil {
				return kb >> 10
			}
		}
	}
	return 0
}

func (m *machine) ready() bool {
	c := http.Client{Timeout: time.Second}
	res, err := c.Get("http://" + m.addr(m.f.ports.ready) + "/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// startAll starts all daemons and waits until they are ready.
func (f *fleet) startAll() error {
	for _, m := range f.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	return f.awaitReady(20 * time.Second)
}

func (f *fleet) awaitReady(d time.Duration) error {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, m := range f.machines {
			if m.ready() {
				ready++
			}
		}
		if ready == len(f.machines) {
			return nil
		}
	}
	return errors.New("not all daemons are ready")
}

// route is a route of the configuration.
type route struct {
	name, kind, service string
	timeout, goal       float64
}

func (r *route) host() string   { return r.name + ".example" }
func (r *route) prefix() string { return "/" + r.name + "/" }

// configure writes a configuration to the store, as the operator does.
func (f *fleet) configure(version int, routes []route) error {
	var list, services []map[string]any
	seen := map[string]bool{}
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.name, "host": r.host(), "prefix": r.prefix(), "kind": r.kind, "timeout_s": r.timeout, "goal_s": r.goal,
			"priority": 1, "service": r.service, "max_attempts": 2,
		})
		if !seen[r.service] {
			seen[r.service] = true
			services = append(services, map[string]any{"name": r.service, "health_path": "/healthz", "max_conns": 120, "protocol": "h1", "tls": false})
		}
	}
	b, err := json.Marshal(map[string]any{
		"version": version, "routes": list, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
	})
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	f.store.put("op/config", b)
	f.rec.logf("operator: configuration %d is acknowledged", version)
	return nil
}

// result is what a client got. Status 0: no answer.
type result struct {
	status     int
	stamp      string
	body       []byte
	retryAfter time.Duration
	err        error
}

// call sends one request of a client at m, on a new connection.
func (m *machine) call(r *route, method, id string, deadline time.Duration, body []byte, header http.Header) result {
	req, err := http.NewRequest(method, "http://"+m.addr(m.f.ports.callers)+r.prefix()+"x", bytes.NewReader(body))
	if err != nil {
		return result{err: err}
	}
	for k, v := range header {
		req.Header[k] = v
	}
	req.Host = r.host()
	req.Header.Set(headerRequest, id)
	req.Header.Set(headerDeadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	c := http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Do(req)
	if err != nil {
		return result{err: err}
	}
	defer res.Body.Close()
	var b bytes.Buffer
	if _, err := b.ReadFrom(res.Body); err != nil {
		return result{err: err}
	}
	retry, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64) // zero: none
	return result{
		status: res.StatusCode, stamp: res.Header.Get(headerStamp), body: b.Bytes(),
		retryAfter: time.Duration(retry * float64(time.Second)),
	}
}
