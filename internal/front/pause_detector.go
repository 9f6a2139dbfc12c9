package front

import (
	"sync/atomic"
	"time"
)

const (
	// pauseCheckInterval is the time between two checks of the detector.
	pauseCheckInterval = 50 * time.Millisecond
	// pauseThreshold is the time without a check after which the process counts as paused.
	pauseThreshold = time.Second
	// pauseGrace is the time after a pause within which blocked readers and the listener receive what arrived during the pause.
	pauseGrace = 500 * time.Millisecond
)

// pauseDetector detects pauses of the process and reports which bytes may have waited in socket buffers during one. A call among these bytes may
// be older than the longest transmission time that the key owners assume.
type pauseDetector struct {
	checkedAt atomic.Int64 // time of the last check, in nanoseconds since an arbitrary start
	resumedAt atomic.Int64 // time of the first check after the last pause, in the same unit; 0 if there was no pause
	count     atomic.Int64 // number of pauses
}

// check records a pause if the previous check is too long ago. now is a monotonic time.
func (p *pauseDetector) check(now time.Duration) {
	if last := p.checkedAt.Swap(int64(now)); now-time.Duration(last) > pauseThreshold {
		p.resumedAt.Store(int64(now))
		p.count.Add(1)
	}
}

// mayBeStale reports whether bytes read now, or a connection accepted now, may have waited during a pause. It is also true if the detector itself
// has not run since the pause.
func (p *pauseDetector) mayBeStale(now time.Duration) bool {
	if now-time.Duration(p.checkedAt.Load()) > pauseThreshold {
		return true
	}
	resumed := p.resumedAt.Load()
	return resumed != 0 && now-time.Duration(resumed) < pauseGrace
}

// detectPauses runs the detector until the server is closed.
func (s *Server) detectPauses() {
	ticker := time.NewTicker(pauseCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stopped:
			return
		case <-ticker.C:
			s.pauses.check(s.uptime())
		}
	}
}

// uptime is the monotonic time since the server was created.
func (s *Server) uptime() time.Duration { return time.Since(s.createdAt) }
