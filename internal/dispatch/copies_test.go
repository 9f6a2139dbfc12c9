package dispatch

import (
	"context"
	"fmt"
	"iter"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"samphirewell/internal/batch"
	"samphirewell/internal/lead"
)

// copyInterval is the time after which a copy without a response is followed by the next one.
const copyInterval = 700 * time.Millisecond

// slowDelivery is an order whose copies are sent copyInterval apart.
type slowDelivery struct {
	order   Order
	advance func() (*Delivery, bool) // sends copies until one gets no response, which gives nil, or until the delivery is over
	dueAt   time.Duration
}

// deliverSlowly begins the delivery of an order.
func (s *system) deliverSlowly(l *leader, o Order) {
	o.StillAllowed = func() bool {
		return s.fleet.now-l.sentAt < authorityAfterCommit && !l.core.Deposed() && l.core.withholdOrder(&o, 0) == ""
	}
	next, _ := iter.Pull(func(yield func(*Delivery) bool) {
		d := Deliver(o, func(o Order) Result {
			s.checkCopy(o)
			if !o.Stop {
				l.core.limitValidity(&o, s.fleet.now)
			}
			r := s.fleet.order(o)
			if r == Unknown {
				yield(nil)
			}
			return r
		})
		yield(&d)
	})
	l.slow = append(l.slow, &slowDelivery{o, next, s.fleet.now})
}

// stepDeliveries sends the copies that are due and hands the results to the core.
func (s *system) stepDeliveries(l *leader) {
	var pending []*slowDelivery
	for _, d := range l.slow {
		if d.dueAt > s.fleet.now {
			pending = append(pending, d)
			continue
		}
		result, _ := d.advance()
		switch {
		case result == nil:
			d.dueAt += copyInterval
			pending = append(pending, d)
		case d.order.Stop:
			l.core.OnStop(d.order, result.Result, s.fleet.now)
		default:
			l.core.OnStart(d.order, *result, s.fleet.now)
		}
	}
	l.slow = pending
}

