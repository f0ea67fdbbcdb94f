package main

import (
	"encoding/json"
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
	"syscall"
	"time"
)

// machine is a machine with an application target and a daemon.
type machine struct {
	c       *cluster
	name    string
	zone    string
	service string
	ip      string
	target  *target

	mu        sync.Mutex
	cmd       *exec.Cmd
	done      chan struct{} // closed when the daemon has ended
	disturbed time.Time     // when the daemon last got a signal, ended or started
}

// cluster is a deployment on loopback addresses.
type cluster struct {
	rec      *record
	repo     string
	dir      string // temporary
	ports    map[string]int
	store    *kvStore
	storeAt  string
	machines []*machine
	version  int
}

// place is a machine of a deployment.
type place struct{ zone, service string }

// newCluster starts the store, the daemons and the targets at places, and puts config into force.
func newCluster(rec *record, repo string, slots int, places []place, config map[string]any) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	c := &cluster{rec: rec, repo: repo, dir: dir, store: newKVStore()}
	if _, err := os.Stat(filepath.Join(repo, daemonPath)); err != nil {
		return c, err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return c, err
	}
	c.storeAt = ln.Addr().String()
	go c.store.serve(ln)
	for i, p := range places {
		c.machines = append(c.machines, &machine{
			c: c, name: fmt.Sprintf("side-%s-%s", p.zone, p.service), zone: p.zone, service: p.service, ip: fmt.Sprintf("127.0.%d.%d", 60+os.Getpid()%100, 10+i),
		})
	}
	if err := c.choosePorts(); err != nil {
		return c, err
	}
	c.configure(config)
	for _, m := range c.machines {
		if err := m.start(); err != nil {
			return c, err
		}
		m.target = newTarget(rec, m.service, m.zone, m.addr("app"), m.addr("control"), slots)
		if err := m.target.begin(); err != nil {
			return c, err
		}
	}
	return c, c.awaitReady(c.machines...)
}

// choosePorts chooses ports that are free on all machines, and the same there.
func (c *cluster) choosePorts() error {
	c.ports = map[string]int{}
	for _, name := range []string{"outbound", "inbound", "ready", "control", "app", "link", "metrics"} {
		for range 50 {
			// The kernel gives ports above these to outgoing connections.
			if port := 10000 + rand.IntN(20000); c.isFree(port) {
				c.ports[name] = port
				break
			}
		}
		if c.ports[name] == 0 {
			return fmt.Errorf("no free port for %s", name)
		}
	}
	return nil
}

func (c *cluster) isFree(port int) bool {
	for _, p := range c.ports {
		if p == port {
			return false
		}
	}
	for _, m := range c.machines {
		ln, err := net.Listen("tcp", net.JoinHostPort(m.ip, strconv.Itoa(port)))
		if err != nil {
			return false
		}
		_ = ln.Close()
	}
	return true
}

// configure writes a configuration as the operator does. It is a copy of config with the next version.
func (c *cluster) configure(config map[string]any) {
	c.version += 3
	out := map[string]any{"version": c.version}
	for k, v := range config {
		out[k] = v
	}
	b, err := json.Marshal(out)
	if err != nil {
		panic(err)
	}
	c.store.operate("op/config", b)
	c.rec.log("operator: version %d is acknowledged: %s", c.version, b)
}

func (m *machine) addr(port string) string {
	return net.JoinHostPort(m.ip, strconv.Itoa(m.c.ports[port]))
}

// region returns the region of a zone of the small deployment.
func region(zone string) string {
	if strings.HasPrefix(zone, "dgp") {
		return "daugavpils"
	}
	return "riga"
}

// daemonPath is the program that the deploy file builds.
const daemonPath = "target/marjoramcroftd"

var (
	placeholder = regexp.MustCompile(`\{\{([a-z0-9_.]+)\}\}`)
	// section is rendered only if its value is present.
	section = regexp.MustCompile(`\{\{#([a-z0-9_.]+)\}\}(.*?)\{\{/[^}]+\}\}`)
)

