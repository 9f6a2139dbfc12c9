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
	// machinesEvery is the time between two reads of the list of machines while a wave is open; a machine that came up is seen that much later.
	// Maintenance may take as little as 2 s.
	machinesEvery = 400 * time.Millisecond
	// machinesFresh is the age up to which the list of machines is used.
	machinesFresh = 2 * time.Second
	// maintenanceTime is how long the maintenance of a machine is taken to last until one was observed. Shorter ones are common.
	maintenanceTime = 3 * time.Second
	// maintenanceRetry is the pause after an order for maintenance that was refused or got no answer.
	maintenanceRetry = time.Second
	// machinesAuthority is how long a leader may order machines after the sending of its last successful write. Machines don't always refuse the
	// orders of an earlier leader, so it is short, and the next leader waits before it orders the same machine again.
	machinesAuthority = 1500 * time.Millisecond
	// machinesTakeover is that wait: the authority of the earlier leader, the time limit of its last call (1 s), and the time within which two holders
	// must not take turns (3 s), rounded up.
	machinesTakeover = 6 * time.Second
	// waveKeyPrefix begins the keys of the rows of waves in the table of tasks.
	waveKeyPrefix = "wave/"
)

// Maintenance is an order to take a machine down for its maintenance. Everything that runs there ends.
type Maintenance struct {
	Wave, Machine string
	Epoch         uint64
	// StillAllowed reports whether the order may still be sent. It is called immediately before sending.
	StillAllowed func() bool
}

// MaintenanceResult is the outcome of such an order.
type MaintenanceResult uint8

// Results of orders for maintenance.
const (
	MaintenanceBegun   MaintenanceResult = iota + 1 // or over
	MaintenanceBusy                                 // the machine isn't up
	MaintenanceNotDue                               // the machine doesn't exist or doesn't belong to the wave
	MaintenanceDeposed                              // a newer leader has given orders for the machine
	MaintenanceUnknown                              // no answer: it may begin yet
	MaintenanceNotSent                              // the leader's authority had ended, or there was no connection
)

// String returns the name for logs.
func (r MaintenanceResult) String() string {
	return [...]string{"", "begun", "busy", "not_due", "deposed", "unknown", "not_sent"}[r]
}

// machineTurn is where a machine of a wave stands.
type machineTurn uint8

const (
	turnWaiting machineTurn = iota
	turnClosing             // its worker gets no new work and is emptied
	turnStored              // the order is about to be stored
	turnOrdered             // it was ordered and may begin at any time
	turnDown                // it has begun, and the machine isn't up again
	turnOver
)

// wave is the state of a wave. Only machines that were ordered are stored: the rest follows from the list of machines.
type wave struct {
	batch.Wave
	since     time.Duration
	sinceMS   int64 // time of day of the first leader that saw it, Unix milliseconds
	turns     map[string]machineTurn
	orderedAt map[string]time.Duration
	answered  map[string]bool
	workers   map[string]string // worker of a machine when it was ordered
	completed bool
	told      bool // its present state was reported
}

// waveValue is the row of a wave.
type waveValue struct {
	SinceMS   int64    `json:"since"`
	Ordered   []string `json:"ordered,omitempty"`
	Over      []string `json:"over,omitempty"`
	Completed bool     `json:"done,omitempty"`
}

// WaveReport tells operators about a wave.
type WaveReport struct {
	ID        string
	Completed bool
}

func waveRow(id string) rowID { return rowID{kind: waveRows, job: id} }

// SetWaves takes the waves that operators have asked for.
func (c *Core) SetWaves(list []batch.Wave, now time.Duration) {
	for _, w := range list {
		if c.waves[w.ID] != nil {
			continue
		}
		n := &wave{Wave: w, since: now, sinceMS: c.wall, turns: map[string]machineTurn{}, orderedAt: map[string]time.Duration{}, answered: map[string]bool{}, workers: map[string]string{}}
		n.MaxInMaintenance = max(1, n.MaxInMaintenance)
		if row, ok := c.storedWaves[w.ID]; ok {
			n.restore(row, c.wall, now)
		} else {
			c.rows.mark(waveRow(w.ID))
		}
		c.waves[w.ID] = n
		c.log.WithFields(logrus.Fields{"epoch": c.epoch, "wave": w.ID, "machines": len(w.Machines), "cap": n.MaxInMaintenance, "within_ms": w.TargetDuration.Milliseconds(), "completed": n.completed}).
			Info("wave of maintenance")
	}
}

// restore takes over what an earlier leader has stored. A machine that it ordered is ordered again: that has no further effect on one that has begun.
func (w *wave) restore(v waveValue, wallMS int64, now time.Duration) {
	w.completed = v.Completed
	if v.SinceMS > 0 && v.SinceMS <= wallMS {
		w.sinceMS, w.since = v.SinceMS, now-time.Duration(wallMS-v.SinceMS)*time.Millisecond
	}
	for _, m := range v.Ordered {
		w.turns[m] = turnOrdered
		w.orderedAt[m] = now + machinesTakeover - maintenanceRetry
	}
	for _, m := range v.Over {
		w.turns[m] = turnOver
	}
}

