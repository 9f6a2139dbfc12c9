package dispatch

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"samphirewell/internal/batch"
	"samphirewell/internal/rowstore"
)

const (
	// machinesReadInterval is the time between two reads of the list of machines while a wave is open. A machine that came up is detected that much
	// later. Maintenance may take as little as 2 s.
	machinesReadInterval = 400 * time.Millisecond
	// machinesMaxAge is the age up to which the list of machines is used.
	machinesMaxAge = 2 * time.Second
	// maintenanceEstimate is the assumed duration of the maintenance of a machine while none has been observed. Shorter ones are common.
	maintenanceEstimate = 3 * time.Second
	// maintenanceRetryInterval is the pause after a maintenance order that was refused or got no response.
	maintenanceRetryInterval = time.Second
	// machineOrderAuthority is how long a leader may order maintenance after it sent its last successful write. It is short because machines don't
	// always refuse the orders of an earlier leader; the next leader waits for machineTakeoverWait before it orders the same machine again.
	machineOrderAuthority = 1500 * time.Millisecond
	// machineTakeoverWait is the wait of a new leader before it repeats a maintenance order of an earlier leader: the authority of the earlier leader,
	// the time limit of its last call (1 s), and the time within which two leaders must not give orders for the same machine (3 s), rounded up.
	machineTakeoverWait = 6 * time.Second
	// waveKeyPrefix is the prefix of the keys of wave rows in the tasks table.
	waveKeyPrefix = "wave/"
)

// Maintenance is an order to take a machine down for maintenance. All runs on it end.
type Maintenance struct {
	Wave, Machine string
	Epoch         uint64
	// StillAllowed reports whether the order may still be sent. It is called immediately before sending.
	StillAllowed func() bool
}

// MaintenanceResult is the outcome of a maintenance order.
type MaintenanceResult uint8

// Results of maintenance orders.
const (
	MaintenanceBegun   MaintenanceResult = iota + 1 // it has begun now or earlier
	MaintenanceBusy                                 // the machine isn't up
	MaintenanceNotDue                               // the machine doesn't exist or doesn't belong to the wave
	MaintenanceDeposed                              // a newer leader has given orders for the machine
	MaintenanceUnknown                              // no response: it may still begin
	MaintenanceNotSent                              // the leader's authority had ended, or there was no connection
)

// String returns the name for logs.
func (r MaintenanceResult) String() string {
	return [...]string{"", "begun", "busy", "not_due", "deposed", "unknown", "not_sent"}[r]
}

// maintenancePhase is the phase of a machine in a wave.
type maintenancePhase uint8

const (
	machineWaiting  maintenancePhase = iota
	machineDraining                  // its worker gets no new work and its runs are stopped
	machineStoring                   // the order is being stored and will be sent after that
	machineOrdered                   // maintenance was ordered and may begin at any time
	machineDown                      // maintenance has begun, and the machine isn't up again
	machineFinished
)

// wave is the state of a maintenance wave. Only machines whose maintenance was ordered or has finished are stored; the rest follows from the list of
// machines.
type wave struct {
	batch.Wave
	startedAt      time.Duration
	startedMS      int64 // time of day when the first leader saw the wave, Unix milliseconds
	phases         map[string]maintenancePhase
	orderedAt      map[string]time.Duration
	confirmed      map[string]bool      // machines whose maintenance has begun, according to a response or the list of machines
	repeated       map[string]bool      // machines whose order was repeated because it got no response; it may have begun the maintenance
	orderedWorkers map[string]workerRef // worker on each machine when its maintenance was ordered
	completed      bool
	reported       bool // its current state was reported to the operators
}

// workerRef identifies an incarnation of a worker.
type workerRef struct {
	id          string
	incarnation int64
}

// waveValue is the row of a wave.
type waveValue struct {
	StartedMS int64    `json:"since"`
	Ordered   []string `json:"ordered,omitempty"`
	Workers   []string `json:"workers,omitempty"` // of the machines in Ordered; absent in the rows of earlier versions
	Finished  []string `json:"over,omitempty"`
	Completed bool     `json:"done,omitempty"`
}

