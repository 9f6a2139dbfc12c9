package relay

import "time"

const (
	// directTimeout bounds a direct call beyond the time that it waits for changes, if the call can be relayed afterwards, and a call made for another
	// host. Without it a table that doesn't respond would use up the time of the caller.
	directTimeout = 600 * time.Millisecond
	// maxDirectTimeout is the bound on a table that is slow rather than silent: slowed 60 times, a transaction takes 0.5 s and waits for others of its
	// partition. A call that is given up while it waits there is repeated behind itself.
	maxDirectTimeout = 2 * time.Second
)

// adaptiveTimeout is the bound of direct calls. It grows while calls get no response, and falls back once the table responds quickly.
type adaptiveTimeout struct{ limit time.Duration }

func (t *adaptiveTimeout) current() time.Duration { return max(t.limit, directTimeout) }

// recordSilence records a call that got no response in time.
func (t *adaptiveTimeout) recordSilence() { t.limit = min(2*t.current(), maxDirectTimeout) }

// recordResponse records the time to a response, without the time that the call was to wait for changes.
func (t *adaptiveTimeout) recordResponse(took time.Duration) {
	if took < directTimeout/4 {
		t.limit = directTimeout
		return
	}
	t.limit = min(max(t.limit, 4*took), maxDirectTimeout)
}
