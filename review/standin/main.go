// Command standin runs the scripted cases of the review against the project's own programs.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxTime bounds a case.
const maxTime = 115 * time.Second

// env is what a case gets.
type env struct {
	rec     *record
	program string
	// trouble is false when the case runs without its disruption.
	trouble bool
}

// caseFunc runs a case. It returns the ways in which the rule was broken.
type caseFunc func(e *env) (broken []string, err error)

var cases = map[string]caseFunc{
	"late-refusal": lateRefusal,
	"leave":        leave,
	"memory":       memory,
	"slash":        slash,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE PROGRAM FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, program, folder string) int {
	program, err := filepath.Abs(program)
	if err != nil {
		return exitNotRun
	}
	rec, err := newRecord(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.file.Close()
	e := &env{rec: rec, program: program, trouble: os.Getenv("TROUBLE") != "0"}
	timer := time.AfterFunc(maxTime, func() {
		rec.printf("the case took too long")
		os.Exit(exitNotRun) // The processes end with this one.
	})
	defer timer.Stop()
	broken, err := cases[name](e)
	switch {
	case err != nil:
		rec.printf("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case len(broken) > 0:
		for _, b := range broken {
			rec.printf("BROKEN: %s", b)
			fmt.Println("BROKEN:", b)
		}
		return exitBroken
	}
	rec.printf("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
