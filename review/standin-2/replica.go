package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request that a replica ran.
type arrival struct {
	at time.Time
	id string
}

// replica is a stand-in for a replica of a plain service.
type replica struct {
	site         *site
	id, ip, zone string
	born         int64
	sequence     atomic.Uint64
	silent       atomic.Bool
	// leaving is set once the replica leaves, which it states in all its answers.
	leaving           atomic.Bool
	server            *http.Server
	mu                sync.Mutex
	arrivals          []arrival
	exited            chan struct{}
	exitOnce          sync.Once
	service, software string
	// answer, if set, answers a request that has run in place of the usual answer.
	answer func(w http.ResponseWriter, id, stamp, body string)
}

func (s *site) newReplica(i int) *replica {
	return &replica{
		site: s, id: fmt.Sprintf("i-%08x", rand.Uint32()), ip: fmt.Sprintf("%s.%d", s.network, 41+i), zone: []string{"a", "b", "c"}[i%3],
		born: time.Now().UnixMilli(), exited: make(chan struct{}), service: "pedidos", software: "v1",
	}
}

// add starts a replica.
func (s *site) add(r *replica) error {
	l, err := net.Listen("tcp", r.address())
	if err != nil {
		return err
	}
	r.server = &http.Server{Handler: r}
	s.replicas = append(s.replicas, r)
	s.work.Go(func() { _ = r.server.Serve(l) })
	s.work.Go(r.beats)
	return nil
}

func (r *replica) address() string { return r.ip + ":8080" }

// heartbeat returns the next heartbeat.
func (r *replica) heartbeat() []byte {
	data, err := json.Marshal(map[string]any{
		"service": r.service, "address": r.address(), "zone": r.zone, "version": r.software, "slots": 6, "state": "ready", "cold_remaining_ms": 0,
		"sequence": r.sequence.Add(1), "born": r.born,
	})
	if err != nil {
		panic(err)
	}
	return data
}

// tell sends a call about this replica to one core machine after the other until it is acknowledged.
func (r *replica) tell(what string, body []byte) bool {
	cores := r.site.cores()
	first := rand.IntN(len(cores))
	for i := range cores {
		m := cores[(first+i)%len(cores)]
		status, _ := call(time.Second, http.MethodPost, m.address(controlPort), "/-/instances/"+r.id+"/"+what, body)
		if status >= 200 && status < 300 {
			if what != "heartbeat" {
				r.site.rec.printf("replica %s: %s to %s: %d", r.id, what, m.name, status)
			}
			return true
		}
	}
	return false
}

// beats sends heartbeats until the replica exits or falls silent.
func (r *replica) beats() {
	ticker := time.NewTicker(beat)
	defer ticker.Stop()
	for {
		if !r.silent.Load() {
			r.tell("heartbeat", r.heartbeat())
		}
		select {
		case <-r.exited:
			return
		case <-ticker.C:
		}
	}
}

// ServeHTTP runs a request unless it names another replica.
func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if r.leaving.Load() {
		w.Header().Set("Server-Leaving", "1")
	}
	if name := req.Header.Get("X-Expected-Instance"); name != "" && name != r.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	r.mu.Lock()
	r.arrivals = append(r.arrivals, arrival{time.Now(), id})
	n := len(r.arrivals)
	r.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
	stamp, body := fmt.Sprintf("%s.%d", r.id, n), fmt.Sprintf("order %s taken by %s\n", id, r.id)
	if r.answer != nil {
		r.answer(w, id, stamp, body)
		return
	}
	writeAnswer(w, stamp, body)
}

// writeAnswer writes the usual answer.
func writeAnswer(w http.ResponseWriter, stamp, body string) {
	w.Header().Set("X-Server-Stamp", stamp)
	w.Header().Set("X-Server-Load", "1,0,6")
	w.WriteHeader(http.StatusOK)
	fmt.Fprint(w, body)
}

// since returns the requests that reached the replica after a time.
func (r *replica) since(t time.Time) []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []arrival
	for _, a := range r.arrivals {
		if a.at.After(t) {
			out = append(out, a)
		}
	}
	return out
}

// exit ends the replica.
func (r *replica) exit() {
	r.exitOnce.Do(func() {
		close(r.exited)
		if r.server != nil {
			r.server.Close()
		}
	})
}

func itoa(n int64) string { return fmt.Sprint(n) }
