// Command sim2 runs the scripted cases of the second review: a small deployment with the real entry hosts as processes, and stand-ins of the
// platform, its executors and its consumers.
package main

import (
	"fmt"
	"os"
	"time"
)

// exit codes of a case
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// cases maps the names of the cases to their functions, which return whether the rule was broken.
var cases = map[string]func(w *world, trouble bool) bool{
	"crashed-executor":       crashedExecutor,
	"filling-job":            fillingJob,
	"filling-beside-serving": fillingBesideServing,
	"dead-executor":          deadExecutor,
	"takeover":               takeover,
	"late-upkeep":            lateUpkeep,
	"leaving-executor":       leavingExecutor,
	"reset-channels":         resetChannels,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: sim2 CASE RECORD, in the root of the repository")
		return cannotRun
	}
	out, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer out.Close()
	r := &recorder{out: out, began: time.Now()}
	w, err := newWorld(r)
	if err != nil {
		r.fail("%v", err)
		return cannotRun
	}
	defer w.close()
	wasBroken := cases[os.Args[1]](w, os.Getenv("TROUBLE") != "0")
	switch {
	case r.failed:
		return cannotRun
	case wasBroken:
		r.line("RULE BROKEN")
		return broken
	}
	r.line("rule held")
	return held
}

// start starts hosts and waits until they serve; false if they don't.
func (w *world) start(hosts int) bool {
	for range hosts {
		if err := w.addHost(); err != nil {
			w.record.fail("a host doesn't start: %v", err)
			return false
		}
	}
	return true
}
