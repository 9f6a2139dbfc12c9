package dispatch

import "time"

const (
	// quarantineThreshold is the suspicion from which a worker gets no new work. One failure counts 1, so a single bad task is never enough.
	quarantineThreshold = 2.0
	// quarantineMin and quarantineMax bound the time without new work. Faults of workers last some seconds; the maximum keeps a recovered worker from
	// being idle for long.
	quarantineMin = 4 * time.Second
	quarantineMax = 16 * time.Second
	// suspicionKept is the fraction of the suspicion that is left after a success.
	suspicionKept = 0.25
	// hangSuspicion is the suspicion that a task without progress adds.
	hangSuspicion = 2.0
)

// health holds how strongly a worker is suspected to be faulty, and its quarantine.
type health struct {
	suspicion        float64
	quarantineLength time.Duration // length of the last quarantine
	quarantinedUntil time.Duration // end of the last quarantine
}

func (h *health) addFailure(now time.Duration, weight float64) {
	h.suspicion += weight
	if h.suspicion < quarantineThreshold || now < h.quarantinedUntil {
		return
	}
	h.quarantineLength = min(max(quarantineMin, 2*h.quarantineLength), quarantineMax)
	h.quarantinedUntil = now + h.quarantineLength
	// One more failure after the quarantine starts the next one.
	h.suspicion = quarantineThreshold - 1
}

func (h *health) addSuccess() {
	h.suspicion *= suspicionKept
	h.quarantineLength /= 2
}

func (h *health) trusted(now time.Duration) bool { return now >= h.quarantinedUntil }
