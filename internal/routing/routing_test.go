package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"samphirewell/internal/registry"
)

var start = time.Unix(1000, 0)

func servers(n int) []registry.Server {
	out := make([]registry.Server, n)
	for i := range out {
		out[i] = registry.Server{ID: fmt.Sprint("e", i), Incarnation: "1", Service: "s", FailureDomain: fmt.Sprint("d", i%2)}
	}
	return out
}

func newPicker(n int) *Picker {
	p := New(Config{Domain: "d0", Slots: 2}, rand.New(rand.NewPCG(1, 2)).Uint64)
	p.Update(servers(n))
	return p
}

// Guards against slots that leak or are used twice, more ejected executors than allowed, and calls to leaving servers.
func TestPickerAccountsSlotsAndBoundsEjection(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "executors")
		p, now, held := newPicker(n), start, []*Target{}
		left := map[string]bool{}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				n = rapid.IntRange(1, 12).Draw(t, "executors")
				p.Update(servers(n))
			case 1, 2:
				if target := p.Pick(Request{Service: "s", Probe: rapid.Bool().Draw(t, "probe")}, now); target != nil {
					must.False(t, left[target.Server.ID], must.Sprint("picked a leaving executor"))
					held = append(held, target)
				}
			default:
				if len(held) > 0 {
					r := Report{Result: Result(rapid.IntRange(0, 3).Draw(t, "result")), FreeSlots: rapid.IntRange(-1, 2).Draw(t, "free"),
						Leaving: rapid.IntRange(0, 30).Draw(t, "leaving") == 0}
					held[0].Done(r, now)
					held = held[1:]
				}
			}
			left = checkPicker(t, p, held)
		}
	})
}

func checkPicker(t *rapid.T, p *Picker, held []*Target) map[string]bool {
	calls, ejected, left := map[*executor]int{}, 0, map[string]bool{}
	for _, target := range held {
		calls[target.executor]++
	}
	for _, e := range p.fleet.Load().byID {
		must.Eq(t, calls[e], int(e.inFlight.Load()))
		must.LessEq(t, 2, calls[e])
		if e.probeAt.Load() != 0 {
			ejected++
		}
		left[e.server.ID] = e.leaving.Load()
	}
	must.Eq(t, ejected, p.Ejected())
	must.LessEq(t, p.Size()*30/100, ejected)
	return left
}

// Guards against calls that go to other domains while the own domain has free slots, and against calls that do not when it is full.
func TestOwnDomainIsPreferred(t *testing.T) {
	p := newPicker(4)
	for i := range 8 {
		target := p.Pick(Request{Service: "s"}, start)
		must.NotNil(t, target)
		must.Eq(t, i < 4, target.Server.FailureDomain == "d0")
	}
	must.Nil(t, p.Pick(Request{Service: "s"}, start))
}

// Guards against an ejected executor that gets calls before its probe, or that is never readmitted.
func TestEjectedExecutorReturnsByProbe(t *testing.T) {
	p := newPicker(8)
	bad, now := "", start
	for range 1000 {
		if now = now.Add(ReportTTL); p.Ejected() > 0 {
			break
		}
		target := p.Pick(Request{Service: "s"}, now)
		if bad == "" {
			bad = target.Server.ID
		}
		r := Report{Result: Success, FreeSlots: -1}
		if target.Server.ID == bad {
			r.Result = Failure
		}
		target.Done(r, now)
	}
	must.Eq(t, 1, p.Ejected())
	now = now.Add(-ReportTTL) // the time of the ejection
	probe := p.Pick(Request{Service: "s", Probe: true}, now.Add(FirstProbeDelay))
	must.Eq(t, bad, probe.Server.ID)
	probe.Done(Report{Result: Failure, FreeSlots: -1}, now.Add(FirstProbeDelay))
	early := p.Pick(Request{Service: "s", Probe: true}, now.Add(2*FirstProbeDelay))
	must.NotEq(t, bad, early.Server.ID)
	probe = p.Pick(Request{Service: "s", Probe: true}, now.Add(3*FirstProbeDelay))
	must.Eq(t, bad, probe.Server.ID)
	probe.Done(Report{Result: Success, FreeSlots: 1}, now.Add(3*FirstProbeDelay))
	must.Eq(t, 0, p.Ejected())
}

// Guards against light load that always goes to the few executors with recent load reports.
func TestLightLoadIsSpreadOverAllExecutors(t *testing.T) {
	p, calls, now := newPicker(16), map[string]int{}, start
	for range 400 { // 8 executors are in the own domain
		target := p.Pick(Request{Service: "s"}, now)
		calls[target.Server.ID]++
		now = now.Add(time.Millisecond)
		target.Done(Report{Result: Success, FreeSlots: 2}, now)
	}
	must.MapLen(t, 8, calls)
	for _, n := range calls {
		must.Between(t, 20, n, 100)
	}
}

// Guards against the ejection of every executor when the whole fleet fails.
func TestAtMostThirtyPercentAreEjected(t *testing.T) {
	p, now, worst := newPicker(10), start, 0
	for range 500 {
		now = now.Add(ReportTTL)
		if target := p.Pick(Request{Service: "s"}, now); target != nil {
			target.Done(Report{Result: Failure, FreeSlots: -1}, now)
		}
		worst = max(worst, p.Ejected())
	}
	must.Eq(t, 3, worst)
	p.Update(servers(4))
	must.LessEq(t, 1, p.Ejected())
}
