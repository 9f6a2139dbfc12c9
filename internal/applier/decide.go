package applier

import (
	"context"
	"slices"
	"time"

	"samphirewell/internal/api"
	"samphirewell/internal/config"
	"samphirewell/internal/scheduler"
)

// decide computes and applies a scheduling decision if one is due and lists, rows and workers are available.
func (c *Controller) decide(ctx context.Context) {
	lists, available := c.deps.Lists()
	if !available || c.lastScan.IsZero() || len(c.workers) == 0 || c.stepStart.Before(c.nextPlan) {
		return
	}
	c.nextPlan = c.stepStart.Add(c.cfg.PlanPeriod)
	c.decision = scheduler.Plan(c.snapshot(lists))
	c.apply(ctx, c.decision.Actions)
}

// snapshot returns the state of the domain as input for package scheduler.
func (c *Controller) snapshot(lists api.Lists) scheduler.Snapshot {
	s := scheduler.Snapshot{
		Domain: c.deps.Domain, Now: c.now(), Teams: teamsOf(lists, c.deps.Domain),
		Weights:   scheduler.Weights{Completion: lists.Policy.CompletionWeight, Fragmentation: lists.Policy.FragmentationWeight},
		Estimates: c.estimates, Footprints: c.decision.Footprints, Reservation: c.decision.Reservation, LastMigration: c.lastMigration,
	}
	for _, w := range c.workers {
		s.Workers = append(s.Workers, scheduler.Worker{
			ID: w.entry.ID, Rack: w.entry.Rack, Capacity: capacityOf(w.entry), Usable: c.usable(w),
		})
	}
	orphanTokens := c.orphanTokens()
	for _, j := range c.sortedJobs() {
		switch {
		case j.holdsWorkers():
			s.Running = append(s.Running, c.runningGang(j))
		case j.rec.Phase == api.JobRecordPhaseWaiting:
			if reason := c.blockReason(j, orphanTokens); reason != "" {
				c.histories.record(j.rec.ID, c.now(), "waiting", reason)
				continue
			}
			w := scheduler.Waiting{Job: jobOf(&j.rec)}
			if !j.mayReuseFailedWorkers {
				w.FailedWorkers = j.rec.FailedWorkers
			}
			s.Waiting = append(s.Waiting, w)
		}
	}
	return s
}

func (c *Controller) runningGang(j *job) scheduler.Running {
	r := scheduler.Running{Job: jobOf(&j.rec), Slot: j.rec.Slot, Started: unixMS(j.rec.StartedMS)}
	for _, p := range j.rec.Placements {
		r.Workers = append(r.Workers, p.WorkerID)
	}
	checkpointedMS, _ := j.progress()
	checkpointedMS -= j.rec.CheckpointProgressMS
	r.CheckpointAge = max(0, c.now().Sub(r.Started)-time.Duration(checkpointedMS)*time.Millisecond)
	return r
}

func jobOf(r *api.JobRecord) scheduler.Job {
	return scheduler.Job{
		ID: r.ID, Team: r.Spec.Team, Kind: r.Spec.Kind, Class: classOf(r.Spec.Class),
		Shape: scheduler.Shape{
			Parts: r.Spec.Parts, Adjacency: adjacencyOf(string(r.Spec.Adjacency)),
			Part: scheduler.Resources{Cores: r.Spec.Cores, MemoryGB: r.Spec.MemoryGb, Accelerators: r.Spec.Accelerators},
		},
		Submitted: unixMS(r.SubmittedMS), DeclaredRun: time.Duration(r.Spec.DeclaredRunMS) * time.Millisecond,
		Progress: time.Duration(r.CheckpointProgressMS) * time.Millisecond, Preemptions: r.Preemptions,
	}
}

func classOf(c api.JobSpecClass) scheduler.Class {
	switch c {
	case api.JobSpecClassUrgent:
		return scheduler.Urgent
	case api.JobSpecClassNormal:
		return scheduler.Normal
	}
	return scheduler.Batch
}

