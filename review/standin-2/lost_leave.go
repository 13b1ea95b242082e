package main

import (
	"errors"
	"net/http"
	"time"
)

// playLostLeave lets a replica deregister, kills all processes of the system at the same moment, and delivers a heartbeat that the replica
// had sent before, seconds late. With disrupted false no process is killed.
func playLostLeave(s *site, disrupted bool) (bool, error) {
	const (
		// late is the delay of the heartbeat.
		late = 5500 * time.Millisecond
		// lasting is the time for which the replica serves after it has deregistered.
		lasting = 14 * time.Second
	)
	var replicas []*replica
	for i := range 4 {
		replicas = append(replicas, s.newReplica(i))
	}
	if err := s.begin(manifest(7), replicas...); err != nil {
		return false, err
	}
	requests := s.send(12, 20*time.Millisecond)
	time.Sleep(4 * time.Second)

	leaving := replicas[0]
	leaving.silent.Store(true)
	time.Sleep(beat) // A heartbeat that has begun ends.
	delayed := leaving.heartbeat()
	s.rec.printf("replica %s: heartbeat %s sent, which is delayed by %v", leaving.id, delayed, late)
	sent := time.Now()
	time.Sleep(100 * time.Millisecond)
	leaving.leaving.Store(true)
	if !leaving.tell("deregister", []byte(`{"born":`+itoa(leaving.born)+`}`)) {
		return false, errors.New("the deregistration is not acknowledged")
	}
	acknowledged := time.Now()
	inTouch := acknowledged

	time.Sleep(500 * time.Millisecond)
	if disrupted {
		s.rec.printf("all processes of the system are killed")
		s.kill(s.machines...)
		time.Sleep(400 * time.Millisecond)
		if err := s.start(s.machines...); err != nil {
			return false, err
		}
		s.rec.printf("all processes of the system are started again")
		// contact_ms, and half a second for processes that start late.
		inTouch = time.Now().Add(contact + 500*time.Millisecond)
	}
	time.Sleep(time.Until(sent.Add(late)))
	for i, m := range s.cores() {
		status, _ := call(time.Second, http.MethodPost, m.address(controlPort), "/-/instances/"+leaving.id+"/heartbeat", delayed)
		s.rec.printf("replica %s: the delayed heartbeat arrives at %s: %d", leaving.id, m.name, status)
		if status >= 200 && status < 300 || i == 2 {
			break
		}
	}
	time.Sleep(time.Until(acknowledged.Add(lasting)))
	leaving.exit()
	s.rec.printf("replica %s exits, %.1f s after the acknowledgement", leaving.id, time.Since(acknowledged).Seconds())
	time.Sleep(time.Second)
	done := requests.end()

	from := acknowledged.Add(drain)
	if inTouch.After(from) {
		from = inTouch
	}
	runs := leaving.since(from)
	for _, a := range runs {
		s.rec.printf("replica %s ran request %s at %.3f, %.3f s after the acknowledgement", leaving.id, a.id, a.at.Sub(s.rec.start).Seconds(),
			a.at.Sub(acknowledged).Seconds())
	}
	ok := 0
	for _, o := range done {
		if o.status == http.StatusOK && o.sent.After(from) {
			ok++
		}
	}
	s.rec.printf("acknowledged at %.3f; %d requests reached the replica after %.3f; %d others were answered with success in that time",
		acknowledged.Sub(s.rec.start).Seconds(), len(runs), from.Sub(s.rec.start).Seconds(), ok-len(runs))
	if ok == 0 {
		return false, errors.New("no request was served")
	}
	return len(runs) > 0, nil
}
