package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	orderHost = "ficu95.example"
	orderPath = "/puxa403/"
)

// orderManifest has one route of type non_idempotent.
func orderManifest(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-order", "hostname": orderHost, "path_prefix": orderPath, "type": "non_idempotent", "timeout_ms": 4000,
			"target_latency_ms": 300, "priority": 2, "service": "wuno96b", "max_attempts": 1, "session_affinity": false, "resumable": false,
		}},
		"services": []map[string]any{{"name": "wuno96b", "health_path": "/healthz", "max_connections": 100, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

func orderHead(attempt string, length int) string {
	return fmt.Sprintf("POST %s2f HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 4000\r\nContent-Length: %d\r\n\r\n", orderPath, orderHost, attempt, length)
}

// lateRefusal sends orders to two replicas. At times both are full and refuse an order with a short Retry-After. With the
// disruption, one of the replicas is faulty: some of its refusals come once more, late, at the point where the next answer on
// the connection is expected.
func lateRefusal(e *env) ([]string, error) {
	const (
		orders = 400
		pause  = "0.2"
		// maxShare is the largest share of a faulty replica's answers that come twice.
		maxShare = 0.03
	)
	c, err := newCluster(e.program, e.rec, 3, 1)
	if err != nil {
		return nil, err
	}
	defer c.stop()
	if err := c.startAll(); err != nil {
		return nil, err
	}
	var (
		full             atomic.Bool
		answered, extras atomic.Int64
		replicas         []*replica
	)
	serve := func(r *replica, k *link, q *http.Request, _ []byte) bool {
		attempt := q.Header.Get("X-Attempt-Id")
		faulty := e.trouble && r == replicas[0]
		if late, ok := k.note.([]byte); ok {
			k.note = nil
			r.rec.printf("%s connection %d: an earlier refusal comes once more, as %s arrives", r.id, k.number, attempt)
			if _, err := k.Write(late); err != nil {
				return false
			}
		}
		if r == replicas[0] {
			answered.Add(1)
		}
		if full.Load() {
			refusal := answer(503, attempt, "full\n", map[string]string{"X-Not-Executed": "1", "Retry-After": pause})
			r.rec.printf("%s connection %d: refuses %s, full", r.id, k.number, attempt)
			if faulty && float64(extras.Load()+1) <= maxShare*float64(answered.Load()) {
				extras.Add(1)
				k.note = refusal
			}
			_, err := k.Write(refusal)
			return err == nil
		}
		r.ran(attempt)
		time.Sleep(time.Duration(10+rand.IntN(30)) * time.Millisecond)
		_, err := k.Write(answer(200, attempt, "order "+attempt+"\n", map[string]string{"X-Server-Stamp": "st." + attempt}))
		return err == nil
	}
	for i := range 2 {
		r, err := newReplica(fmt.Sprintf("i-%d", i+1), "wuno96b", fmt.Sprintf("%s.%d:8081", c.network, 61+i), e.rec)
		if err != nil {
			return nil, err
		}
		r.serve = serve
		replicas = append(replicas, r)
		defer r.stop()
	}
	for _, r := range replicas {
		go r.run(c.controls())
	}
	if err := c.apply(orderManifest(7), 20*time.Second); err != nil {
		return nil, err
	}
	if err := c.awaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	caller := &requester{address: c.frontend(0)}
	defer caller.close()
	var broken []string
	for n := range orders {
		attempt := fmt.Sprintf("%016x", uint64(0x9c41d07be2a30000)+uint64(n))
		if n%50 == 40 {
			// Both replicas are full for a moment.
			full.Store(true)
			time.AfterFunc(100*time.Millisecond, func() { full.Store(false) })
		}
		body := "crate " + attempt
		e.rec.printf("order %s is sent", attempt)
		got := caller.send(orderHead(attempt, len(body)), body, 5*time.Second)
		e.rec.printf("order %s is answered: status %d, %q, error %v", attempt, got.status, strings.TrimSpace(got.body), got.err)
		time.Sleep(5 * time.Millisecond)
		runs := replicas[0].count(attempt) + replicas[1].count(attempt)
		switch {
		case runs > 1:
			broken = append(broken, fmt.Sprintf("TWICE: order %s ran %d times", attempt, runs))
		case runs > 0 && promisesNotRun(got.status):
			broken = append(broken, fmt.Sprintf("REFUSED: order %s was answered %d and has run", attempt, got.status))
		}
	}
	e.rec.printf("%d answers of i-1, %d of them came twice", answered.Load(), extras.Load())
	return broken, nil
}

// promisesNotRun reports whether a status promises that a request has not run and never will.
func promisesNotRun(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}