// WaveReport reports the start or the completion of a wave to operators.
type WaveReport struct {
	ID        string
	Completed bool
}

func waveRow(id string) rowID { return rowID{kind: waveRows, job: id} }

// SetWaves adds the waves that operators have requested. Waves that are already present are ignored.
func (c *Core) SetWaves(list []batch.Wave, now time.Duration) {
	for _, w := range list {
		if c.waves[w.ID] != nil {
			continue
		}
		n := &wave{Wave: w, startedAt: now, startedMS: c.timeOfDayMS, phases: map[string]maintenancePhase{}, orderedAt: map[string]time.Duration{}, confirmed: map[string]bool{},
			repeated: map[string]bool{}, orderedWorkers: map[string]workerRef{}}
		n.MaxInMaintenance = max(1, n.MaxInMaintenance)
		if row, ok := c.storedWaves[w.ID]; ok {
			n.restore(row, c.timeOfDayMS, now)
		} else {
			c.put(waveRow(w.ID))
		}
		c.waves[w.ID] = n
		c.log.WithFields(logrus.Fields{"epoch": c.epoch, "wave": w.ID, "machines": len(w.Machines), "cap": n.MaxInMaintenance, "within_ms": w.TargetDuration.Milliseconds(), "completed": n.completed}).
			Info("maintenance wave added")
	}
}

// restore restores what an earlier leader has stored. Maintenance that it ordered is ordered again, which has no further effect if it has begun.
func (w *wave) restore(v waveValue, wallMS int64, now time.Duration) {
	w.completed = v.Completed
	if v.StartedMS > 0 && v.StartedMS <= wallMS {
		w.startedMS, w.startedAt = v.StartedMS, now-time.Duration(wallMS-v.StartedMS)*time.Millisecond
	}
	for i, m := range v.Ordered {
		w.phases[m] = machineOrdered
		w.orderedAt[m] = now + machineTakeoverWait - maintenanceRetryInterval
		if i < len(v.Workers) {
			w.orderedWorkers[m] = workerRef{id: v.Workers[i]}
		}
	}
	for _, m := range v.Finished {
		w.phases[m] = machineFinished
	}
}

func (c *Core) encodeWave(id string) ([]byte, bool) {
	w := c.waves[id]
	if w == nil {
		return nil, false
	}
	v := waveValue{StartedMS: w.startedMS, Completed: w.completed}
	for _, m := range w.Machines {
		switch w.phases[m] {
		case machineStoring, machineOrdered, machineDown:
			v.Ordered, v.Workers = append(v.Ordered, m), append(v.Workers, w.orderedWorkers[m].id)
		case machineFinished:
			v.Finished = append(v.Finished, m)
		}
	}
	return mustEncode(v), true
}

func (c *Core) restoreWave(r rowstore.Row, id string) {
	var v waveValue
	if err := json.Unmarshal(r.Value, &v); err != nil {
		c.log.WithField("row", r.Key.Key).WithError(err).Error("unreadable row of a wave")
		return
	}
	c.storedWaves[id] = v
}

// NeedsMachines reports whether the list of machines should be read now.
func (c *Core) NeedsMachines(now time.Duration) bool {
	return !c.startsDisabled && now-c.machinesAt >= machinesReadInterval && len(c.incompleteWaves()) > 0
}

// OnMachines sets the list of all machines. sent is when it was requested.
func (c *Core) OnMachines(list []batch.Machine, sent time.Duration) {
	c.machines, c.machinesAt = make(map[string]batch.Machine, len(list)), sent
	for _, m := range list {
		c.machines[m.ID] = m
	}
}

