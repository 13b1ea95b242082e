package main

import (
	"errors"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

const recovery = 12 * time.Second

// playFirstStart starts the system for the first time. Half a second later one core machine, the seed with the lowest address, loses its disk
// and starts again at its address with an empty folder. With disrupted false it goes on.
func playFirstStart(s *site, disrupted bool) (bool, error) {
	var replicas []*replica
	for i := range 4 {
		replicas = append(replicas, s.newReplica(i))
	}
	if err := s.start(s.machines...); err != nil {
		return false, err
	}
	s.bootstrap = false // It is true only at the first start of the whole system.
	s.rec.printf("all processes are started for the first time")
	s.work.Go(s.balance)
	for _, r := range replicas {
		if err := s.add(r); err != nil {
			return false, err
		}
	}
	time.Sleep(500 * time.Millisecond)
	if disrupted {
		m := s.cores()[0]
		s.kill(m)
		if err := os.RemoveAll(filepath.Join(s.folder, m.name, "data")); err != nil {
			return false, err
		}
		s.rec.printf("%s has lost its disk", m.name)
		time.Sleep(500 * time.Millisecond)
		if err := s.start(m); err != nil {
			return false, err
		}
		s.rec.printf("%s starts again with an empty folder", m.name)
	}
	back := time.Now()
	// The operator sends the first manifest again until it is accepted; three times recovery_s must be enough.
	accepted := s.apply(manifest(7), 3*recovery)
	s.rec.printf("first manifest: %v, %.1f s after all machines are back", accepted, time.Since(back).Seconds())
	time.Sleep(time.Until(back.Add(recovery)))
	requests := s.send(12, 50*time.Millisecond)
	time.Sleep(5 * time.Second)
	served, total := 0, 0
	for _, o := range requests.end() {
		total++
		if o.status == http.StatusOK && o.stamp != "" {
			served++
		}
	}
	s.rec.printf("%d of %d requests were served, sent %.1f s after all machines are back and later", served, total, recovery.Seconds())
	for _, m := range s.machines {
		select {
		case <-m.exited:
			return false, errors.New("the process of " + m.name + " has ended")
		default:
		}
	}
	if total == 0 {
		return false, errors.New("no request was sent")
	}
	return served == 0, nil
}
