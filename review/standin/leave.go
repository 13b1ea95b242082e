package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	drainTime = 2 * time.Second
	// contactTime is contact_ms: machines are in touch this long after the last kill or start of a core machine. Half a second
	// more is left out.
	contactTime = 3500 * time.Millisecond
	// servingOn is how long a replica that leaves serves on after the confirmation.
	servingOn = 9 * time.Second
)

// leave lets replicas leave, one after the other. Each sends a deregister call, serves on for some seconds, says in all its
// answers that it leaves, and ends; another one has started before. With the disruption, the core process that has confirmed the
// call is killed within 30 ms, and is back half a second later.
func leave(e *env) ([]string, error) {
	const (
		rounds   = 6
		replicas = 4
	)
	c, err := newCluster(e.program, e.rec, 5, 4)
	if err != nil {
		return nil, err
	}
	defer c.stop()
	if err := c.startAll(); err != nil {
		return nil, err
	}
	var (
		mu     sync.Mutex
		broken []string
		// calmAt is when machines are in touch again, sentAt when each order was sent.
		calmAt time.Time
		sentAt = map[string]time.Time{}
		number atomic.Uint64
	)
	start := func(i int) (*replica, error) {
		r, err := newReplica(fmt.Sprintf("i-%d", i), "wuno96b", fmt.Sprintf("%s.%d:8081", c.network, 60+i), e.rec)
		if err != nil {
			return nil, err
		}
		r.serve = func(r *replica, k *link, q *http.Request, _ []byte) bool {
			attempt := q.Header.Get("X-Attempt-Id")
			r.mu.Lock()
			left := r.left
			r.mu.Unlock()
			header := map[string]string{"X-Server-Stamp": "st." + attempt}
			if !left.IsZero() {
				header["Server-Leaving"] = "1"
				mu.Lock()
				sent := sentAt[attempt]
				r.rec.printf("%s, which has left %.3f s ago, gets %s, sent %.3f s after the confirmation", r.id, time.Since(left).Seconds(), attempt, sent.Sub(left).Seconds())
				if sent.Sub(left) > drainTime && sent.After(calmAt) {
					broken = append(broken, fmt.Sprintf("DRAIN: order %s, sent %.3f s after the confirmation that %s is gone, reached it", attempt, sent.Sub(left).Seconds(), r.id))
				}
				mu.Unlock()
			}
			r.ran(attempt)
			time.Sleep(20 * time.Millisecond)
			_, err := k.Write(answer(200, attempt, "order "+attempt+"\n", header))
			return err == nil
		}
		go r.run(c.controls())
		return r, nil
	}
	var fleet []*replica
	for i := range replicas {
		r, err := start(i + 1)
		if err != nil {
			return nil, err
		}
		fleet = append(fleet, r)
	}
	defer func() {
		for _, r := range fleet {
			r.stop()
		}
	}()
	if err := c.apply(orderManifest(7), 20*time.Second); err != nil {
		return nil, err
	}
	if err := c.awaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	var (
		stop    = make(chan struct{})
		callers sync.WaitGroup
	)
	for i := range c.entries {
		callers.Add(1)
		go func() {
			defer callers.Done()
			q := &requester{address: c.frontend(i)}
			defer q.close()
			for {
				attempt := fmt.Sprintf("%016x", number.Add(1))
				mu.Lock()
				sentAt[attempt] = time.Now()
				mu.Unlock()
				e.rec.printf("order %s is sent to %s", attempt, c.entries[i])
				got := q.send(orderHead(attempt, 5), "crate", 5*time.Second)
				e.rec.printf("order %s is answered: status %d, error %v", attempt, got.status, got.err)
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(1500+rand.IntN(1500)) * time.Millisecond):
				}
			}
		}()
	}
	for round := range rounds {
		leaver := fleet[0]
		next, err := start(replicas + round + 1)
		if err != nil {
			return nil, err
		}
		fleet = append(fleet[1:], next)
		time.Sleep(2 * time.Second)
		core := c.cores[rand.IntN(len(c.cores))]
		leaver.stopBeats()
		status, _ := send("POST", fmt.Sprintf("http://%s:%d/-/instances/%s/deregister", core, portControl, leaver.id), []byte(fmt.Sprintf(`{"born":%d}`, leaver.born)), time.Second)
		if status != 200 {
			e.rec.printf("%s: deregister of %s answered %d", core, leaver.id, status)
			leaver.stop()
			continue
		}
		leaver.mu.Lock()
		leaver.left = time.Now()
		leaver.mu.Unlock()
		if e.trouble {
			time.Sleep(time.Duration(rand.IntN(30)) * time.Millisecond)
			c.end(core, syscall.SIGKILL)
		}
		e.rec.printf("%s has confirmed that %s is gone", core, leaver.id)
		if e.trouble {
			e.rec.printf("%s is killed", core)
			time.Sleep(500 * time.Millisecond)
			if err := c.launch(core, false); err != nil {
				return nil, err
			}
			mu.Lock()
			calmAt = time.Now().Add(contactTime)
			mu.Unlock()
			e.rec.printf("%s is started", core)
		}
		time.Sleep(time.Until(leaver.left.Add(servingOn)))
		leaver.stop()
		e.rec.printf("%s ends", leaver.id)
	}
	close(stop)
	callers.Wait()
	mu.Lock()
	defer mu.Unlock()
	return broken, nil
}
