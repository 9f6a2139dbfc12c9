package main

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"samphirewell/internal/rowstore"
)

// leader returns the host that leads according to the store, or nil.
func (w *world) leader() *entryHost {
	found, err := w.store.Scan(context.Background(), "states", "", rowstore.Range{From: "leader", To: "leader0"})
	if err != nil || len(found.Rows) == 0 {
		return nil
	}
	var row struct {
		Host string `json:"host"`
	}
	if json.Unmarshal(found.Rows[0].Value, &row) != nil {
		return nil
	}
	for _, h := range w.hosts {
		if row.Host == fmt.Sprintf("edge-z-%d", h.index+1) {
			return h
		}
	}
	return nil
}

// takeover loses an executor with a lasting work item for good and kills the leader 3 s later.
func takeover(w *world, trouble bool) bool {
	const executors, id = 7, "00000000000000aa"
	for i := range executors {
		w.fleet.add(fmt.Sprintf("i-%d", i), "r0", resources{128000, 512000, 8})
	}
	w.putConfig(1, route{"q", 1})
	if !w.start(3) ||
		!w.submitSteps("q", id, spec{Lasting: true, Need: resources{8000, 8000, 1}}, step{Count: executors, AntiAffinity: 2, LongRunning: true}) {
		return false
	}
	if !await(15*time.Second, func() bool { return w.fleet.running() == executors }) {
		w.record.fail("the job doesn't run")
		return false
	}
	time.Sleep(2 * time.Second)
	e := w.fleet.loaded()
	e.mu.Lock()
	lost := e.running
	e.mu.Unlock()
	e.crash()
	at := time.Now()
	if trouble {
		time.Sleep(3 * time.Second)
		h := w.leader()
		if h == nil {
			w.record.fail("no leader")
			return false
		}
		w.record.line("host %d, which leads, is killed", h.index)
		_ = h.cmd.Process.Kill()
		_ = h.cmd.Wait()
	}
	broken := false
	for task := range lost {
		await(30*time.Second, func() bool { return w.fleet.runs(task) })
		gap := time.Since(at)
		w.record.line("%s was without a run for %.1f s", task, gap.Seconds())
		broken = broken || gap > lastingLimit+3*time.Second // over 7 s of these are calm
	}
	return broken
}

// noticeTime is NoticeMs.
const noticeTime = 4500 * time.Millisecond

// deadExecutor loses an executor with a work item of a lasting job for good while a wave goes on, and watches whether an upkeep or a stop takes another work
// item from its work while that one is away.
func deadExecutor(w *world, trouble bool) bool {
	const executors, id = 10, "00000000000000aa"
	w.holdMaxMs, w.stopMs, holdMax = 10000, 900, 10*time.Second
	c, err := w.addCloud()
	if err != nil {
		w.record.fail("%v", err)
		return false
	}
	var machines []string
	for i := range executors {
		machines = append(machines, fmt.Sprintf("m-%d", i))
		c.add(machines[i], w.fleet.add(fmt.Sprintf("i-%d", i), "r0", resources{32000, 64000, 8}))
	}
	w.putConfig(1, route{"q", 1})
	if !w.start(3) ||
		!w.submitSteps("q", id, spec{Lasting: true, Need: resources{3000, 3000, 1}}, step{Count: 7, AntiAffinity: 1, LongRunning: true, MayMiss: 1}) {
		return false
	}
	if !await(15*time.Second, func() bool { return w.fleet.running() == 7 }) {
		w.record.fail("the job doesn't run")
		return false
	}
	time.Sleep(2 * time.Second)
	var diedAt atomic.Int64
	var broken atomic.Bool
	dead := w.fleet.loaded()
	var deadTask string
	dead.mu.Lock()
	for task := range dead.running {
		deadTask = task
	}
	dead.mu.Unlock()
	w.fleet.onStop = func(e *executor, task string, x *execution) {
		at := diedAt.Load()
		if at == 0 || !strings.HasPrefix(task, id) || time.Since(x.startedAt) < startup {
			return
		}
		away := time.Since(time.UnixMilli(at))
		if away > noticeTime && !w.fleet.runsUnlocked(deadTask, e) {
			broken.Store(true)
			w.fleet.violate("AVAIL: %s is stopped on %s at work, while %s has been away for %.1f s", task, e.id, deadTask, away.Seconds())
		}
	}
	var wave []string
	for i, m := range machines {
		if w.fleet.executors[i] != dead {
			wave = append(wave, m)
		}
	}
	c.putWave("1", 60, 1, wave...)
	time.Sleep(5 * time.Second)
	if trouble {
		dead.crash()
		diedAt.Store(time.Now().UnixMilli())
	}
	time.Sleep(20 * time.Second)
	return broken.Load()
}

// runsUnlocked reports whether a work item runs on an executor other than one whose lock the caller holds.
func (f *fleet) runsUnlocked(task string, locked *executor) bool {
	for _, e := range f.executors {
		if e == locked {
			continue
		}
		e.mu.Lock()
		found := e.running[task] != nil
		e.mu.Unlock()
		if found {
			return true
		}
	}
	return false
}
