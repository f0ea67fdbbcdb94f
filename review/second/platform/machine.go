package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// machine is a VM with a daemon process and the address of a target.
type machine struct {
	name, ip, zone, region, service string
	callers, ready, control, app    string
	link                            int
	settings                        string
	appLn                           net.Listener
	cmd                             *exec.Cmd
	out                             *os.File
	gone                            chan struct{}
}

func freePort(ip string) int {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		panic(err)
	}
	defer ln.Close()
	return ln.Addr().(*net.TCPAddr).Port
}

// newMachine writes the settings of a machine into dir, as the platform fills in deploy/settings.toml.
func newMachine(dir string, i int, zone, region, service, storeAddr string) (*machine, error) {
	ip := fmt.Sprintf("127.0.8.%d", i+1)
	m := &machine{name: fmt.Sprintf("side-%s-%d", zone, i+1), ip: ip, zone: zone, region: region, service: service}
	var err error
	if m.appLn, err = net.Listen("tcp", ip+":0"); err != nil {
		return nil, err
	}
	m.app = m.appLn.Addr().String()
	m.callers = fmt.Sprintf("%s:%d", ip, freePort(ip))
	m.ready = fmt.Sprintf("%s:%d", ip, freePort(ip))
	m.control = fmt.Sprintf("%s:%d", ip, freePort(ip))
	m.link = freePort(ip)
	m.settings = filepath.Join(dir, m.name+".conf")
	text := fmt.Sprintf(`[VM]
Name = %q
IP = %q
Region = %q
DataCentre = %q
MemoryMB = 284
LinkMbps = 1000.0
MaxFiles = 4100

[Listen]
Callers = %q
Ready = %q
Backend = %q
LinkPort = %d
MetricsPort = %d

[Backend]
Service = %q
Addr = %q

[Store]
Addr = %q
LeastLease = "1s"

[Bounds]
InForce = "2.5s"
Touch = "3s"
Grace = "6s"
RetryRatio = 0.2
RetrySlack = 60
RetryWindow = "10s"
`, m.name, ip, region, zone, m.callers, m.ready, m.control, m.link, freePort(ip), service, m.app, storeAddr)
	if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	m.out, err = os.Create(filepath.Join(dir, m.name+".log"))
	return m, err
}

// start starts the daemon with the command of the deploy file.
func (m *machine) start() error {
	m.cmd = exec.Command(daemonPath(), "platform")
	m.cmd.Env = append(os.Environ(), "MARJORAMCROFT_NODE_FILE="+m.settings)
	m.cmd.Stdout, m.cmd.Stderr = m.out, m.out
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.cmd.Start(); err != nil {
		return err
	}
	m.gone = make(chan struct{})
	go func(cmd *exec.Cmd, gone chan struct{}) {
		_ = cmd.Wait()
		close(gone)
	}(m.cmd, m.gone)
	return nil
}

func (m *machine) signal(s syscall.Signal) { _ = m.cmd.Process.Signal(s) }

// kill kills the daemon and waits until it is gone.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	<-m.gone
}

func (m *machine) alive() bool {
	select {
	case <-m.gone:
		return false
	default:
		return true
	}
}

// isReady reports whether /readyz answers 200.
func (m *machine) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Get("http://" + m.ready + "/readyz")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

var errNotReady = errors.New("the daemons are not ready in time")

// awaitReady waits until all daemons are ready.
func awaitReady(ms []*machine, d time.Duration) error {
	end := time.Now().Add(d)
	for _, m := range ms {
		for !m.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%w: %s", errNotReady, m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func daemonPath() string {
	if p := os.Getenv("DAEMON"); p != "" {
		return p
	}
	return "target/marjoramcroftd"
}

// addSettings appends lines to the last table of the settings.
func (m *machine) addSettings(lines string) error {
	f, err := os.OpenFile(m.settings, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	defer f.Close()
	_, err = f.WriteString(lines)
	return err
}

// exit returns how the daemon has ended.
func (m *machine) exit() string { return m.cmd.ProcessState.String() }
