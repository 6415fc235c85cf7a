package lab

import (
	"fmt"
	"os"
)

// Main runs a case and exits with 1 if its rule was broken, 0 if it held and 2 if the case
// could not run. With TROUBLE=0 in the environment, the case is played without its
// disruption.
func Main(rule string, run func(trouble bool) (broken bool, err error)) {
	broken, err := run(os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(ExitCannot)
	case broken:
		fmt.Println(rule + " is broken; see record.txt")
		os.Exit(ExitBroken)
	}
	fmt.Println(rule + " held")
	os.Exit(ExitHeld)
}
