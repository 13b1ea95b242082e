package main

import (
	"bufio"
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

// errSetup marks a failure that keeps a case from running.
var errSetup = errors.New("the case could not run")

const (
	portFrontend  = 8149
	portReadiness = 8141
	portControl   = 8144
	portInternal  = 7380
	portMetrics   = 9464
)

// record writes what was sent, answered and run to record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(folder string) (*record, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{file: f, start: time.Now()}, nil
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// cluster is a small deployment on loopback addresses.
type cluster struct {
	program string
	dir     string
	network string
	cores   []string
	entries []string
	rec     *record

	mu    sync.Mutex
	nodes map[string]*exec.Cmd
}

// newCluster chooses a loopback network whose ports are free.
func newCluster(program string, rec *record, cores, entries int) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	c := &cluster{program: program, dir: dir, rec: rec, nodes: map[string]*exec.Cmd{}}
	for range 50 {
		c.network = fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), rand.IntN(250))
		c.cores, c.entries = nil, nil
		for i := range cores {
			c.cores = append(c.cores, fmt.Sprintf("%s.%d", c.network, 11+i))
		}
		for i := range entries {
			c.entries = append(c.entries, fmt.Sprintf("%s.%d", c.network, 31+i))
		}
		if c.free() {
			return c, nil
		}
	}
	return nil, fmt.Errorf("%w: no free loopback network", errSetup)
}

