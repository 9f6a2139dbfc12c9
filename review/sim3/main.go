// Command sim3 plays the scripted cases of the third review: it starts hosts of the project as processes, with stand-ins for the platform's store, the
// executors and the clients, and checks one rule. It exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"time"
)

// limit is the longest time that a case may take.
const limit = 115 * time.Second

// scenario is a case.
type scenario struct {
	kinds  []string // of the executors
	bounds bounds
	cloud  bool                                         // there is an API for machines
	play   func(w *world, trouble bool) (broken string) // returns what broke the rule, or an empty string
}

var scenarios = map[string]scenario{
	"copies":   {kinds: kindsOf(12, 2), bounds: kingston, play: playCopies},
	"crashes":  {kinds: kindsOf(14, 0), bounds: kingston, play: playCrashes},
	"lasting":  {kinds: kindsOf(14, 0), bounds: kingston, play: playLasting},
	"leaving":  {kinds: kindsOf(14, 0), bounds: sadyPlan, play: playLeaving},
	"unwanted": {kinds: kindsOf(14, 0), bounds: kingston, play: playUnwanted},
	"waiting":  {kinds: kindsOf(12, 2), bounds: kingston, play: playWaiting},
	"waves":    {kinds: kindsOf(14, 0), bounds: kingston, cloud: true, play: playWaves},
}

// kindsOf returns the kinds of a executors of kind "a" and b of kind "b".
func kindsOf(a, b int) []string {
	var out []string
	for range a {
		out = append(out, "a")
	}
	for range b {
		out = append(out, "b")
	}
	return out
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: sim3 CASE RECORD SAMPHIRED")
		os.Exit(2)
	}
	c, ok := scenarios[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(2)
	}
	record, err := os.Create(os.Args[2])
	if err != nil {
		fatal("record", err)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	w := newWorld(record, os.Args[3], c.kinds, c.bounds, c.cloud)
	time.AfterFunc(limit, func() {
		w.log("the case took too long")
		w.close()
		os.Exit(2)
	})
	broken := c.play(w, trouble)
	verdict := "held"
	if broken != "" {
		verdict = "broken: " + broken
	}
	w.log("trouble: %v; the rule is %s", trouble, verdict)
	fmt.Println(verdict)
	w.close()
	if broken != "" {
		os.Exit(1)
	}
}
