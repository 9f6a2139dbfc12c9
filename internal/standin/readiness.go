package standin

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// targetState is a target with its connection count and the results of its readiness checks.
type targetState struct {
	Target
	connCount atomic.Uint64
	results   []checkResult // oldest first; guarded by Balancer.mu
}

// checkResult is the result of one readiness check.
type checkResult struct {
	at    time.Time
	ready bool
}

// readyAt reports whether the newest check up to the given time found the target ready. It removes the results before that check.
func (t *targetState) readyAt(at time.Time) bool {
	newest := -1
	for i, r := range t.results {
		if !r.at.After(at) {
			newest = i
		}
	}
	if newest < 0 {
		return false
	}
	t.results = t.results[newest:]
	return t.results[0].ready
}

// readyTargets returns the ready targets. Each call rotates them by one, so that connections go to the targets in turn.
func (b *Balancer) readyTargets() []*targetState {
	at := b.cfg.Clock.Now().Add(-b.cfg.Lag)
	b.mu.Lock()
	defer b.mu.Unlock()
	var ready []*targetState
	for _, t := range b.targets {
		if t.readyAt(at) {
			ready = append(ready, t)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	b.nextStart++
	start := b.nextStart % len(ready)
	return append(ready[start:], ready[:start]...)
}

func (b *Balancer) checkLoop() {
	defer b.wg.Done()
	for {
		select {
		case <-b.cfg.Clock.After(b.cfg.CheckEvery):
			b.checkTargets()
		case <-b.ctx.Done():
			return
		}
	}
}

// checkTargets checks the readiness of all targets in parallel.
func (b *Balancer) checkTargets() {
	b.mu.Lock()
	targets := append([]*targetState(nil), b.targets...)
	b.mu.Unlock()
	var wg sync.WaitGroup
	for _, t := range targets {
		wg.Go(func() { b.checkTarget(t) })
	}
	wg.Wait()
}

func (b *Balancer) checkTarget(t *targetState) {
	ready := b.probeReady(t.ReadyURL)
	b.mu.Lock()
	defer b.mu.Unlock()
	t.results = append(t.results, checkResult{b.cfg.Clock.Now(), ready})
	t.readyAt(b.cfg.Clock.Now().Add(-b.cfg.Lag)) // removes results that are no longer needed
}

func (b *Balancer) probeReady(url string) bool {
	ctx, cancel := context.WithTimeout(b.ctx, checkTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	resp, err := b.checkClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