// incompleteWaves returns the waves that aren't completed, in order of their ids.
func (c *Core) incompleteWaves() []*wave {
	var out []*wave
	for _, w := range c.waves {
		if !w.completed {
			out = append(out, w)
		}
	}
	slices.SortFunc(out, func(a, b *wave) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// TakeMaintenance returns and clears the maintenance orders to send now.
func (c *Core) TakeMaintenance() []Maintenance {
	out := c.maintenance
	c.maintenance = nil
	return out
}

// TakeWaveReports returns and clears the reports about waves for the operators. RequeueWaveReport must be called for a report that could not be
// delivered.
func (c *Core) TakeWaveReports() []WaveReport {
	var out []WaveReport
	for _, w := range c.waves {
		if !w.reported {
			w.reported = true
			out = append(out, WaveReport{w.ID, w.completed})
		}
	}
	slices.SortFunc(out, func(a, b WaveReport) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// RequeueWaveReport makes TakeWaveReports return the report of a wave again.
func (c *Core) RequeueWaveReport(id string) {
	if w := c.waves[id]; w != nil {
		w.reported = false
	}
}

// tickWaves advances the open waves.
func (c *Core) tickWaves(now time.Duration) {
	c.closedForMaintenance = map[string]bool{}
	for _, w := range c.incompleteWaves() {
		c.closeOrderedWorkers(w)
		if now-c.machinesAt > machinesMaxAge || len(c.machines) == 0 {
			continue // without a recent list it is not known which machines are up
		}
		c.tickWave(w, now)
	}
}

// closeOrderedWorkers closes the workers of the machines whose maintenance may begin at any time, however old the list of machines is.
func (c *Core) closeOrderedWorkers(w *wave) {
	for _, m := range w.Machines {
		if p := w.phases[m]; p == machineStoring || p == machineOrdered {
			c.closedForMaintenance[w.orderedWorkers[m].id] = true
		}
	}
}

func (c *Core) tickWave(w *wave, now time.Duration) {
	busy, left := 0, 0
	for _, m := range w.Machines {
		c.tickMachine(w, m, now)
		switch w.phases[m] {
		case machineStoring, machineOrdered:
			busy++
			c.closedForMaintenance[c.machines[m].Worker] = true
		case machineDown:
			busy++
		case machineWaiting, machineDraining:
			left++
		}
	}
	if busy+left == 0 {
		w.completed, w.reported = true, false
		c.put(waveRow(w.ID))
		c.log.WithFields(logrus.Fields{"epoch": c.epoch, "wave": w.ID, "took_ms": (now - w.startedAt).Milliseconds()}).Info("wave completed")
		return
	}
	next := w.MaxInMaintenance - busy
	for _, m := range c.drainCandidates(w, now) {
		if next <= 0 {
			return
		}
		if c.drainMachine(w, m, left, now) {
			next--
		}
	}
}

// tickMachine applies the list of machines to one machine of a wave, and repeats orders that got no response.
func (c *Core) tickMachine(w *wave, id string, now time.Duration) {
	m, listed := c.machines[id]
	since := now - w.orderedAt[id]
	switch p := w.phases[id]; {
	case p == machineFinished || p == machineStoring:
	case !listed:
		c.finishMachine(w, id, "gone") // it was removed permanently
	case p == machineOrdered && !w.confirmed[id] && m.State == batch.MachineInMaintenance:
		w.confirmed[id] = true
		w.phases[id] = machineDown
		c.handleMachineDown(w, id, now)
	case p == machineOrdered && !w.confirmed[id] && m.State != batch.MachineUp:
		if c.machinesAt-w.orderedAt[id] >= maintenanceRetryInterval {
			c.withdrawMaintenance(w, id) // it is being moved or is down, also after the time limit of the last order
		}
	case p == machineOrdered && !w.confirmed[id]:
		if since >= maintenanceRetryInterval && c.stopRunsOn(w, c.workers[m.Worker], w.left(), now) {
			w.repeated[id] = true
			c.orderMaintenance(w, id, now)
		}
	case p == machineOrdered && m.State == batch.MachineInMaintenance:
		w.phases[id] = machineDown
	case p == machineDown && m.State == batch.MachineUp, p == machineOrdered && m.State == batch.MachineUp && c.machinesAt-w.orderedAt[id] > maintenanceEstimate:
		c.finishMachine(w, id, "maintained")
	}
}

// withdrawMaintenance makes a machine wait again whose maintenance was ordered and hasn't begun. It is ordered again once the machine is up.
func (c *Core) withdrawMaintenance(w *wave, id string) {
	w.phases[id], w.repeated[id] = machineWaiting, false
	c.put(waveRow(w.ID))
}

func (c *Core) finishMachine(w *wave, id, reason string) {
	w.phases[id] = machineFinished
	c.put(waveRow(w.ID))
	c.log.WithFields(logrus.Fields{"epoch": c.epoch, "wave": w.ID, "machine": id, "why": reason}).Info("machine of a wave finished")
}

// drainCandidates returns the machines whose maintenance may come next: first those that are being drained already, then the others by the work that
// would be lost.
func (c *Core) drainCandidates(w *wave, now time.Duration) []string {
	var out []string
	loss := map[string]float64{}
	for _, id := range w.Machines {
		m := c.machines[id]
		if p := w.phases[id]; p != machineWaiting && p != machineDraining || m.State != batch.MachineUp {
			continue
		}
		out = append(out, id)
		if w.phases[id] == machineDraining {
			loss[id] = -1
			continue
		}
		if machineWorker := c.workers[m.Worker]; machineWorker != nil {
			for _, a := range machineWorker.allocs {
				if a.task != nil {
					loss[id] += c.lostWork(a.task, now)
				}
			}
		}
	}
	slices.SortStableFunc(out, func(a, b string) int { return cmp.Compare(loss[a], loss[b]) })
	return out
}

// drainMachine gives the machine's worker no new work, stops its runs as far as that is allowed and due, and orders the maintenance once none is
// left. It returns false if the machine can't be drained now.
func (c *Core) drainMachine(w *wave, id string, left int, now time.Duration) bool {
	machineWorker := c.workers[c.machines[id].Worker]
	if machineWorker == nil {
		c.storeMaintenance(w, id)
		return true
	}
	if w.phases[id] != machineDraining && !c.mayDrain(machineWorker) {
		return false
	}
	w.phases[id] = machineDraining
	c.closedForMaintenance[machineWorker.ID] = true
	if c.stopRunsOn(w, machineWorker, left, now) {
		c.storeMaintenance(w, id)
	}
	return true
}

// left returns the number of machines whose maintenance has not been ordered.
func (w *wave) left() int {
	n := 0
	for _, m := range w.Machines {
		if p := w.phases[m]; p == machineWaiting || p == machineDraining {
			n++
		}
	}
	return n
}

// stopRunsOn stops the runs on a worker whose machine is to be maintained, as far as that is allowed and due, and reports whether none is left. left is
// the number of machines of the wave whose maintenance has not been ordered.
func (c *Core) stopRunsOn(w *wave, machineWorker *worker, left int, now time.Duration) bool {
	if machineWorker == nil {
		return true
	}
	// The remaining machines need their time as well.
	rounds := (left + w.MaxInMaintenance - 1) / w.MaxInMaintenance
	due := now+time.Duration(rounds)*(maintenanceEstimate+c.bounds.StopMax) > w.startedAt+w.TargetDuration
	for _, k := range sortedKeys(machineWorker.allocs) {
		a := machineWorker.allocs[k]
		if a == nil || a.task == nil || !a.task.group.active() {
			continue
		}
		g := a.task.group
		if due || g.spec().Checkpoints || g.spec().LongRunning {
			if !g.spec().LongRunning || c.mayBecomeUnavailable(g) {
				c.stopGroup(g, now, "maintenance")
			}
		}
	}
	return len(machineWorker.allocs) == 0
}

// mayDrain reports whether every long-running step with a task on the worker can do without that task now.
func (c *Core) mayDrain(machineWorker *worker) bool {
	for _, a := range machineWorker.allocs {
		if a.task != nil && a.task.group.spec().LongRunning && !c.mayBecomeUnavailable(a.task.group) {
			return false
		}
	}
	return true
}

// mayBecomeUnavailable reports whether one more task of a long-running step may be unavailable. There is no limit for a step that doesn't set
// MaxUnavailable.
func (c *Core) mayBecomeUnavailable(g *taskGroup) bool {
	return g.spec().MaxUnavailable == 0 || g.state.unavailable() < g.spec().MaxUnavailable
}

// unavailable returns the number of tasks of a long-running step that aren't at work, for any cause.
func (s *stepState) unavailable() int {
	n := 0
	for _, g := range s.groups {
		for _, t := range g.tasks {
			if t.phase != running || t.percent < startedPercent {
				n++
			}
		}
	}
	return n
}

// startedPercent is the progress of a long-running task that has started up.
const startedPercent = 100

// storeMaintenance orders the maintenance of a machine once the intent is stored, so that the next leader knows that it may begin.
func (c *Core) storeMaintenance(w *wave, id string) {
	w.phases[id] = machineStoring
	ref := workerRef{id: c.machines[id].Worker}
	if machineWorker := c.workers[ref.id]; machineWorker != nil {
		ref.incarnation = machineWorker.Incarnation
	}
	w.orderedWorkers[id] = ref
	row := waveRow(w.ID)
	c.put(row)
	c.afterStored(row, func() {
		if w.phases[id] == machineStoring && !c.startsDisabled {
			w.phases[id] = machineOrdered
			c.orderMaintenance(w, id, c.now)
		}
	})
}

func (c *Core) orderMaintenance(w *wave, id string, now time.Duration) {
	w.orderedAt[id] = now
	c.log.WithFields(logrus.Fields{"epoch": c.epoch, "wave": w.ID, "machine": id, "worker": c.machines[id].Worker}).Info("ordering maintenance")
	c.maintenance = append(c.maintenance, Maintenance{Wave: w.ID, Machine: id, Epoch: c.epoch})
}

// wantsMaintenance reports whether a maintenance order is still to be sent: the machine may have been removed from the list or have begun its maintenance
// while the order waited for a connection.
func (c *Core) wantsMaintenance(m Maintenance) bool {
	w := c.waves[m.Wave]
	return w != nil && w.phases[m.Machine] == machineOrdered && !w.confirmed[m.Machine] && !c.startsDisabled && !c.deposed
}

// handleMachineDown closes all runs on a machine that is down. The registry lists its worker for some more seconds; starts there would get no
// response, and their tasks would wait for the worker's leases to expire. A later incarnation of the worker may have started after the maintenance,
// since a repeated order is also confirmed if the maintenance is over.
func (c *Core) handleMachineDown(w *wave, id string, now time.Duration) {
	ref := w.orderedWorkers[id]
	machineWorker := c.workers[ref.id]
	if machineWorker == nil || machineWorker.takenDown || machineWorker.Incarnation != ref.incarnation {
		return
	}
	machineWorker.takenDown = true
	c.endAllRuns(machineWorker, outcomeMachineDown, now)
}

// OnMaintenance handles the result of a maintenance order.
func (c *Core) OnMaintenance(m Maintenance, r MaintenanceResult, now time.Duration) {
	c.now = now
	c.log.WithFields(logrus.Fields{"epoch": c.epoch, "wave": m.Wave, "machine": m.Machine, "result": r.String()}).Info("result of a maintenance order")
	w := c.waves[m.Wave]
	if r == MaintenanceDeposed {
		c.depose("machine refused maintenance", m.Machine)
		return
	}
	if w == nil || w.phases[m.Machine] != machineOrdered {
		return
	}
	switch r {
	case MaintenanceBegun:
		w.confirmed[m.Machine] = true
		c.handleMachineDown(w, m.Machine, now)
	case MaintenanceBusy:
		if !w.repeated[m.Machine] {
			c.withdrawMaintenance(w, m.Machine)
		}
	case MaintenanceNotDue:
		c.finishMachine(w, m.Machine, r.String())
	}
}
