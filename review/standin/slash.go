package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// slash sends requests whose paths begin with one slash and with two. With the disruption a change of the manifest adds a route
// with the prefix "/", which every path of its host begins with.
func slash(e *env) ([]string, error) {
	c, err := newCluster(e.program, e.rec, 3, 1)
	if err != nil {
		return nil, err
	}
	defer c.stop()
	if err := c.startAll(); err != nil {
		return nil, err
	}
	r, err := newReplica("i-1", "wuno96b", fmt.Sprintf("%s.61:8081", c.network), e.rec)
	if err != nil {
		return nil, err
	}
	defer r.stop()
	type seen struct{ method, target, host, body string }
	got := map[string]seen{}
	r.serve = func(r *replica, k *link, q *http.Request, body []byte) bool {
		attempt := q.Header.Get("X-Attempt-Id")
		r.ran(attempt)
		r.rec.printf("i-1 received %s %s, host %s, body %q", q.Method, q.RequestURI, q.Host, body)
		r.mu.Lock()
		got[attempt] = seen{q.Method, q.RequestURI, q.Host, string(body)}
		r.mu.Unlock()
		_, err := k.Write(answer(200, attempt, "served "+q.URL.Path+"\n", map[string]string{"X-Server-Stamp": "st." + attempt}))
		return err == nil
	}
	go r.run(c.controls())
	manifest := orderManifest(7)
	if err := c.apply(manifest, 20*time.Second); err != nil {
		return nil, err
	}
	if err := c.awaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	if e.trouble {
		manifest["version"] = 9
		manifest["routes"] = append(manifest["routes"].([]map[string]any), map[string]any{
			"name": "r-all", "hostname": orderHost, "path_prefix": "/",
			"type": "idempotent", "timeout_ms": 4000, "target_latency_ms": 300, "priority": 2, "service": "wuno96b", "max_attempts": 2,
			"session_affinity": false, "resumable": false,
		})
		if err := c.apply(manifest, 20*time.Second); err != nil {
			return nil, err
		}
		time.Sleep(3 * time.Second)
	}
	caller := &requester{address: c.frontend(0)}
	defer caller.close()
	var broken []string
	for n, path := range []string{"/puxa403/2f", "/stock/kiosk-7", "//stock/kiosk-7", "//puxa403/2f?list=1", "/stock//kiosk-7", "//lists/stock/kiosk-7?page=2"} {
		for _, method := range []string{"GET", "POST"} {
			attempt := fmt.Sprintf("%016x", 0x5c41d07be2a30000+uint64(2*n)+uint64(len(method)&1))
			body := ""
			if method == "POST" {
				body = "crate"
			}
			head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 4000\r\nContent-Length: %d\r\n\r\n", method, path, orderHost, attempt, len(body))
			e.rec.printf("%s is sent: %s %s, host %s, body %q", attempt, method, path, orderHost, body)
			answered := caller.send(head, body, 5*time.Second)
			e.rec.printf("%s is answered: status %d, %q, error %v", attempt, answered.status, strings.TrimSpace(answered.body), answered.err)
			r.mu.Lock()
			x, ran := got[attempt]
			r.mu.Unlock()
			if ran && (x.method != method || x.target != path || x.body != body) {
				broken = append(broken, fmt.Sprintf("UNASKED: %s was sent as %s %s to %s, and run as %s %s for host %s", attempt, method, path, orderHost, x.method, x.target, x.host))
			}
		}
	}
	return broken, nil
}
