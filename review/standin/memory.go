package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// memoryMB is limits.memory_mb of a core machine: a process that uses more is killed.
	memoryMB = 280
	// restartDelay is the time after which the platform starts a process again that has ended.
	restartDelay = 500 * time.Millisecond
	// bigRoutes is the number of routes that one step of big_config adds; bigSteps is the number of steps.
	bigRoutes, bigSteps = 350, 10
	// stormGap and stormTime are those of config_storm; stormPause is the pause between two storms.
	stormGap, stormTime, stormPause = 60 * time.Millisecond, 1500 * time.Millisecond, 500 * time.Millisecond
	// maxInProgress is the largest number of orders of the operator in progress at once.
	maxInProgress = 8
	// endsForFault is the number of ends of its own on one machine that counts.
	endsForFault = 3
)

// grownManifest is the manifest of a version with further routes.
func grownManifest(version, routes int) map[string]any {
	m := orderManifest(version)
	all := m["routes"].([]map[string]any)
	// The change itself: the time-out of the first route.
	all[0]["timeout_ms"] = 4000 + version%7
	for i := range routes {
		all = append(all, map[string]any{
			"name": fmt.Sprintf("r-%07d", i), "hostname": orderHost, "path_prefix": fmt.Sprintf("/grown%05d/", i),
			"type": "non_idempotent", "timeout_ms": 4000, "target_latency_ms": 300, "priority": 2,
			"traffic_split": []map[string]any{{"service": "wuno96b", "weight": 100}}, "max_attempts": 1, "session_affinity": false, "resumable": false,
		})
	}
	m["routes"] = all
	return m
}

// memoryOf returns the memory of a process in MB, without the pages of its program file.
func memoryOf(pid int) (mb float64) {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	defer f.Close()
	for s := bufio.NewScanner(f); s.Scan(); {
		if rest, ok := strings.CutPrefix(s.Text(), "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return float64(kb) / 1024
		}
	}
	return 0
}

// guard keeps the memory limit of a machine as the platform does, until stop is closed.
func (c *cluster) guard(ip string, ends *atomic.Int64, stop chan struct{}) {
	peak := 0.0
	for {
		select {
		case <-stop:
			c.rec.printf("%s used %.0f MB at most", ip, peak)
			return
		case <-time.After(20 * time.Millisecond):
		}
		c.mu.Lock()
		cmd := c.nodes[ip]
		c.mu.Unlock()
		mb := memoryOf(cmd.Process.Pid)
		peak = max(peak, mb)
		if mb <= memoryMB {
			continue
		}
		n := ends.Add(1)
		c.rec.printf("%s uses %.0f MB, over its %d MB, and ends (%d)", ip, mb, memoryMB, n)
		c.end(ip, syscall.SIGKILL)
		time.Sleep(restartDelay)
		if err := c.launch(ip, false); err != nil {
			c.rec.printf("%s not started: %v", ip, err)
			return
		}
	}
}

// memory sends storms of valid changes. With the disruption the manifest has grown by many routes before.
func memory(e *env) ([]string, error) {
	c, err := newCluster(e.program, e.rec, 3, 2)
	if err != nil {
		return nil, err
	}
	defer c.stop()
	if err := c.startAll(); err != nil {
		return nil, err
	}
	if err := c.apply(orderManifest(1), 20*time.Second); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	var (
		ends   = map[string]*atomic.Int64{}
		stop   = make(chan struct{})
		guards sync.WaitGroup
	)
	for _, ip := range c.cores {
		ends[ip] = &atomic.Int64{}
		guards.Add(1)
		go func() {
			defer guards.Done()
			c.guard(ip, ends[ip], stop)
		}()
	}
	var (
		version, routes int = 1, 0
		acked, sent     atomic.Int64
		orders          sync.WaitGroup
		inProgress      = make(chan struct{}, maxInProgress)
	)
	change := func() {
		version++
		data, err := json.Marshal(grownManifest(version, routes))
		if err != nil {
			panic(err)
		}
		v := version
		inProgress <- struct{}{}
		sent.Add(1)
		orders.Add(1)
		go func() {
			defer func() {
				<-inProgress
				orders.Done()
			}()
			for try := 0; try < 8; try++ {
				at := c.controls()[rand.IntN(len(c.cores))]
				status, _ := send("POST", "http://"+at+"/-/config/replace", data, 2*time.Second)
				e.rec.printf("version %d, %d bytes, sent to %s: %d", v, len(data), at, status)
				if status == 200 {
					acked.Add(1)
					return
				}
				time.Sleep(time.Duration(50<<min(try, 4)) * time.Millisecond)
			}
		}()
	}
	if e.trouble {
		for range bigSteps {
			routes += bigRoutes
			change()
			time.Sleep(500 * time.Millisecond)
		}
	}
	faulty := func() (n int) {
		for _, x := range ends {
			if x.Load() >= endsForFault {
				n++
			}
		}
		return n
	}
	for until := time.Now().Add(85 * time.Second); time.Now().Before(until) && faulty() < 2; {
		for end := time.Now().Add(stormTime); time.Now().Before(end); {
			next := time.Now().Add(stormGap)
			change()
			time.Sleep(time.Until(next))
		}
		time.Sleep(stormPause)
	}
	orders.Wait()
	close(stop)
	guards.Wait()
	e.rec.printf("%d changes sent, %d acknowledged, %d routes", sent.Load(), acked.Load(), routes+1)
	fmt.Printf("%d changes sent, %d acknowledged, %d routes\n", sent.Load(), acked.Load(), routes+1)
	if faulty() < 2 {
		return nil, nil
	}
	var broken []string
	for _, ip := range c.cores {
		broken = append(broken, fmt.Sprintf("Fault: the process on %s ended by itself %d times, with memory over the limit", ip, ends[ip].Load()))
	}
	return broken, nil
}