func adjacencyOf(a string) scheduler.Adjacency {
	switch a {
	case string(api.JobSpecAdjacencyWorker):
		return scheduler.SameWorker
	case string(api.JobSpecAdjacencyRack):
		return scheduler.SameRack
	}
	return scheduler.SameDomain
}

// teamsOf returns the teams with their plans and the guarantees in the domain.
func teamsOf(lists api.Lists, domain string) []scheduler.Team {
	plans := make(map[string]api.Plan, len(lists.Plans))
	for _, p := range lists.Plans {
		plans[p.Name] = p
	}
	teams := make([]scheduler.Team, 0, len(lists.Teams))
	for _, t := range lists.Teams {
		p := plans[t.Plan]
		team := scheduler.Team{ID: t.Name, Weight: p.Weight, AcceleratorLimit: config.DomainAcceleratorLimit(lists, t.Name, p, domain)}
		for _, g := range p.Guarantees {
			if g.FailureDomain != domain {
				continue
			}
			team.Guarantees = append(team.Guarantees, scheduler.Guarantee{Count: g.Count, Shape: scheduler.Shape{
				Parts: g.Parts, Adjacency: adjacencyOf(string(g.Adjacency)),
				Part: scheduler.Resources{Cores: g.Cores, MemoryGB: g.MemoryGb, Accelerators: g.Accelerators},
			}})
		}
		teams = append(teams, team)
	}
	return teams
}

// apply executes the actions: refusals and preemptions first, because the placements may use the resources that they release.
func (c *Controller) apply(ctx context.Context, actions []scheduler.Action) {
	var starts []*gangStart
	checkpoints := newLeaseBatches()
	for _, a := range actions {
		j := c.jobs[a.JobID]
		if j == nil {
			continue
		}
		switch a.Kind {
		case scheduler.Refuse:
			c.refuse(j, a.Reason)
		case scheduler.KeepWaiting, scheduler.Reserve:
			c.keepWaiting(j, a.Reason)
		case scheduler.Preempt, scheduler.Migrate:
			c.preempt(j, a, checkpoints)
		case scheduler.Place:
			if s := c.newGangStart(j, a); s != nil {
				starts = append(starts, s)
			}
		}
	}
	c.sendBatches(ctx, checkpoints, c.deps.Client.Checkpoint, c.handleLeaseResult, false)
	c.runFences(ctx)
	c.startGangs(ctx, starts)
}

// refuseAfter is the time for which a job must exceed the listed workers before it is refused. Lists may lack workers temporarily, and a
// refusal is final.
const refuseAfter = 30 * time.Second

// refuse ends a job that can never run. Its phase is failed instead of refused if the job failed on too many workers.
func (c *Controller) refuse(j *job, r scheduler.Reason) {
	switch r.Code {
	case scheduler.LargerThanWorker, scheduler.LargerThanRack, scheduler.LargerThanDomain, scheduler.MemoryTooLarge:
		if j.tooLargeSince.IsZero() {
			j.tooLargeSince = c.now()
		}
		if c.now().Sub(j.tooLargeSince) < refuseAfter {
			c.keepWaiting(j, r)
			return
		}
	}
	phase := api.JobRecordPhaseRefused
	if r.Code == scheduler.FailedOnWorkers {
		phase = api.JobRecordPhaseFailed
	}
	c.end(j, phase, r.String())
}

// keepWaiting records in memory why the job waits. The row is not written for a change of the reason.
func (c *Controller) keepWaiting(j *job, r scheduler.Reason) {
	if r.Code == scheduler.InsufficientCapacity {
		j.tooLargeSince = time.Time{}
	}
	if r.Code == scheduler.InsufficientCapacity && len(j.rec.FailedWorkers) > 0 && !j.mayReuseFailedWorkers {
		j.mayReuseFailedWorkers = !c.fitsElsewhere(j)
	}
	j.rec.Reason = string(r.Code)
	c.histories.recordDecision(j.rec.ID, c.now(), r)
}

