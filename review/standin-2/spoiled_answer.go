package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// spoiledShare is the share of its answers that the faulty replica spoils.
	spoiledShare = 0.02
	// spoiledBytes is the number of bytes in a row that are wrong in such an answer.
	spoiledBytes = 4
)

// playSpoiledAnswer lets one of three replicas spoil some bytes in the heads of some of its answers. With disrupted false it spoils none.
func playSpoiledAnswer(s *site, disrupted bool) (bool, error) {
	var replicas []*replica
	for i := range 3 {
		replicas = append(replicas, s.newReplica(i))
	}
	var faulty atomic.Bool
	replicas[0].answer = func(w http.ResponseWriter, id, stamp, body string) {
		if !faulty.Load() || rand.Float64() >= spoiledShare {
			writeAnswer(w, stamp, body)
			return
		}
		s.spoil(w, id, stamp, body)
	}
	if err := s.begin(manifest(7), replicas...); err != nil {
		return false, err
	}
	requests := s.send(24, 10*time.Millisecond)
	time.Sleep(2 * time.Second)
	faulty.Store(disrupted)
	// Four times the 5.5 s for which replicas are faulty, with pauses.
	for range 4 {
		time.Sleep(5500 * time.Millisecond)
		faulty.Store(false)
		time.Sleep(2 * time.Second)
		faulty.Store(disrupted)
	}
	done := requests.end()
	ok, broken := 0, 0
	for _, o := range done {
		switch {
		case o.status != http.StatusOK:
		case o.stamp == "":
			broken++
			s.rec.printf("request %s was answered with success without X-Server-Stamp", o.id)
		default:
			ok++
		}
	}
	s.rec.printf("%d successes with X-Server-Stamp, %d without it", ok, broken)
	if ok == 0 {
		return false, errors.New("no request was served")
	}
	return broken > 0, nil
}

// spoil answers with wrong bytes at a random place of the head, and closes the connection.
func (s *site) spoil(w http.ResponseWriter, id, stamp, body string) {
	status := "HTTP/1.1 200 OK\r\n"
	fields := fmt.Sprintf("X-Attempt-Id: %s\r\nX-Server-Stamp: %s\r\nX-Server-Load: 1,0,6\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n", id, stamp, len(body))
	spoiled := []byte(fields)
	at := rand.IntN(len(spoiled) - spoiledBytes)
	for i := range spoiledBytes {
		spoiled[at+i] = byte('a' + rand.IntN(26))
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	answer := status + string(spoiled) + "\r\n" + body
	_, err = conn.Write([]byte(answer))
	s.rec.printf("faulty replica answers request %s with the spoiled bytes %q: %v", id, answer, err)
}
