package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports and bounds of the deployment; the bounds are those of kiosco-ruta.
const (
	callerPort  = 8149
	readyPort   = 8141
	controlPort = 8144

	contact = 3 * time.Second
	drain   = 2 * time.Second
	beat    = 1200 * time.Millisecond
)

// machine is a machine of the system with its process.
type machine struct {
	name, ip, zone string
	core           bool
	process        *exec.Cmd
	exited         chan struct{}
}

// site is a deployment of five core machines and three edge machines in three zones.
type site struct {
	rec       *record
	program   string
	folder    string
	network   string
	bootstrap bool
	machines  []*machine
	// ready holds the edge machines that the balancer has in rotation.
	mu       sync.Mutex
	ready    map[string]bool
	replicas []*replica
	stopping chan struct{}
	work     sync.WaitGroup
}

func newSite(program string, rec *record) (*site, error) {
	program, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	s := &site{rec: rec, program: program, folder: folder, bootstrap: true, ready: map[string]bool{}, stopping: make(chan struct{})}
	for try := 0; s.network == "" && try < 50; try++ {
		network := fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), rand.IntN(250))
		if portsAreFree(network) {
			s.network = network
		}
	}
	if s.network == "" {
		os.RemoveAll(folder)
		return nil, errors.New("no free loopback addresses")
	}
	zones := []string{"a", "b", "c"}
	for i := range 5 {
		s.machines = append(s.machines, &machine{name: fmt.Sprintf("core-%d", i+1), ip: fmt.Sprintf("%s.%d", s.network, 1+i), zone: zones[i%3], core: true})
	}
	for i := range 3 {
		s.machines = append(s.machines, &machine{name: fmt.Sprintf("edge-%d", i+1), ip: fmt.Sprintf("%s.%d", s.network, 21+i), zone: zones[i%3]})
	}
	return s, nil
}

// portsAreFree reports whether the machines and replicas of a network can open their ports.
func portsAreFree(network string) bool {
	for _, host := range []int{1, 2, 3, 4, 5, 21, 22, 23, 41, 42, 43, 44, 45, 46} {
		for _, port := range []int{callerPort, readyPort, controlPort, 7380, 9464, 8080} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, host, port))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

func (s *site) cores() []*machine { return s.machines[:5] }
func (s *site) edges() []*machine { return s.machines[5:] }

// settings returns the settings file of a machine, as the platform writes it.
func (s *site) settings(m *machine, data string) string {
	class, role, listen := "edge", "entry", fmt.Sprintf("frontend = \"%s:%d\"\nreadiness = \"%s:%d\"\n", m.ip, callerPort, m.ip, readyPort)
	serves, disk, folder := "edge", 0, ""
	if m.core {
		class, role, serves, disk = "core", "core", "control_plane", 128
		listen = fmt.Sprintf("control_plane = \"%s:%d\"\n", m.ip, controlPort)
		folder = fmt.Sprintf("data_dir = %q\n", data)
	}
	var seeds []string
	for _, c := range s.cores()[:3] {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", c.ip, controlPort)))
	}
	return fmt.Sprintf(`node_name = %q
role = %q
machine_class = %q
serves = [%q]
ip = %q
zone = %q
region = "r"
internal_ports = [7380,7395]
seeds = [%s]
bootstrap = %v
fault_counted = %v
discovery = "self_registration"
entry = "virtual_ip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","split","stream","engine"]
config_mode = "highest"
%s[zones]
a = "r"
b = "r"
c = "r"
[listen]
%s[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
disk_mb = %d
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
downgrade_slack_ms = 250
outer_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_allowance = 54
recovery_s = 12
transit_ms = 120
reuse_window_s = 10
fencing_enabled = true
lease_ms = 3000
thaw_ms = 300
`, m.name, role, class, serves, m.ip, m.zone, strings.Join(seeds, ","), s.bootstrap, m.core, folder, listen, disk)
}

