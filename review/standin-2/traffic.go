package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// outcome is what a requester got for one attempt.
type outcome struct {
	sent, answered time.Time
	id             string
	// status is 0 without an answer.
	status int
	stamp  string
}

// traffic sends requests from several requesters to the edge machines in rotation, each on a connection that it keeps.
type traffic struct {
	site *site
	stop chan struct{}
	work sync.WaitGroup
	mu   sync.Mutex
	done []outcome
}

// send starts n requesters, each of which sends a request, waits for its answer and pauses.
func (s *site) send(n int, pause time.Duration) *traffic {
	t := &traffic{site: s, stop: make(chan struct{})}
	for i := range n {
		t.work.Go(func() { t.request(i, pause) })
	}
	return t
}

func (t *traffic) request(requester int, pause time.Duration) {
	client := http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{IdleConnTimeout: 12 * time.Second}}
	defer client.CloseIdleConnections()
	for i := 0; ; i++ {
		select {
		case <-t.stop:
			return
		case <-time.After(pause):
		}
		machines := t.site.inRotation()
		if len(machines) == 0 {
			machines = t.site.edges()
		}
		// A requester stays with its machine while that is in rotation.
		m := machines[requester%len(machines)]
		o := outcome{sent: time.Now(), id: fmt.Sprintf("%08x%04x%04x", rand.Uint32(), requester, i)}
		req, err := http.NewRequest(http.MethodPost, "http://"+m.address(callerPort)+"/orders/new", bytes.NewReader([]byte("crates=3")))
		if err != nil {
			panic(err)
		}
		req.Host = "kiosco.example"
		req.Header.Set("X-Attempt-Id", o.id)
		req.Header.Set("X-Deadline-Ms", "4000")
		if resp, err := client.Do(req); err == nil {
			if _, err := io.Copy(io.Discard, resp.Body); err == nil {
				o.status, o.stamp = resp.StatusCode, resp.Header.Get("X-Server-Stamp")
			}
			resp.Body.Close()
		}
		o.answered = time.Now()
		t.mu.Lock()
		t.done = append(t.done, o)
		t.mu.Unlock()
	}
}

// end stops the requesters, writes what they got to the record, and returns it.
func (t *traffic) end() []outcome {
	close(t.stop)
	t.work.Wait()
	statuses := map[int]int{}
	for _, o := range t.done {
		statuses[o.status]++
		t.site.rec.printf("request %s sent at %.3f, answered at %.3f with %d %s", o.id, o.sent.Sub(t.site.rec.start).Seconds(),
			o.answered.Sub(t.site.rec.start).Seconds(), o.status, o.stamp)
	}
	t.site.rec.printf("requests by status (0: no answer): %v", statuses)
	return t.done
}