func (c *Core) encodeWave(id string) ([]byte, bool) {
	w := c.waves[id]
	if w == nil {
		return nil, false
	}
	v := waveValue{SinceMS: w.sinceMS, Completed: w.completed}
	for _, m := range w.Machines {
		switch w.turns[m] {
		case turnStored, turnOrdered, turnDown:
			v.Ordered = append(v.Ordered, m)
		case turnOver:
			v.Over = append(v.Over, m)
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
	return !c.freeze && now-c.machinesAt >= machinesEvery && len(c.openWaves()) > 0
}

// OnMachines takes the list of all machines. sent is when it was asked for.
func (c *Core) OnMachines(list []batch.Machine, sent time.Duration) {
	c.machines, c.machinesAt = make(map[string]batch.Machine, len(list)), sent
	for _, m := range list {
		c.machines[m.ID] = m
	}
}

// openWaves returns the waves that aren't completed, in order of their ids.
func (c *Core) openWaves() []*wave {
	var out []*wave
	for _, w := range c.waves {
		if !w.completed {
			out = append(out, w)
		}
	}
	slices.SortFunc(out, func(a, b *wave) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// TakeMaintenance returns the orders for maintenance to send now.
func (c *Core) TakeMaintenance() []Maintenance {
	out := c.maintenance
	c.maintenance = nil
	return out
}

// TakeWaveReports returns what operators have to be told about waves. After a report that doesn't get through, RequeueWaveReport must be called.
func (c *Core) TakeWaveReports() []WaveReport {
	var out []WaveReport
	for _, w := range c.waves {
		if !w.told {
			w.told = true
			out = append(out, WaveReport{w.ID, w.completed})
		}
	}
	slices.SortFunc(out, func(a, b WaveReport) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// RequeueWaveReport makes TakeWaveReports return the report of a wave again.
func (c *Core) RequeueWaveReport(id string) {
	if w := c.waves[id]; w != nil {
		w.told = false
	}
}

// tickWaves moves the open waves on.
func (c *Core) tickWaves(now time.Duration) {
	c.closing = map[string]bool{}
	for _, w := range c.openWaves() {
		if now-c.machinesAt > machinesFresh || len(c.machines) == 0 {
			return // without a fresh list nothing is known to be up
		}
		c.tickWave(w, now)
	}
}

func (c *Core) tickWave(w *wave, now time.Duration) {
	busy, left := 0, 0
	for _, m := range w.Machines {
		c.tickTurn(w, m, now)
		switch w.turns[m] {
		case turnStored, turnOrdered:
			busy++
			c.closing[c.machines[m].Worker] = true
		case turnDown:
			busy++
		case turnWaiting, turnClosing:
			left++
		}
	}
	if busy+left == 0 {
		w.completed, w.told = true, false
		c.rows.mark(waveRow(w.ID))
		c.log.WithFields(logrus.Fields{"epoch": c.epoch, "wave": w.ID, "took_ms": (now - w.since).Milliseconds()}).Info("wave completed")
		return
	}
	next := w.MaxInMaintenance - busy
	for _, m := range c.byLoss(w, now) {
		if next <= 0 {
			return
		}
		if c.empty(w, m, left, now) {
			next--
		}
	}
}

// tickTurn takes the list of machines into account and repeats orders without an answer.
func (c *Core) tickTurn(w *wave, id string, now time.Duration) {
	m, listed := c.machines[id]
	since := now - w.orderedAt[id]
	switch turn := w.turns[id]; {
	case turn == turnOver || turn == turnStored:
	case !listed:
		c.endTurn(w, id, "gone") // it has left for good
	case turn == turnOrdered && !w.answered[id] && m.State == batch.MachineInMaintenance:
		w.answered[id] = true
		w.turns[id] = turnDown
		c.takeDown(w, id, now)
	case turn == turnOrdered && !w.answered[id]:
		if since >= maintenanceRetry {
			c.orderMaintenance(w, id, now)
		}
	case turn == turnOrdered && m.State == batch.MachineInMaintenance:
		w.turns[id] = turnDown
	case turn == turnDown && m.State == batch.MachineUp, turn == turnOrdered && m.State == batch.MachineUp && c.machinesAt-w.orderedAt[id] > maintenanceTime:
		c.endTurn(w, id, "maintained")
	}
}

func (c *Core) endTurn(w *wave, id, why string) {
	w.turns[id] = turnOver
	c.rows.mark(waveRow(w.ID))
	c.log.WithFields(logrus.Fields{"epoch": c.epoch, "wave": w.ID, "machine": id, "why": why}).Info("machine of a wave is done")
}

// byLoss returns the machines whose turn may come, those on which the least work would be lost first and those that are being emptied before all.
func (c *Core) byLoss(w *wave, now time.Duration) []string {
	var out []string
	loss := map[string]float64{}
	for _, id := range w.Machines {
		m := c.machines[id]
		if turn := w.turns[id]; turn != turnWaiting && turn != turnClosing || m.State != batch.MachineUp {
			continue
		}
		out = append(out, id)
		if w.turns[id] == turnClosing {
			loss[id] = -1
			continue
		}
		if host := c.workers[m.Worker]; host != nil {
			for _, o := range host.occupants {
				if o.task != nil {
					loss[id] += c.lossOf(o.task, now)
				}
			}
		}
	}
	slices.SortStableFunc(out, func(a, b string) int { return cmp.Compare(loss[a], loss[b]) })
	return out
}

// empty keeps new work from a machine and stops what runs there as far as that is allowed and due, and orders the maintenance once nothing is left. It
// reports false if the machine's turn can't come now.
func (c *Core) empty(w *wave, id string, left int, now time.Duration) bool {
	host := c.workers[c.machines[id].Worker]
	if host == nil {
		c.storeMaintenance(w, id)
		return true
	}
	if w.turns[id] != turnClosing && !c.mayLose(host) {
		return false
	}
	w.turns[id] = turnClosing
	c.closing[host.ID] = true
	// The machines that follow need their time, too.
	rounds := (left + w.MaxInMaintenance - 1) / w.MaxInMaintenance
	due := now+time.Duration(rounds)*(maintenanceTime+c.bounds.StopMax) > w.since+w.TargetDuration
	for _, k := range sortedKeys(host.occupants) {
		o := host.occupants[k]
		if o == nil || o.task == nil || !o.task.unit.active() {
			continue
		}
		u := o.task.unit
		if due || u.spec().Checkpoints || u.spec().LongRunning {
			if !u.spec().LongRunning || c.mayMiss(u) {
				c.stopUnit(u, now, "maintenance")
			}
		}
	}
	if len(host.occupants) == 0 {
		c.storeMaintenance(w, id)
	}
	return true
}

// mayLose reports whether every long-running step with a task on the worker can do without it now.
func (c *Core) mayLose(host *worker) bool {
	for _, o := range host.occupants {
		if o.task != nil && o.task.unit.spec().LongRunning && !c.mayMiss(o.task.unit) {
			return false
		}
	}
	return true
}

// mayMiss reports whether one more task of a long-running step may be away. A step that doesn't say how many may be away at a time loses one.
func (c *Core) mayMiss(u *unit) bool {
	if u.spec().MaxUnavailable == 0 {
		return true
	}
	away := 0
	for _, other := range u.job.steps[u.occurrence][u.step].units {
		for _, t := range other.tasks {
			if t.phase != running || t.percent < atWork {
				away++
			}
		}
	}
	return away < u.spec().MaxUnavailable
}

// atWork is the progress of a long-running task that has started up.
const atWork = 100

// storeMaintenance orders the maintenance of a machine once that is stored: the next leader has to know that it may begin.
func (c *Core) storeMaintenance(w *wave, id string) {
	w.turns[id] = turnStored
	w.workers[id] = c.machines[id].Worker
	row := waveRow(w.ID)
	c.rows.mark(row)
	c.afterStored(row, func() {
		if w.turns[id] == turnStored && !c.freeze {
			w.turns[id] = turnOrdered
			c.orderMaintenance(w, id, c.now)
		}
	})
}

func (c *Core) orderMaintenance(w *wave, id string, now time.Duration) {
	w.orderedAt[id] = now
	c.log.WithFields(logrus.Fields{"epoch": c.epoch, "wave": w.ID, "machine": id, "worker": c.machines[id].Worker}).Info("ordering maintenance")
	c.maintenance = append(c.maintenance, Maintenance{Wave: w.ID, Machine: id, Epoch: c.epoch})
}

// takeDown takes into account that everything on a machine has ended with its worker. The registry lists that worker for some more seconds; starts there
// would get no answer, and their tasks would wait for its leases to end.
func (c *Core) takeDown(w *wave, id string, now time.Duration) {
	host := c.workers[w.workers[id]]
	if host == nil || host.gone {
		return
	}
	host.gone = true
	c.loseRuns(host, outTakenDown, now)
}

// OnMaintenance takes the result of an order for maintenance into account.
func (c *Core) OnMaintenance(m Maintenance, r MaintenanceResult, now time.Duration) {
	c.now = now
	c.log.WithFields(logrus.Fields{"epoch": c.epoch, "wave": m.Wave, "machine": m.Machine, "result": r.String()}).Info("maintenance answered")
	w := c.waves[m.Wave]
	if r == MaintenanceDeposed {
		c.depose("machine refused maintenance", m.Machine)
		return
	}
	if w == nil || w.turns[m.Machine] != turnOrdered {
		return
	}
	switch r {
	case MaintenanceBegun:
		w.answered[m.Machine] = true
		c.takeDown(w, m.Machine, now)
	case MaintenanceBusy:
		w.turns[m.Machine] = turnWaiting // it is moved or down; its turn comes again once it is up
		c.rows.mark(waveRow(w.ID))
	case MaintenanceNotDue:
		c.endTurn(w, m.Machine, r.String())
	}
}
