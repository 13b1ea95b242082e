// Command standin-2 plays the cases of the second review that can't be put as a day of the bench.
//
// It starts the processes of a small deployment on loopback addresses with the command of the deploy file, and stand-ins for requesters,
// replicas, the operator and the platform's balancer. It exits with 1 if the rule of the case was broken, with 0 if it held, and with 2 if
// the case couldn't run.
package main

import (
	"fmt"
	"os"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario plays one case and reports whether its rule was broken.
type scenario func(s *site, disrupted bool) (broken bool, err error)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	scenarios := map[string]scenario{"lost-leave": playLostLeave, "spoiled-answer": playSpoiledAnswer, "first-start": playFirstStart}
	if len(args) != 3 || scenarios[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE PROGRAM RECORD")
		return exitNotRun
	}
	rec, err := openRecord(args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	s, err := newSite(args[1], rec)
	if err != nil {
		rec.printf("the case couldn't run: %v", err)
		return exitNotRun
	}
	defer s.close()
	broken, err := scenarios[args[0]](s, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.printf("the case couldn't run: %v", err)
		return exitNotRun
	case broken:
		rec.printf("result: the rule was broken")
		return exitBroken
	}
	rec.printf("result: the rule held")
	return exitHeld
}
