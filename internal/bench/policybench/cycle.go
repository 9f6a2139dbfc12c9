package policybench

import (
	"fmt"
	"slices"
	"time"

	"samphirewell/internal/scheduler"
)

// plan runs one cycle of the policy and applies its decision.
func (s *sim) plan() {
	s.probeWorkers()
	d := s.policy(s.snapshot())
	s.lastDecision = d
	preempting := slices.ContainsFunc(d.Actions, func(a scheduler.Action) bool { return a.Kind == scheduler.Preempt })
	delay := time.Duration(0)
	if preempting {
		delay = stopDelay
	}
	s.claims.updateBeforeCycle()
	for i := range d.Actions {
		s.apply(&d.Actions[i], delay)
	}
	s.claims.updateAfterCycle()
	if preempting {
		s.scheduleCycle(cycleDelay)
	}
	s.scheduleFollowUpCycles()
}

// scheduleFollowUpCycles schedules a cycle at the deadline of the reservation, one after a migration, and regular ones while jobs wait.
func (s *sim) scheduleFollowUpCycles() {
	if r := s.lastDecision.Reservation; r != nil {
		if at := r.Deadline.Sub(simulationStart); at > s.now && at != s.reservationDeadline {
			s.reservationDeadline = at
			s.push(event{at: at, kind: eventCycle})
		}
	}
	if s.lastMigration.Equal(simulationStart.Add(s.now)) { // a further migration may be worthwhile
		s.push(event{at: s.now + migrationCycleDelay, kind: eventCycle})
	}
	if len(s.queue) > 0 && s.nextIdleCycle <= s.now {
		s.nextIdleCycle = s.now + idleCycleInterval
		s.push(event{at: s.nextIdleCycle, kind: eventCycle})
	}
}

// probeWorkers runs the due health probes of quarantined workers.
func (s *sim) probeWorkers() {
	now := simulationStart.Add(s.now)
	for _, id := range s.health.ProbesDue(now) {
		s.health.Probed(id, !s.badWorkers[id], now)
	}
}

// snapshot returns the input of the policy for this cycle.
func (s *sim) snapshot() scheduler.Snapshot {
	snap := scheduler.Snapshot{
		Domain: s.mix.Domains[s.domain].Name, Now: simulationStart.Add(s.now), Workers: s.workers, Teams: s.mix.Teams,
		Weights: s.mix.Weights, Estimates: s.estimator, Footprints: s.lastDecision.Footprints, Reservation: s.lastDecision.Reservation,
		LastMigration: s.lastMigration,
		Running:       make([]scheduler.Running, 0, len(s.active)), Waiting: make([]scheduler.Waiting, 0, len(s.queue)),
	}
	for i := range s.workers {
		s.workers[i].Usable = s.activeOutages[i] == 0 && !s.health.Quarantined(s.workers[i].ID)
	}
	for _, j := range s.active {
		snap.Running = append(snap.Running, scheduler.Running{
			Job: s.schedulerJob(j), Workers: j.workers, Slot: j.slot, Started: simulationStart.Add(j.startedAt), CheckpointAge: s.checkpointAge(j),
		})
	}
	for _, j := range s.queue {
		snap.Waiting = append(snap.Waiting, scheduler.Waiting{Job: s.schedulerJob(j), FailedWorkers: s.health.FailedWorkers(j.ID)})
	}
	return snap
}

// schedulerJob returns the job as the policy sees it, with its present progress.
func (s *sim) schedulerJob(j *job) scheduler.Job {
	v := j.Job
	v.Progress, v.Preemptions = j.progress, j.preemptions
	return v
}

func (s *sim) apply(a *scheduler.Action, delay time.Duration) {
	j := s.jobs[a.JobID]
	switch a.Kind {
	case scheduler.Place:
		s.queue = slices.DeleteFunc(s.queue, func(o *job) bool { return o == j })
		s.start(j, a.Workers, a.Slot, delay)
		s.checkPlacement(j)
	case scheduler.Preempt:
		s.removeJob(j)
		s.measures.recordPreemption(j, s.rollBackToCheckpoint(j))
		j.preemptions++
		s.requeue(j)
	case scheduler.Migrate:
		s.migrate(j, a)
	case scheduler.Refuse:
		s.removeJob(j)
		s.endJob(j, refused)
	}
}

// migrate restarts a gang on other workers from a checkpoint written now. A gang that writes no checkpoints loses its progress, which counts as a
// preemption too.
func (s *sim) migrate(j *job, a *scheduler.Action) {
	s.removeJob(j)
	if j.CheckpointInterval > 0 {
		j.progress += s.currentRunTime(j)
	} else {
		s.measures.recordPreemption(j, s.rollBackToCheckpoint(j))
	}
	s.measures.recordMigration(j)
	s.lastMigration = simulationStart.Add(s.now)
	s.start(j, a.Workers, j.slot, stopDelay)
	s.checkPlacement(j)
}

// checkPlacement panics if the policy overcommits a worker, uses an unusable one or starts only some parts of a gang.
func (s *sim) checkPlacement(j *job) {
	if len(j.workers) != j.Shape.Parts {
		panic(fmt.Sprintf("policybench: %s was not placed on one worker per part", j.ID))
	}
	for _, id := range j.workers {
		free := s.measures.free[s.workerIndex[id]]
		if free.Cores < 0 || free.MemoryGB < 0 || free.Accelerators < 0 || !s.workers[s.workerIndex[id]].Usable {
			panic(fmt.Sprintf("policybench: %s overcommits worker %s, or the worker is not usable", j.ID, id))
		}
	}
}
