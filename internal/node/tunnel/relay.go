package tunnel

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/node/dial"
)

const (
	// maxTunnels bounds the connections through one relay, also without a bound of their memory.
	maxTunnels = 512
	// tunnelBytes is the memory of one connection: a buffer for each direction, and what the connections to both ends take.
	tunnelBytes = 2*bufferSize + 8<<10
	// relayDialTimeout bounds connecting to a target.
	relayDialTimeout = 300 * time.Millisecond
	// quietTime is how long a connection has been without a byte from the target, after its last one, when it is taken for
	// idle during a stop.
	quietTime = time.Second
	// drainPoll is the time between two checks during a stop.
	drainPoll = 50 * time.Millisecond
)

// Notices holds what a target stated, in answers to requests that this node passed on, about further ones.
type Notices interface {
	// Closed reports whether the target wants no requests now.
	Closed() bool
	// Record records the head of an answer, and reports whether the target wants no requests from now on.
	Record(status int, header http.Header) (closed bool)
}

// RelayConfig holds the dependencies of a Relay.
type RelayConfig struct {
	Dialer NetDialer
	// Known reports whether an address is that of a target.
	Known func(address string) bool
	// Notices returns those of the target at an address, or nil if there is none. With a nil function no answer is examined.
	Notices func(address string) Notices
	// Silent is how long the connection of a node may leave sent data or probes unacknowledged before it fails.
	Silent time.Duration
	// Bytes is the memory of all connections; 0 means no bound of its own.
	Bytes int64
	// Connections bounds the connections to targets, each of which takes a descriptor beside the one of the node's connection; 0 means no
	// bound of its own.
	Connections int
	Clock       camphorhinge.Clock
	Log         *slog.Logger
	Metrics     *metrics.Set
}

// Relay connects other nodes to targets. It handles requests with the method CONNECT.
type Relay struct {
	cfg     RelayConfig
	total   *metrics.Counter
	refused *metrics.Counter
	// requests and answers count bytes.
	requests, answers *metrics.Counter

	// most is the greatest number of connections.
	most int

	mu       sync.Mutex
	tunnels  map[*tunnel]struct{}
	opening  int
	stopping bool
}

// NewRelay returns a Relay. Drain must be called.
func NewRelay(cfg RelayConfig) *Relay {
	most := maxTunnels
	if cfg.Bytes > 0 {
		most = int(min(cfg.Bytes/tunnelBytes, maxTunnels))
	}
	if cfg.Connections > 0 {
		most = min(most, cfg.Connections)
	}
	return &Relay{
		cfg: cfg, tunnels: make(map[*tunnel]struct{}), most: most,
		total:    cfg.Metrics.GetOrCreateCounter(MetricsPrefix + "relayed_total"),
		refused:  cfg.Metrics.GetOrCreateCounter(MetricsPrefix + "refused_total"),
		requests: cfg.Metrics.GetOrCreateCounter(MetricsPrefix + `bytes_total{direction="to_target"}`),
		answers:  cfg.Metrics.GetOrCreateCounter(MetricsPrefix + `bytes_total{direction="to_node"}`),
	}
}

// tunnel is a connection between a node and a target.
type tunnel struct {
	node, target net.Conn
	// address is that of the target.
	address string
	// notices are those of the target, or nil.
	notices Notices
	// writing guards writes to node.
	writing sync.Mutex
	// sending guards writes to target, sendFailed, which is set when one has failed, and sent, the number of bytes that were sent.
	sending    sync.Mutex
	sendFailed bool
	sent       uint64
	// retiring is set when the node must be told that it must not use the connection for a further request.
	retiring atomic.Bool
	// awaited is set while the node has sent something and the target has not answered yet.
	awaited atomic.Bool
	// used is set once the node has sent something.
	used atomic.Bool
	// repliedAt is the time of the target's last byte if that came after the node's last one, or 0.
	repliedAt atomic.Int64
}

// idle reports whether the tunnel carries no request, as far as can be told from outside.
func (t *tunnel) idle(now camphorhinge.Instant) bool {
	replied := camphorhinge.Instant(t.repliedAt.Load())
	return !t.used.Load() || replied > 0 && now.Sub(replied) >= quietTime
}

func (t *tunnel) close() {
	t.node.Close()
	t.target.Close()
}

