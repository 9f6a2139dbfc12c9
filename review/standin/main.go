// Command standin plays the cases of the review: it starts hosts as processes and is the store, the executors, the operator and the consumers itself.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	couldntRun = 2
)

// scenario plays a case. broken reports whether the rule was broken, ran whether the case could run.
type scenario func(e *env) (broken, ran bool)

// scenarios holds the cases by name; each is added by the file that has it.
var scenarios = map[string]scenario{}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD, in the root of the repository")
		os.Exit(couldntRun)
	}
	os.Exit(play(scenarios[os.Args[1]], os.Args[2]))
}

func play(s scenario, record string) int {
	e, err := newEnv(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldntRun
	}
	defer e.close()
	broken, ran := s(e)
	code, text := ruleHeld, "the rule held"
	switch {
	case !ran:
		code, text = couldntRun, "the case could not run"
	case broken:
		code, text = ruleBroken, "THE RULE WAS BROKEN"
	}
	e.logf("%s", text)
	fmt.Println(text)
	return code
}

// Sizes of executors: those of a small deployment, and small ones of another kind.
var (
	largeSize = size{kind: "a", cpu: 128000, mem: 524288, gpu: 8}
	smallSize = size{kind: "b", cpu: 8000, mem: 32768, gpu: 8}
)

type size struct {
	kind          string
	cpu, mem, gpu int
}

func (s size) plus(o size) size {
	return size{cpu: s.cpu + o.cpu, mem: s.mem + o.mem, gpu: s.gpu + o.gpu}
}

func (s size) minus(o size) size {
	return size{cpu: s.cpu - o.cpu, mem: s.mem - o.mem, gpu: s.gpu - o.gpu}
}

func (s size) covers(o size) bool { return s.cpu >= o.cpu && s.mem >= o.mem && s.gpu >= o.gpu }

// deploy starts a store, executors and three hosts, and waits until they serve.
func (e *env) deploy(large, small, guaranteed int) bool {
	store, err := e.serveStore()
	if err != nil {
		e.logf("store: %v", err)
		return false
	}
	e.putConfig(1, guaranteed)
	for i := range large + small {
		s := largeSize
		if i >= large {
			s = smallSize
		}
		if _, err := e.fleet.add(fmt.Sprintf("i-%08x", 0x7f3a0000+i), fmt.Sprintf("r%d", i/8), s); err != nil {
			e.logf("executor: %v", err)
			return false
		}
	}
	if err := e.startHosts(3, store); err != nil {
		e.logf("host: %v", err)
		return false
	}
	return e.awaitReady()
}
