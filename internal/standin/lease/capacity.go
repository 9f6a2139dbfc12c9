package lease

import (
	"sort"
	"time"

	"samphirewell/internal/api"
)

// freeCapacity returns the resources that no active lease holds.
func (m *StateMachine) freeCapacity() (cores, memoryGB, accelerators int) {
	cores, memoryGB, accelerators = m.cfg.Cores, m.cfg.MemoryGB, m.cfg.Accelerators
	for _, t := range m.leases {
		if t.active() {
			cores -= t.req.Cores
			memoryGB -= t.req.MemoryGb
			accelerators -= t.req.Accelerators
		}
	}
	return cores, memoryGB, accelerators
}

func (m *StateMachine) fits(req api.ReserveRequest) bool {
	cores, memoryGB, accelerators := m.freeCapacity()
	return req.Cores >= 0 && req.MemoryGb >= 0 && req.Accelerators >= 0 &&
		req.Cores <= cores && req.MemoryGb <= memoryGB && req.Accelerators <= accelerators
}

func (m *StateMachine) addLease(req api.ReserveRequest) *task {
	m.leaseCount++
	t := &task{req: req, order: m.leaseCount, failAt: -1, checkpointEvery: m.cfg.CheckpointEvery}
	m.leases[req.LeaseID] = t
	return t
}

// grant reserves the resources and assigns accelerators. The caller has checked that they are free.
func (m *StateMachine) grant(req api.ReserveRequest, now time.Time) *task {
	t := m.addLease(req)
	t.state, t.expires = api.LeaseResultStateReserved, now.Add(milliseconds(req.TtlMS))
	for i := range m.acceleratorOwners {
		if len(t.accelerators) == req.Accelerators {
			break
		}
		if m.acceleratorOwners[i] == "" {
			m.acceleratorOwners[i] = req.LeaseID
			t.accelerators = append(t.accelerators, i)
		}
	}
	if len(t.accelerators) != req.Accelerators {
		panic("lease: free accelerators do not match their owners")
	}
	return t
}

func (m *StateMachine) startTask(t *task, now time.Time) {
	t.state, t.started, t.asOf = api.LeaseResultStateRunning, now, now
	if !m.paused {
		t.rate = t.unpausedRate()
	}
	if m.faults.FailTasks {
		t.failAt = m.faults.FailAfter
	}
	t.runIndex = len(m.history)
	m.history = append(m.history, Run{
		WorkerID: m.cfg.WorkerID, JobID: t.req.JobID, LeaseID: t.req.LeaseID, Token: t.req.Token, Part: t.req.Part,
		Accelerators: t.accelerators, Start: now, State: t.state,
	})
}

// end ends an active lease and releases its resources. A lease that has already ended keeps its state.
func (m *StateMachine) end(t *task, state api.LeaseResultState, at time.Time) {
	if !t.active() {
		return
	}
	if t.state == api.LeaseResultStateRunning {
		t.makeDueCheckpoints(at)
		t.completed, t.asOf, t.rate = t.progress(at), at, 0
		m.history[t.runIndex].End, m.history[t.runIndex].State = at, state
	}
	t.state, t.ended = state, at
	for _, i := range t.accelerators {
		m.acceleratorOwners[i] = ""
	}
}

// sweep ends the leases that are due, removes those that ended longer than endedRetention ago, and returns the current time.
func (m *StateMachine) sweep() time.Time {
	now := m.clock.Now()
	for id, t := range m.leases {
		switch {
		case t.active():
			m.endIfDue(t, now)
		case now.Sub(t.ended) > endedRetention:
			delete(m.leases, id)
		}
	}
	return now
}

// endIfDue ends an active lease that has expired or whose task has finished or failed, whichever came first. If both happen at the same moment,
// the end of the task counts.
func (m *StateMachine) endIfDue(t *task, now time.Time) {
	if at, ok := t.endsAt(); ok && !at.After(now) && !at.After(t.expires) {
		state := api.LeaseResultStateSucceeded
		if t.failAt >= 0 && t.failAt <= milliseconds(t.req.RunMS) {
			state = api.LeaseResultStateFailed
		}
		m.end(t, state, at)
		return
	}
	if !t.expires.After(now) {
		m.end(t, api.LeaseResultStateLapsed, t.expires)
		return
	}
	t.makeDueCheckpoints(now)
}

// Report returns the free resources and the leases, in the order in which they were added.
func (m *StateMachine) Report() api.WorkerReport {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.sweep()
	cores, memoryGB, accelerators := m.freeCapacity()
	report := api.WorkerReport{
		WorkerID: m.cfg.WorkerID, Incarnation: m.cfg.Incarnation,
		FreeCores: cores, FreeMemoryGb: memoryGB, FreeAccelerators: accelerators, Tasks: []api.TaskReport{},
	}
	for _, t := range m.leasesInOrder() {
		report.Tasks = append(report.Tasks, t.report(now))
	}
	return report
}

func (m *StateMachine) leasesInOrder() []*task {
	tasks := make([]*task, 0, len(m.leases))
	for _, t := range m.leases {
		tasks = append(tasks, t)
	}
	sort.Slice(tasks, func(i, j int) bool { return tasks[i].order < tasks[j].order })
	return tasks
}

func (t *task) report(now time.Time) api.TaskReport {
	r := api.TaskReport{
		LeaseID: t.req.LeaseID, JobID: t.req.JobID, Token: t.req.Token, Part: t.req.Part,
		State: api.TaskReportState(t.state),
		Cores: t.req.Cores, MemoryGb: t.req.MemoryGb, Accelerators: t.req.Accelerators,
		Checkpoint: t.checkpointName(), ProgressMS: int(t.savedProgress.Milliseconds()),
	}
	if t.state == api.LeaseResultStateRunning && now.Sub(t.started) >= usageLag {
		r.UsedCores = usageShare * float64(t.req.Cores)
		r.UsedMemoryGb = usageShare * float64(t.req.MemoryGb)
	}
	return r
}