// fitsElsewhere reports whether the job would fit on the empty domain without the workers on which it failed. If it does not, the job may
// reuse these workers; otherwise it would wait forever.
func (c *Controller) fitsElsewhere(j *job) bool {
	s := scheduler.Snapshot{
		Domain: c.deps.Domain, Now: c.now(), Weights: scheduler.Weights{Completion: 1},
		Teams:   []scheduler.Team{{ID: j.rec.Spec.Team, Weight: 1}},
		Waiting: []scheduler.Waiting{{Job: jobOf(&j.rec), FailedWorkers: j.rec.FailedWorkers}},
	}
	for _, w := range c.workers {
		s.Workers = append(s.Workers, scheduler.Worker{ID: w.entry.ID, Rack: w.entry.Rack, Capacity: capacityOf(w.entry), Usable: true})
	}
	return slices.ContainsFunc(scheduler.Plan(s).Actions, func(a scheduler.Action) bool { return a.Kind == scheduler.Place })
}

// preempt stops a gang. A gang that migrates is checkpointed first. It is then placed like any waiting job, because the resources that were
// planned for it may no longer be free when the stop is confirmed.
func (c *Controller) preempt(j *job, a scheduler.Action, checkpoints *leaseBatches) {
	if j.fence != nil || !j.holdsWorkers() {
		return
	}
	if a.Kind == scheduler.Migrate {
		c.lastMigration = c.now()
		for i := range j.parts {
			checkpoints.add(j.parts[i].WorkerID, 0, j.ref(&j.parts[i], j.rec.Token))
		}
	} else {
		j.rec.Preemptions++
	}
	c.beginFence(j, string(a.Reason.Code), api.EventKindGangPreempted)
	c.histories.recordDecision(j.rec.ID, c.now(), a.Reason)
}

// Reasons why a waiting job is left out of the snapshot for package scheduler.
const (
	blockedUncertainRow    = "waits_for_row"     // the row must be read again, for example after a write with unknown outcome
	blockedTableOutage     = "waits_for_table"   // the table is unavailable, and the conditions for a placement without a row are not met
	blockedFormerPlacement = "waits_for_former"  // leases of an earlier placement are still active
	blockedMissingReports  = "waits_for_reports" // a former preferred host may have placed the job, and some workers have not reported yet
)

// blockReason returns why the waiting job must not be placed now, or an empty string. A placement could run the job twice, rely on an
// outdated row, or start a cancelled job.
func (c *Controller) blockReason(j *job, orphanTokens map[string]int) string {
	switch {
	case j.rowUncertain:
		return blockedUncertainRow
	case j.rec.CancelRequested:
		return reasonCancelled
	case orphanTokens[j.rec.ID] > 0:
		return blockedFormerPlacement
	case c.outage && (c.cfg.RequireRow || !c.formerLeasesExpired()):
		return blockedTableOutage
	}
	// During an outage, a former preferred host may have placed the job without a row, unless the job is too new for that host to have read it.
	submittedLater := !c.completeScanAt.IsZero() && j.firstSeen.After(c.completeScanAt)
	if submittedLater || c.formerPlacementsTracked() {
		return ""
	}
	return blockedMissingReports
}

// formerPlacementsTracked reports whether every placement of a former preferred host that can still be active is contained in a report. A
// commit in flight follows a confirmed reservation, which is contained in a report as well or has expired.
func (c *Controller) formerPlacementsTracked() bool {
	if c.formerLeasesExpired() {
		return true
	}
	if c.formerWorkers == nil {
		return false
	}
	authorityEnd := c.formerAuthorityEnd()
	for id := range c.formerWorkers {
		if w := c.workers[id]; w == nil || !w.lastReport.After(authorityEnd) {
			return false
		}
	}
	for _, w := range c.workers {
		if c.listed(w) && !w.lastReport.After(authorityEnd) {
			return false
		}
	}
	return true
}

// formerAuthorityEnd returns the time from which no former preferred host has authority.
func (c *Controller) formerAuthorityEnd() time.Time {
	return c.ownCommandsSince.Add(c.cfg.maxFormerAuthority())
}

// formerLeasesExpired reports whether all leases granted by former preferred hosts have expired, also those on unresponsive workers.
func (c *Controller) formerLeasesExpired() bool {
	return c.stepStart.After(c.ownCommandsSince.Add(c.cfg.maxFormerAuthority() + c.cfg.leaseExpiryBound()))
}