// ServeHTTP implements http.Handler for the method CONNECT.
func (r *Relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	refuse := func(status int, kind Kind, err error) {
		r.refused.Inc()
		r.cfg.Log.Debug("connection not relayed", "target", req.Host, "from", req.RemoteAddr, "kind", kind, "error", err)
		w.Header().Set(headerKind, string(kind))
		w.Header().Set("Connection", "close") // What the node sends next is meant for the target and is no request.
		w.WriteHeader(status)
	}
	if !r.cfg.Known(req.Host) {
		refuse(http.StatusNotFound, KindUnknown, nil)
		return
	}
	var notices Notices
	if r.cfg.Notices != nil {
		notices = r.cfg.Notices(req.Host)
	}
	if notices != nil && notices.Closed() {
		refuse(http.StatusServiceUnavailable, KindUnwanted, nil)
		return
	}
	if !r.reserve() {
		refuse(http.StatusServiceUnavailable, KindBusy, nil)
		return
	}
	target, err := r.dial(req.Context(), req.Host)
	if err != nil {
		r.add(nil)
		kind := KindSilent
		if errors.Is(err, syscall.ECONNREFUSED) {
			kind = KindRefused
		}
		refuse(http.StatusBadGateway, kind, err)
		return
	}
	node, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		r.add(nil)
		target.Close()
		refuse(http.StatusNotImplemented, KindBusy, err)
		return
	}
	accepted := node
	if wrapper, ok := node.(interface{ NetConn() net.Conn }); ok {
		accepted = wrapper.NetConn()
	}
	if tcp, ok := accepted.(*net.TCPConn); ok {
		if err := dial.SetProbing(tcp, r.cfg.Silent); err != nil {
			r.cfg.Log.Warn("relayed connection without probes", "from", req.RemoteAddr, "error", err)
		}
	}
	t := &tunnel{node: node, target: target, address: req.Host, notices: notices}
	if !r.add(t) {
		t.close()
		return
	}
	r.total.Inc()
	if _, err := io.WriteString(node, "HTTP/1.1 200 OK\r\n\r\n"); err != nil {
		r.cfg.Log.Debug("relayed connection lost", "target", req.Host, "error", err)
		r.remove(t)
		return
	}
	r.run(t, buffered.Reader)
}

// reserve reserves a place for a tunnel, which add takes.
func (r *Relay) reserve() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping || len(r.tunnels)+r.opening >= r.most {
		return false
	}
	r.opening++
	return true
}

// add puts a tunnel in its reserved place, or frees the place if t is nil. It returns false during a stop.
func (r *Relay) add(t *tunnel) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.opening--
	if t == nil || r.stopping {
		return false
	}
	r.tunnels[t] = struct{}{}
	return true
}

func (r *Relay) remove(t *tunnel) {
	t.close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.tunnels, t)
}

func (r *Relay) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, relayDialTimeout)
	defer cancel()
	return r.cfg.Dialer.DialContext(ctx, "tcp", address)
}

// run copies in both directions until one of the connections ends.
func (r *Relay) run(t *tunnel, fromNode io.Reader) {
	var g errgroup.Group
	g.Go(func() error {
		err := r.copyRequests(t, fromNode)
		if !t.failedToSend() {
			t.close()
		}
		return err
	})
	err := r.copyAnswers(t)
	r.remove(t)
	if requestErr := g.Wait(); requestErr != nil || err != nil {
		r.cfg.Log.Debug("relayed connection ended", "target", t.target.RemoteAddr(), "error", err, "request_error", requestErr)
	}
}

// copyRequests copies what the node sends.
func (r *Relay) copyRequests(t *tunnel, from io.Reader) error {
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			t.used.Store(true)
			t.repliedAt.Store(0)
			t.awaited.Store(true)
			r.requests.Add(n)
			if err := t.sendRequest(buffer[:n]); err != nil {
				return err
			}
		}
		if err != nil {
			return endOf(err)
		}
	}
}

// sendRequest sends bytes to the target.
func (t *tunnel) sendRequest(p []byte) error {
	t.sending.Lock()
	defer t.sending.Unlock()
	n, err := t.target.Write(p)
	t.sent += uint64(n)
	t.sendFailed = t.sendFailed || err != nil
	return err
}

// failedToSend reports whether the target's connection has ended for writes. What was received from it before is still passed on.
func (t *tunnel) failedToSend() bool {
	t.sending.Lock()
	defer t.sending.Unlock()
	return t.sendFailed
}