// settings fills in the template of the deploy file as the platform does.
func (m *machine) settings() (string, error) {
	b, err := os.ReadFile(filepath.Join(m.c.repo, "deploy/settings.toml"))
	if err != nil {
		return "", err
	}
	fields := map[string]string{
		"node": m.name, "ip": m.ip, "region": region(m.zone), "zone": m.zone, "limits.memory_mb": "284", "limits.link_mbps": "100", "limits.max_fds": "4100",
		"listen.outbound": m.addr("outbound"), "listen.inbound": m.addr("inbound"), "listen.ready": m.addr("ready"), "listen.control": m.addr("control"),
		"port_range.0": strconv.Itoa(m.c.ports["link"]), "service": m.service, "app_addr": m.addr("app"),
		"platform.addr": m.c.storeAt, "platform.min_ttl_s": "1",
		"bounds.config_s": "2.5", "bounds.touch_s": "3", "bounds.grace_s": "6",
		"bounds.retry_ratio": "0.2", "bounds.retry_slack": "60", "bounds.retry_window_s": "10",
	}
	var missing []string
	text := section.ReplaceAllStringFunc(string(b), func(s string) string {
		m := section.FindStringSubmatch(s)
		if v, ok := fields[m[1]]; ok {
			return strings.ReplaceAll(m[2], "{{.}}", v)
		}
		return ""
	})
	out := placeholder.ReplaceAllStringFunc(text, func(s string) string {
		v, ok := fields[s[2:len(s)-2]]
		if !ok {
			missing = append(missing, s)
		}
		return v
	})
	if len(missing) > 0 {
		return "", fmt.Errorf("settings template: no value for %s", strings.Join(missing, ", "))
	}
	// The template's fixed metrics port may be in use on this host.
	return strings.Replace(out, "MetricsPort = 9464", fmt.Sprintf("MetricsPort = %d", m.c.ports["metrics"]), 1), nil
}

// start starts the daemon with the command of the deploy file.
func (m *machine) start() error {
	text, err := m.settings()
	if err != nil {
		return err
	}
	path := filepath.Join(m.c.dir, m.name+".conf")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.c.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(filepath.Join(m.c.repo, daemonPath), "platform")
	cmd.Dir = m.c.repo
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MARJORAMCROFT_NODE_FILE=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.done, m.disturbed = cmd, done, time.Now()
	m.mu.Unlock()
	m.c.rec.log("daemon of %s starts", m.name)
	go func() {
		_ = cmd.Wait()
		m.mu.Lock()
		m.disturbed = time.Now()
		m.mu.Unlock()
		m.c.rec.log("daemon of %s has ended: %s", m.name, cmd.ProcessState)
		close(done)
	}()
	return nil
}

// signal sends a signal to the daemon.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.c.rec.log("daemon of %s gets %s", m.name, s)
	m.disturbed = time.Now()
	_ = m.cmd.Process.Signal(s)
}

// inTouch reports whether the daemon has run without a disturbance for the bound touch_s.
func (m *machine) inTouch() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.disturbed) > touch
}

// restart starts the daemon again after it has ended and pause has passed.
func (m *machine) restart(pause time.Duration) error {
	m.mu.Lock()
	done := m.done
	m.mu.Unlock()
	<-done
	time.Sleep(pause)
	return m.start()
}

// isReady asks the daemon whether it is ready.
func (m *machine) isReady() bool {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get("http://" + m.addr("ready") + "/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// awaitReady waits until the daemons of machines are ready and their targets are acknowledged.
func (c *cluster) awaitReady(machines ...*machine) error {
	end := time.Now().Add(20 * time.Second)
	for _, m := range machines {
		for !m.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("daemon of %s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
		select {
		case <-m.target.ready:
		case <-time.After(time.Until(end)):
			return fmt.Errorf("no heartbeat of %s is acknowledged", m.name)
		}
	}
	c.rec.log("all daemons are ready")
	return nil
}

// close ends the daemons and removes the temporary folder.
func (c *cluster) close() {
	for _, m := range c.machines {
		m.mu.Lock()
		cmd, done := m.cmd, m.done
		m.mu.Unlock()
		if cmd != nil {
			_ = cmd.Process.Signal(syscall.SIGCONT)
			_ = cmd.Process.Kill()
			<-done
		}
	}
	if keep := os.Getenv("REVIEW_KEEP"); keep != "" {
		c.rec.log("logs are kept in %s", c.dir)
		return
	}
	_ = os.RemoveAll(c.dir)
}

// machine returns the machine of a service in a zone.
func (c *cluster) machine(zone, service string) *machine {
	for _, m := range c.machines {
		if m.zone == zone && m.service == service {
			return m
		}
	}
	panic("no machine of " + service + " in " + zone)
}

// totalRuns returns how often all targets ran the request id.
func (c *cluster) totalRuns(id string) int {
	n := 0
	for _, m := range c.machines {
		n += m.target.ran(id)
	}
	return n
}
