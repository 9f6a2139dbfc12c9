package dispatch

import "time"

const (
	// quarantineAt is the doubt at which a worker gets no new work. One failure counts 1, so a single bad task is never enough.
	quarantineAt = 2.0
	// quarantineMin and quarantineMax bound the time without new work. Faults of workers last some seconds; the maximum keeps a recovered worker
	// from standing idle for long.
	quarantineMin = 4 * time.Second
	quarantineMax = 16 * time.Second
	// doubtKept is the share of doubt that is left after a success.
	doubtKept = 0.25
	// hangDoubt is the doubt that a task without progress adds.
	hangDoubt = 2.0
)

// health tells how far a worker is doubted.
type health struct {
	doubt      float64
	quarantine time.Duration // length of the last one
	until      time.Duration // end of the last one
}

func (h *health) fail(now time.Duration, weight float64) {
	h.doubt += weight
	if h.doubt < quarantineAt || now < h.until {
		return
	}
	h.quarantine = min(max(quarantineMin, 2*h.quarantine), quarantineMax)
	h.until = now + h.quarantine
	// One more failure after the quarantine starts the next one.
	h.doubt = quarantineAt - 1
}

func (h *health) succeed() {
	h.doubt *= doubtKept
	h.quarantine /= 2
}

func (h *health) trusted(now time.Duration) bool { return now >= h.until }
