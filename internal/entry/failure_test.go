package entry

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"samphirewell/internal/client"
	"samphirewell/internal/clock"
	"samphirewell/internal/outcome"
	"samphirewell/internal/platform/memtable"
	"samphirewell/internal/standin"
)

const (
	failureCallers = 8
	failureCalls   = 60 // of each caller
)

// callResult is the outcome that a caller received for one call.
type callResult struct {
	key, body string
	outcome   outcome.Outcome
}

// Guards against calls that run twice, calls that are refused as not run although they ran, and answers to another call. Executors break
// their connections and answer late or for another call, an entry host is killed, and the platform is down for a while.
func TestPromisesHoldWhileHostsAndPlatformFail(t *testing.T) {
	d := deploy(t, 2)
	d.put(t, 0, testLists)
	d.awaitFirstAnswer(t)
	for i, f := range []standin.ExecutorFaults{
		{Rate: 0.2, CloseAfterRun: true}, {Rate: 0.2, WrongEcho: true}, {Rate: 0.2, TruncateBody: true},
		{Rate: 0.2, ResponseDelay: 300 * time.Millisecond},
	} {
		d.executors[i].SetFaults(f)
	}
	var mu sync.Mutex
	var all []callResult
	report := func(x callResult) {
		mu.Lock()
		defer mu.Unlock()
		all = append(all, x)
		switch len(all) {
		case failureCallers * failureCalls / 4:
			go d.hosts[1].Kill()
		case failureCallers * failureCalls / 2:
			d.platform.SetFaults(memtable.Faults{Outage: true})
		case failureCallers * failureCalls * 3 / 4:
			d.platform.SetFaults(memtable.Faults{})
		}
	}
	var wg sync.WaitGroup
	for n := range failureCallers {
		wg.Go(func() { d.callInSequence(t, n, report) })
	}
	wg.Wait()
	d.checkResults(t, all)
}

func (d *deployment) awaitFirstAnswer(t *testing.T) {
	t.Helper()
	for i, h := range d.hosts {
		eventually(t, "an answer of each host", func() bool {
			kind, _, _ := call(t, h, fmt.Sprint("warm-up-", i), "1", "0", "x")
			return kind == outcome.Answered.String()
		})
	}
}

func (d *deployment) callInSequence(t *testing.T, n int, report func(callResult)) {
	urls := make([]string, 0, len(d.hosts))
	for i := range d.hosts {
		urls = append(urls, "http://"+d.hosts[(i+n)%len(d.hosts)].CallerAddr())
	}
	c, err := client.New(clock.Real{}, urls...)
	must.NoError(t, err)
	for i := range failureCalls {
		x := callResult{key: fmt.Sprintf("%d-%d", n, i), body: fmt.Sprintf("body %d of %d", i, n)}
		x.outcome = c.Call(context.Background(), client.Call{
			Service: "order-desk", Method: "price-check", Team: "counter", Class: client.Urgent, Key: x.key, Body: []byte(x.body), Timeout: time.Second,
		})
		report(x)
	}
}

func (d *deployment) checkResults(t *testing.T, all []callResult) {
	t.Helper()
	runs := map[string]int{}
	for _, r := range standin.RunsByKey(d.executors...) {
		runs[r[0].Key] += len(r)
	}
	counts := map[outcome.Kind]int{}
	for _, x := range all {
		counts[x.outcome.Kind]++
		must.LessEq(t, 1, runs[x.key], must.Sprintf("%s ran %d times", x.key, runs[x.key]))
		switch x.outcome.Kind {
		case outcome.NotRun:
			must.Eq(t, 0, runs[x.key], must.Sprintf("%s was refused as not run (%s)", x.key, x.outcome.Reason))
		case outcome.Answered:
			must.Eq(t, string(standin.ExpectedResponse("order-desk", "price-check", []byte(x.body))), string(x.outcome.Body))
		}
	}
	must.Greater(t, 0, counts[outcome.Answered], must.Sprint("the faults must leave some answers"))
	must.Greater(t, 0, counts[outcome.Unknown], must.Sprint("the faults must make some outcomes unknown"))
	t.Log(counts)
}