// delivered returns how many bytes of the node the target's machine has received, and whether that is all that has arrived here. It is
// called after the end of the target's connection. A failed write to the target may have consumed the error of a reset, so that the end
// of the connection looks like a regular one.
func (t *tunnel) delivered() (sent uint64, all bool) {
	if unread(t.node) > 0 || unacknowledged(t.target) > 0 {
		return 0, false
	}
	t.sending.Lock()
	defer t.sending.Unlock()
	return t.sent, !t.sendFailed && unread(t.node) == 0 && unacknowledged(t.target) == 0
}

// copyAnswers copies what the target sends in frames. The end mark follows only if the target closed its connection after it had received
// all that the node sent; one that was reset ends without it.
func (r *Relay) copyAnswers(t *tunnel) error {
	buffer := make([]byte, frameHeader+bufferSize)
	for {
		n, err := t.target.Read(buffer[frameHeader:])
		if n > 0 {
			t.repliedAt.Store(int64(r.cfg.Clock.Now()))
			r.answers.Add(n)
			if t.awaited.Swap(false) {
				r.examine(t, buffer[frameHeader:frameHeader+n])
			}
		}
		if n == 0 && errors.Is(err, io.EOF) {
			sent, all := t.delivered()
			if !all {
				return io.ErrUnexpectedEOF
			}
			return t.send(putEnd(buffer, sent))
		}
		if n > 0 {
			putFrameLength(buffer, n)
			if err := t.send(buffer[:frameHeader+n]); err != nil {
				return err
			}
		}
		if err != nil && n == 0 {
			return endOf(err)
		}
	}
}

// examine records what the target states in the head of an answer. A head that does not come in one piece is left out.
func (r *Relay) examine(t *tunnel, answer []byte) {
	end := bytes.Index(answer, []byte("\r\n\r\n"))
	if t.notices == nil || end < 0 {
		return
	}
	resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(answer[:end+4])), nil)
	if err != nil {
		r.cfg.Log.Debug("answer not examined", "target", t.address, "error", err)
		return
	}
	resp.Body.Close()
	if resp.StatusCode < http.StatusOK {
		t.awaited.Store(true)
	}
	if t.notices.Record(resp.StatusCode, resp.Header) {
		r.retire(t.address)
	}
}

// retire tells the nodes that are connected to a target that they must not use the connections for further requests.
func (r *Relay) retire(address string) {
	var tunnels []*tunnel
	r.mu.Lock()
	for t := range r.tunnels {
		if t.address == address {
			tunnels = append(tunnels, t)
		}
	}
	r.mu.Unlock()
	for _, t := range tunnels {
		t.retiring.Store(true)
		if err := t.sendDueMark(); err != nil {
			r.cfg.Log.Debug("relayed connection lost", "target", t.address, "error", err)
			t.close()
		}
	}
}

// send sends a frame to the node, and the retireMark if that is due.
func (t *tunnel) send(frame []byte) error {
	t.writing.Lock()
	err := t.sendMark()
	if err == nil {
		_, err = t.node.Write(frame)
	}
	t.writing.Unlock()
	if err != nil {
		return err
	}
	return t.sendDueMark()
}

// sendDueMark sends the retireMark if it is due, unless a frame is being sent, after which it is called again.
func (t *tunnel) sendDueMark() error {
	if !t.retiring.Load() || !t.writing.TryLock() {
		return nil
	}
	defer t.writing.Unlock()
	return t.sendMark()
}

// sendMark sends the retireMark if it is due. The caller holds t.writing.
func (t *tunnel) sendMark() error {
	if !t.retiring.Swap(false) {
		return nil
	}
	mark := make([]byte, frameHeader)
	putFrameLength(mark, retireMark)
	_, err := t.node.Write(mark)
	return err
}

// endOf returns nil for the end of a connection that was closed, and otherwise err.
func endOf(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Drain refuses further connections, and closes the others as soon as they carry no request, or when ctx ends.
func (r *Relay) Drain(ctx context.Context) {
	r.mu.Lock()
	r.stopping = true
	r.mu.Unlock()
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for r.closeQuiet(ctx.Err() != nil) > 0 {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// closeQuiet closes the tunnels that carry no request, or all, and returns how many are left.
func (r *Relay) closeQuiet(all bool) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Clock.Now()
	for t := range r.tunnels {
		if all || t.idle(now) {
			t.close()
			delete(r.tunnels, t)
		}
	}
	return len(r.tunnels)
}