// Guards against a task that is done twice (review/11): a copy of the start of its second run was sent after the result of the first one was accepted.
func TestNoCopyOfAStartIsSentOnceTheRunIsNotWanted(t *testing.T) {
	end := func(r *Runner, o Order, kind EndKind, run int) {
		r.Do(func(c *Core, now time.Duration) {
			c.OnReport("w", WorkerReport{Incarnation: 1, Clock: 2 * time.Second, Ended: []EndReport{{N: 1, Task: o.Task, Run: run, Kind: kind}}}, now, now)
		})
	}
	for name, event := range map[string]func(r *Runner, o Order){
		"an earlier run was done": func(r *Runner, o Order) { end(r, o, EndDone, 0) },
		"the run has ended":       func(r *Runner, o Order) { end(r, o, EndFailed, o.Run) },
		"the job was cancelled":   func(r *Runner, _ Order) { r.Do(func(c *Core, now time.Duration) { c.Cancel("j", now) }) },
		"the run was stopped":     func(r *Runner, o Order) { r.core.stopGroup(r.core.task(o.Task).group, 0, "preempted") },
		"a later run was ordered": func(r *Runner, o Order) { r.core.task(o.Task).group.run++ },
		"the run is listed": func(r *Runner, o Order) {
			r.Do(func(c *Core, now time.Duration) {
				c.OnReport("w", WorkerReport{Incarnation: 1, Clock: 2 * time.Second, Running: []RunReport{{Task: o.Task, Run: o.Run}}}, now, now)
			})
		},
		"the leader was replaced": func(r *Runner, _ Order) { r.leadErr = lead.ErrDeposed },
		"a worker has seen a newer leader": func(r *Runner, _ Order) {
			r.Do(func(c *Core, _ time.Duration) { c.OnRenewalRefused("w") })
		},
		"the leader releases leadership": func(r *Runner, _ Order) { r.core.StopStarting() },
		"the worker is draining": func(r *Runner, o Order) {
			w := o.Worker
			w.Draining = true
			r.Do(func(c *Core, now time.Duration) { c.SetWorkers([]batch.Worker{w}, now) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			r, o, _ := orderedStart(t)
			copies := 0
			r.workers = lossyWorkers{attempt: func(Order) Result {
				if copies++; copies == 1 {
					event(r, o)
				}
				return Unknown
			}}
			r.send(context.Background(), o)
			must.Eq(t, 1, copies)
		})
	}
	t.Run("the run is wanted", func(t *testing.T) {
		r, o, _ := orderedStart(t, Unknown, Unknown, Accepted)
		r.send(context.Background(), o)
		must.Eq(t, running, r.core.task(o.Task).phase)
	})
}

// checkCopy checks that a copy of a start is wanted when it is sent.
func (s *system) checkCopy(o Order) {
	id, _ := batch.ParseTaskID(o.Task)
	if _, done := s.fleet.doneAcked[s.fleet.groupOf(id)]; !o.Stop && (done || s.fleet.cancelled[id.Job]) {
		s.fleet.addViolation("copy of the start of %s run %d, done: %v, cancelled: %v", o.Task, o.Run, done, s.fleet.cancelled[id.Job])
	}
}

// Guards against a task that is done twice, or that starts after its job was cancelled: workers leave orders unanswered and carry them out late, some can't be
// reached until their leases have ended, jobs are cancelled and leaders change.
func TestOnlyWantedStartsAreRepeated(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newSystem(t, seed, 2, 3)
			s.fleet.noFaults, s.slowCopies = false, true
			for n := range 30 {
				j := simpleJob(fmt.Sprint("j", n), "normal", 1, 1+n%3, smallNeed)
				j.Steps[0].Gang = n%2 == 0
				s.submit(j)
				s.fleet.delayShare = []float64{0.7, 0.2}[n%2]
				w := s.fleet.workers[s.fleet.ids()[s.fleet.rng.IntN(len(s.fleet.workers))]]
				w.unreachable = !w.unreachable
				if n%4 == 3 {
					s.cancel(fmt.Sprint("j", n-s.fleet.rng.IntN(4)))
				}
				if n%10 == 9 {
					s.elect()
				}
				s.run(time.Duration(1+s.fleet.rng.IntN(30)) * testStep)
			}
			clearFaults(s)
			s.run(40 * time.Second)
			s.mustHaveNoViolations()
			for _, j := range s.jobs {
				must.True(t, s.state(j.ID).Terminal(), must.Sprint(j.ID, " never ends"))
			}
		})
	}
}

