package dispatch

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"samphirewell/internal/placement"
	"samphirewell/internal/waitcost"
)

// waitLogInterval is the shortest time between two log lines about a waiting task group; it bounds the log volume while many wait.
const waitLogInterval = 2 * time.Second

// maxWaitLogs bounds the waits that are logged in one cycle, because each is measured against all workers.
const maxWaitLogs = 4

// waitLog is a request whose wait is logged if the cycle doesn't place it. The planner changes what the other fields are counted from.
type waitLog struct {
	request int            // index into the requests of the cycle
	room    placement.Room // before the cycle
	avoided int            // workers that it avoids before the cycle
}

// dueWaitLogs returns requests that have waited for long and whose wait wasn't logged within waitLogInterval.
func dueWaitLogs(in *planInput, now time.Duration) []waitLog {
	var due []waitLog
	for i := range in.Requests {
		r := &in.Requests[i]
		if len(due) < maxWaitLogs && r.WaitTime >= waitLogInterval && now-in.requestGroups[i][0].waitLoggedAt >= waitLogInterval {
			due = append(due, waitLog{request: i, avoided: len(r.AvoidedWorkers)})
		}
	}
	return due
}

// measureRoom measures the free capacity before the decision, as far as waits are logged.
func (in *planInput) measureRoom() {
	for i := range in.waitLogs {
		in.waitLogs[i].room = placement.RoomFor(&in.Requests[in.waitLogs[i].request], in.Workers)
	}
	if len(in.waitLogs) > 0 {
		in.freePercent = int(100 * placement.FreeShare(in.Workers))
	}
}

// logWaiting logs the due requests that still wait, the capacity before the cycle and what earlier requests left of it.
func (c *Core) logWaiting(in *planInput, now time.Duration) {
	if len(in.waitLogs) == 0 {
		return
	}
	capacity := freeCapacityFields(in)
	for _, l := range in.waitLogs {
		r, g := &in.Requests[l.request], in.requestGroups[l.request][0]
		if !g.ready() {
			continue
		}
		g.waitLoggedAt = now
		left, outlook := placement.RoomFor(r, in.Workers), in.outlook(g)
		message := "still waiting for room"
		evacuation, blocked := c.evacuationFields(in, r)
		if blocked {
			message = "still waiting, all workers that could run it are in evacuated failure domains"
		}
		c.logTask(g.tasks[0]).WithFields(capacity).WithFields(evacuation).WithFields(logrus.Fields{"waited_ms": r.WaitTime.Milliseconds(), "tasks": r.Count, "gang": r.Gang,
			"same_rack": r.Step.SameRack, "data_rack": r.Step.DataRack, "accelerators_each": r.Step.Need.Accelerators,
			"within_guarantee": r.WithinGuarantee, "fit_fleet": l.room.Fleet, "fit_rack": l.room.Rack, "left_fleet": left.Fleet,
			"left_rack": left.Rack, "reserved": slices.Contains(in.decision.Reserved, l.request), "avoided_workers": l.avoided, "ahead": l.request,
			"priority": r.Priority, "standing": c.objectiveStatus(g.job, now).String(), "preemptions": g.preemptions,
			"team_share": c.shareOf(in.service, g.job).String(), "outlook": outlook.Decision.String(), "expected_wait_ms": outlook.Wait.Milliseconds(),
			"remaining_percent": int(100 * c.remainingShare(g.job, g.job.occurrence(g.occurrence)))}).Info(message)
	}
}

// outlook returns the expected future of a waiting group: what waits ahead of it is done first by the whole capacity of the service. Steps of a job that wait
// at the same time count its remaining work once each.
func (in *planInput) outlook(g *taskGroup) waitcost.Outlook {
	ahead := 0.0
	for _, r := range in.ready {
		job := r.rest.waitingJob(r.order.step, in.capacity)
		if slices.Contains(r.groups, g) {
			return job.Outlook(ahead, 1)
		}
		ahead += job.Work * job.RemainingShare
	}
	return waitcost.Outlook{}
}

// freeCapacityFields describes the free capacity of a cycle for log lines.
func freeCapacityFields(in *planInput) logrus.Fields {
	free, usable := 0, 0
	for _, w := range in.Workers {
		if w.Usable {
			usable++
			free += max(0, w.Free.Accelerators)
		}
	}
	return logrus.Fields{"usable_workers": usable, "free_accelerators": free, "free_percent": in.freePercent, "kept_cores": int(in.Headroom)}
}
