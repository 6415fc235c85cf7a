// Command rig-3 runs one case of the third review: it starts the project's own programs as
// separate processes on loopback addresses, with stand-ins of the platform, the replicas and
// the consumers in this process.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by their numbers.
var cases = map[string]func(r *rig) (broken bool, err error){
	"11": runRouteCase,
	"12": runUnreadableCase,
	"13": runMonitorCase,
	"14": runPoisonCase,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig-3 CASE PROGRAM RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

// run runs a case and returns the exit code.
func run(number, program, recordPath string) int {
	r, err := newRig(program, recordPath, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig-3:", err)
		return exitNotRun
	}
	broken, err := cases[number](r)
	code := exitHeld
	switch {
	case err != nil:
		r.notef("the case could not run: %v", err)
		code = exitNotRun
	case broken:
		code = exitBroken
	}
	r.notef("exit %d", code)
	r.close()
	return code
}