// Guards against a stop that an earlier leader repeats: the next leader may want the run. A stop that was not sent confirms nothing.
func TestStopIsNotRepeatedOnceItIsNotWanted(t *testing.T) {
	for name, event := range map[string]func(r *Runner, o Order){
		"the leader lost its authority": func(r *Runner, _ Order) { r.sentAt.Store(int64(r.clock.SinceBoot() - lapsedWriteAge)) },
		"the leader was replaced":       func(r *Runner, _ Order) { r.leadErr = lead.ErrDeposed },
		"the run has ended": func(r *Runner, o Order) {
			r.Do(func(c *Core, now time.Duration) {
				c.OnReport("w", WorkerReport{Incarnation: 1, Clock: 2 * time.Second, Ended: []EndReport{{N: 1, Task: o.Task, Run: o.Run, Kind: EndStopped}}}, now, now)
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			r, start, _ := orderedStart(t, Accepted)
			r.send(context.Background(), start)
			r.core.stopGroup(r.core.task(start.Task).group, 0, "preempted")
			orders := r.core.TakeOrders()
			must.SliceLen(t, 1, orders)
			copies := 0
			r.workers = lossyWorkers{attempt: func(o Order) Result {
				if copies++; copies == 1 {
					event(r, o)
				}
				return Unknown
			}}
			r.send(context.Background(), orders[0])
			must.Eq(t, 1, copies)
			must.False(t, r.core.task(start.Task).stopConfirmed)
		})
	}
}

// steppedClock is a Clock that a test sets.
type steppedClock struct{ now time.Duration }

func (c *steppedClock) SinceBoot() time.Duration { return c.now }
func (c *steppedClock) WallMS() int64            { return c.now.Milliseconds() }

// Guards against a start that is carried out seconds after the leader has given it up (review/11): the stop that follows may be late as well.
func TestCopyOfAStartIsValidForASecond(t *testing.T) {
	r, o, _ := orderedStart(t)
	w := r.core.workers["w"]
	clock := &steppedClock{now: w.lastContact + time.Hour} // the worker was idle
	r.clock = clock
	r.sentAt.Store(int64(clock.now))
	copies := 0
	r.workers = lossyWorkers{attempt: func(sent Order) Result {
		workerClock := w.lastClock + clock.now - w.lastContact
		must.Eq(t, workerClock+startValidity, sent.LeaseEnd, must.Sprint("the worker refuses a copy that was on its way for longer"))
		must.Eq(t, sent.LeaseEnd, w.leaseEnd, must.Sprint("the run has ended when the leader counts its lease as over"))
		copies++
		clock.now += copyInterval
		return Unknown
	}}
	r.send(context.Background(), o)
	must.Eq(t, orderAttempts, copies)
}

// Guards against runs whose lease ends before its first renewal: a worker that gets a start gets a renewal at once, whose lease covers the longest wait.
func TestRenewalFollowsAStartAtOnce(t *testing.T) {
	r, _, _ := orderedStart(t)
	must.SliceContains(t, r.core.TakePollWakeups(), "w")
	var renewal Renewal
	for range 2 { // the first one reads the worker's state
		renewal, _ = r.core.NextRenewal("w", r.clock.SinceBoot())
	}
	must.Greater(t, r.core.workers["w"].lastClock+renewalWait+startValidity, renewal.LeaseEnd)
}

// blockedMachines is a MachineProvider whose orders wait for a connection until blocked returns.
type blockedMachines struct {
	MachineProvider
	blocked func()
	sent    int
}

func (m *blockedMachines) Maintain(_ context.Context, o Maintenance) MaintenanceResult {
	m.blocked()
	if !o.StillAllowed() {
		return MaintenanceNotSent
	}
	m.sent++
	return MaintenanceBegun
}

// Guards against a maintenance order that is sent although its machine is gone or is in maintenance already, or after the leader was replaced.
func TestMaintenanceOrderIsNotSentOnceItIsNotWanted(t *testing.T) {
	for name, event := range map[string]func(r *Runner, w *wave){
		"nothing":                   func(*Runner, *wave) {},
		"the machine was removed":   func(r *Runner, w *wave) { r.core.finishMachine(w, "m", "gone") },
		"the order was withdrawn":   func(r *Runner, w *wave) { r.core.withdrawMaintenance(w, "m") },
		"the maintenance has begun": func(_ *Runner, w *wave) { w.confirmed["m"] = true },
		"a newer leader was seen":   func(r *Runner, _ *wave) { r.core.depose("test", "w") },
		"leadership is released":    func(r *Runner, _ *wave) { r.core.StopStarting() },
	} {
		t.Run(name, func(t *testing.T) {
			r, _, _ := orderedStart(t)
			r.core.SetWaves([]batch.Wave{{ID: "1", Machines: []string{"m"}}}, 0)
			w := r.core.waves["1"]
			w.phases["m"] = machineOrdered
			machines := &blockedMachines{blocked: func() { event(r, w) }}
			r.SetMachines(machines)
			r.maintain(context.Background(), Maintenance{Wave: "1", Machine: "m"})
			if name == "nothing" {
				must.Eq(t, 1, machines.sent)
			} else {
				must.Eq(t, 0, machines.sent)
			}
		})
	}
}