func (c *cluster) free() bool {
	for _, ip := range append(append([]string{}, c.cores...), c.entries...) {
		for _, port := range []int{portFrontend, portReadiness, portControl, portInternal, portMetrics} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

func (c *cluster) isCore(ip string) bool {
	for _, x := range c.cores {
		if x == ip {
			return true
		}
	}
	return false
}

// settings writes the settings file of a machine and returns its path.
func (c *cluster) settings(ip string, first bool) (string, error) {
	var seeds []string
	for _, x := range c.cores[:min(3, len(c.cores))] {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", x, portControl)))
	}
	class, serves, listen, disk := "edge", "edge", fmt.Sprintf("frontend = \"%s:%d\"\nreadiness = \"%s:%d\"\n", ip, portFrontend, ip, portReadiness), 0
	data, counted := "", false
	if c.isCore(ip) {
		class, serves, listen, disk, counted = "core", "control_plane", fmt.Sprintf("control_plane = \"%s:%d\"\n", ip, portControl), 128, true
		folder := filepath.Join(c.dir, "data-"+ip)
		if err := os.MkdirAll(folder, 0o700); err != nil {
			return "", err
		}
		data = fmt.Sprintf("data_dir = %q\n", folder)
	}
	text := fmt.Sprintf(`node_name = "%s-%s"
role = "%s"
machine_class = "%s"
serves = ["%s"]
ip = "%s"
zone = "lima-norte"
region = "lima"
internal_ports = [%d,%d]
seeds = [%s]
bootstrap = %t
fault_counted = %t
discovery = "self_registration"
entry = "virtual_ip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","split","stream","engine"]
config_mode = "highest"
%s[zones]
lima-norte = "lima"
[listen]
%s[limits]
cpu_share = 0.96
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
disk_mb = %d
[fault_tolerance]
machines = %d
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
`, class, ip, class, class, serves, ip, portInternal, portInternal+15, strings.Join(seeds, ","), first, counted, data, listen, disk, (len(c.cores)-1)/2)
	path := filepath.Join(c.dir, "local-"+ip+".toml")
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// launch starts the process of a machine.
func (c *cluster) launch(ip string, first bool) error {
	path, err := c.settings(ip, first)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(c.dir, ip+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	// As in deploy/system.toml: "target/camphorhinge node", started in the root of the repository.
	cmd := exec.Command(c.program, "node")
	cmd.Dir = filepath.Dir(filepath.Dir(c.program))
	cmd.Env = append(os.Environ(), "CAMPHORHINGE_CONFIG="+path)
	cmd.Stdout, cmd.Stderr = log, log
	// The process ends with the case, also when the case is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	c.mu.Lock()
	c.nodes[ip] = cmd
	c.mu.Unlock()
	return nil
}

// end sends a signal to the process of a machine and waits for its end.
func (c *cluster) end(ip string, sig syscall.Signal) {
	c.mu.Lock()
	cmd := c.nodes[ip]
	delete(c.nodes, ip)
	c.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Signal(sig)
	_ = cmd.Wait()
}

// signal sends a signal to the process of a machine.
func (c *cluster) signal(ip string, sig syscall.Signal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cmd := c.nodes[ip]; cmd != nil {
		_ = cmd.Process.Signal(sig)
	}
}

// stop ends all processes and removes the temporary folder.
func (c *cluster) stop() {
	for _, ip := range append(append([]string{}, c.cores...), c.entries...) {
		c.end(ip, syscall.SIGKILL)
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("kept", c.dir)
		return
	}
	os.RemoveAll(c.dir)
}

func (c *cluster) controls() []string {
	var out []string
	for _, ip := range c.cores {
		out = append(out, fmt.Sprintf("%s:%d", ip, portControl))
	}
	return out
}

func (c *cluster) frontend(i int) string { return fmt.Sprintf("%s:%d", c.entries[i], portFrontend) }

// startAll starts all machines for the first time.
func (c *cluster) startAll() error {
	for _, ip := range append(append([]string{}, c.cores...), c.entries...) {
		if err := c.launch(ip, true); err != nil {
			return fmt.Errorf("%w: %w", errSetup, err)
		}
	}
	return nil
}

// send makes one call with a body of JSON and returns status and body, or 0 without an answer.
func send(method, url string, body []byte, timeout time.Duration) (int, []byte) {
	client := &http.Client{
		Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return nil },
	}
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

// apply sends a manifest until a node acknowledges it.
func (c *cluster) apply(manifest any, within time.Duration) error {
	data, err := json.Marshal(manifest)
	if err != nil {
		return err
	}
	until := time.Now().Add(within)
	for i := 0; time.Now().Before(until); i++ {
		if status, _ := send("POST", "http://"+c.controls()[i%len(c.cores)]+"/-/config/replace", data, time.Second); status == 200 {
			c.rec.printf("manifest acknowledged")
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%w: no manifest was acknowledged", errSetup)
}

// awaitReady waits until all edge nodes are ready.
func (c *cluster) awaitReady(within time.Duration) error {
	until := time.Now().Add(within)
	for _, ip := range c.entries {
		for {
			status, _ := send("GET", fmt.Sprintf("http://%s:%d/-/readyz", ip, portReadiness), nil, time.Second)
			if status == 200 {
				break
			}
			if time.Now().After(until) {
				return fmt.Errorf("%w: %s is not ready", errSetup, ip)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// replica is a stand-in for a replica, which speaks HTTP/1.1 on plain connections.
type replica struct {
	id, service string
	address     string
	engine      bool
	stage       string
	slots       int
	born        int64
	rec         *record
	// serve answers one request; it returns false when the connection must be closed.
	serve func(r *replica, k *link, q *http.Request, body []byte) bool

	mu   sync.Mutex
	seq  int
	runs map[string]int
	// left is when the confirmation came that the replica leaves, or zero.
	left time.Time
	// quit ends the heartbeats.
	quit chan struct{}
	once sync.Once
	l    net.Listener
	// open holds the open connections.
	open map[net.Conn]bool
}

// link is a connection to a replica. Note holds what a case keeps with it.
type link struct {
	net.Conn
	number int
	note   any
}

func newReplica(id, service, address string, rec *record) (*replica, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errSetup, err)
	}
	return &replica{
		id: id, service: service, address: l.Addr().String(), slots: 8, born: time.Now().UnixMilli(), rec: rec,
		runs: map[string]int{}, quit: make(chan struct{}), l: l, open: map[net.Conn]bool{},
	}, nil
}

// ran counts a run of an attempt and returns how often the replica ran it.
func (r *replica) ran(attempt string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[attempt]++
	r.rec.printf("%s runs %s (run %d here)", r.id, attempt, r.runs[attempt])
	return r.runs[attempt]
}

func (r *replica) count(attempt string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[attempt]
}

// run serves until stop is called.
func (r *replica) run(controls []string) {
	go r.beat(controls)
	for n := 1; ; n++ {
		conn, err := r.l.Accept()
		if err != nil {
			return
		}
		go r.handle(&link{Conn: conn, number: n})
	}
}

// stopBeats ends the heartbeats.
func (r *replica) stopBeats() { r.once.Do(func() { close(r.quit) }) }

// stop ends the replica with its connections.
func (r *replica) stop() {
	r.stopBeats()
	r.l.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for k := range r.open {
		k.Close()
	}
}

func (r *replica) beat(controls []string) {
	for i := 0; ; i++ {
		r.mu.Lock()
		r.seq++
		fields := map[string]any{
			"service": r.service, "address": r.address, "zone": "lima-norte", "version": "v1", "slots": r.slots,
			"state": "ready", "cold_remaining_ms": 0, "sequence": r.seq, "born": r.born,
		}
		if r.engine {
			fields["stage"] = r.stage
			fields["models"] = []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
		}
		r.mu.Unlock()
		data, _ := json.Marshal(fields)
		for j := range controls {
			if status, _ := send("POST", "http://"+controls[(i+j)%len(controls)]+"/-/instances/"+r.id+"/heartbeat", data, time.Second); status/100 == 2 {
				break
			}
		}
		select {
		case <-r.quit:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

func (r *replica) handle(k *link) {
	r.mu.Lock()
	r.open[k.Conn] = true
	r.mu.Unlock()
	defer func() {
		k.Close()
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.open, k.Conn)
	}()
	br := bufio.NewReader(k)
	for {
		q, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		attempt := q.Header.Get("X-Attempt-Id")
		if want := q.Header.Get("X-Expected-Instance"); want != "" && want != r.id {
			r.rec.printf("%s answers 421 to %s, which is for %s", r.id, attempt, want)
			if _, err := k.Write(answer(421, attempt, "", map[string]string{"X-Not-Executed": "1"})); err != nil {
				return
			}
			continue
		}
		if !r.serve(r, k, q, body) {
			return
		}
	}
}

// answer returns the bytes of an answer with a content length.
func answer(status int, attempt, body string, header map[string]string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	if attempt != "" {
		fmt.Fprintf(&b, "X-Attempt-Id: %s\r\n", attempt)
	}
	for k, v := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	b.WriteString("\r\n" + body)
	return b.Bytes()
}

// result is what a requester received.
type result struct {
	status int
	header http.Header
	body   string
	err    error
}

// requester sends requests on kept connections.
type requester struct {
	address string
	conn    net.Conn
	br      *bufio.Reader
}

func (c *requester) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// send sends one request and returns the answer.
func (c *requester) send(head string, body string, wait time.Duration) result {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return result{err: err}
		}
		c.conn, c.br = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(wait))
	if _, err := io.WriteString(c.conn, head+body); err != nil {
		c.close()
		return result{err: err}
	}
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		c.close()
		return result{err: err}
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil || resp.Close {
		c.close()
	}
	return result{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}