// start starts the processes of machines.
func (s *site) start(machines ...*machine) error {
	for _, m := range machines {
		folder := filepath.Join(s.folder, m.name)
		data, settings := filepath.Join(folder, "data"), filepath.Join(folder, "local.toml")
		if err := os.MkdirAll(data, 0o755); err != nil {
			return err
		}
		if err := os.WriteFile(settings, []byte(s.settings(m, data)), 0o644); err != nil {
			return err
		}
		log, err := os.OpenFile(filepath.Join(folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return err
		}
		m.process = exec.Command(s.program, "node")
		m.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + folder, "CAMPHORHINGE_CONFIG=" + settings}
		m.process.Stdout, m.process.Stderr = log, log
		if err := m.process.Start(); err != nil {
			return err
		}
		log.Close()
		m.exited = make(chan struct{})
		go func(p *exec.Cmd, exited chan struct{}) {
			_ = p.Wait()
			close(exited)
		}(m.process, m.exited)
	}
	return nil
}

// kill kills the processes of machines at the same moment and waits for their ends.
func (s *site) kill(machines ...*machine) {
	for _, m := range machines {
		_ = m.process.Process.Signal(syscall.SIGKILL)
	}
	for _, m := range machines {
		<-m.exited
	}
}

// begin starts all machines, the balancer and the replicas, and applies the first manifest.
func (s *site) begin(manifest []byte, replicas ...*replica) error {
	if err := s.start(s.machines...); err != nil {
		return err
	}
	s.bootstrap = false // It is true only at the first start of the whole system.
	s.work.Go(s.balance)
	if err := s.apply(manifest, 15*time.Second); err != nil {
		return err
	}
	for _, r := range replicas {
		if err := s.add(r); err != nil {
			return err
		}
	}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if len(s.inRotation()) == len(s.edges()) {
			time.Sleep(2 * time.Second)
			return nil
		}
	}
	return errors.New("the edge machines don't get ready")
}

// close ends all processes and stand-ins.
func (s *site) close() {
	close(s.stopping)
	for _, m := range s.machines {
		if m.process != nil {
			_ = m.process.Process.Signal(syscall.SIGCONT)
			s.kill(m)
		}
	}
	for _, r := range s.replicas {
		r.exit()
	}
	s.work.Wait()
	os.RemoveAll(s.folder)
}

// call makes one call to a port and returns its status and body; the status is 0 without an answer.
func call(timeout time.Duration, method, address, path string, body []byte) (int, []byte) {
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	out, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, out
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// apply sends a manifest to one core machine after the other until it is acknowledged.
func (s *site) apply(manifest []byte, limit time.Duration) error {
	for i, end := 0, time.Now().Add(limit); time.Now().Before(end); i++ {
		m := s.cores()[i%len(s.cores())]
		status, answer := call(2*time.Second, http.MethodPost, m.address(controlPort), "/-/config/replace", manifest)
		s.rec.printf("operator: manifest to %s: %d", m.name, status)
		switch {
		case status == http.StatusOK:
			return nil
		case status >= 400 && status < 500:
			return fmt.Errorf("the manifest is refused: %s", answer)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errors.New("the manifest is not acknowledged")
}

// balance keeps the edge machines in rotation that answer the readiness check: two misses in a row take one out.
func (s *site) balance() {
	misses := map[string]int{}
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		for _, m := range s.edges() {
			status, _ := call(500*time.Millisecond, http.MethodGet, m.address(readyPort), "/-/readyz", nil)
			s.mu.Lock()
			if status == http.StatusOK {
				misses[m.name], s.ready[m.name] = 0, true
			} else if misses[m.name]++; misses[m.name] >= 2 {
				delete(s.ready, m.name)
			}
			s.mu.Unlock()
		}
		select {
		case <-s.stopping:
			return
		case <-ticker.C:
		}
	}
}

// inRotation returns the edge machines in rotation, or all if there are none.
func (s *site) inRotation() []*machine {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*machine
	for _, m := range s.edges() {
		if s.ready[m.name] {
			out = append(out, m)
		}
	}
	return out
}

// manifest returns a manifest with one route to a plain service.
func manifest(version int) []byte {
	data, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "orders", "hostname": "kiosco.example", "path_prefix": "/orders/", "type": "non_idempotent", "timeout_ms": 2000,
			"target_latency_ms": 300, "priority": 2, "service": "pedidos", "max_attempts": 1, "session_affinity": false, "resumable": false,
		}},
		"services": []map[string]any{{"name": "pedidos", "health_path": "/healthz", "max_connections": 100, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		panic(err)
	}
	return data
}
