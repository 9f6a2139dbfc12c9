package demo

import (
	"context"
	"sync"
	"time"
)

// watchPeriod is the interval at which the versions in force are read.
const watchPeriod = 50 * time.Millisecond

// versionWatch polls the configuration version in force on each host and records the hosts on which it decreased.
type versionWatch struct {
	mu       sync.Mutex
	system   *system
	last     map[string]int
	readings int
	reverted []string // host id for each decrease
	cancel   context.CancelFunc
	done     sync.WaitGroup
}

func watchVersions(s *system) *versionWatch {
	ctx, cancel := context.WithCancel(context.Background())
	w := &versionWatch{system: s, last: map[string]int{}, cancel: cancel}
	w.done.Go(func() {
		for ctx.Err() == nil {
			w.poll()
			select {
			case <-ctx.Done():
			case <-time.After(watchPeriod):
			}
		}
	})
	return w
}

func (w *versionWatch) poll() {
	for id, h := range w.system.snapshotHosts() {
		v := h.ConfigVersion()
		w.mu.Lock()
		w.readings++
		if v < w.last[id] {
			w.reverted = append(w.reverted, id)
		}
		w.last[id] = v
		w.mu.Unlock()
	}
}

// stop ends the polling and returns the check that no version decreased.
func (w *versionWatch) stop() check {
	w.cancel()
	w.done.Wait()
	c := check{Promise: "an accepted configuration never reverts"}
	c.setViolations(w.readings, w.reverted)
	return c
}

// awaitVersion waits until the hosts have this version or a newer one in force, for at most bound, and returns how long it waited. The result
// is false if some host does not have it by then.
func (s *system) awaitVersion(version int, bound time.Duration, hosts ...string) (time.Duration, bool) {
	start := time.Now()
	for time.Since(start) <= bound {
		all := true
		for _, id := range hosts {
			all = all && s.host(id).ConfigVersion() >= version
		}
		if all {
			return time.Since(start), true
		}
		time.Sleep(watchPeriod / 2)
	}
	return time.Since(start), false
}
