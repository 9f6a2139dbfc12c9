package front

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"samphirewell/internal/outcome"
	"samphirewell/internal/routing"
)

const (
	// slowFactor is the multiple of the mean service time after which a call without a response counts as a failure of the executor. A call
	// whose deadline passed earlier does not count, because otherwise a caller with short deadlines would eject healthy executors.
	slowFactor = 5
	// defaultSlowThreshold is the same limit for a service that has not answered a call yet.
	defaultSlowThreshold = time.Second
	// meanDivisor is the reciprocal of the weight of a new sample in the moving mean.
	meanDivisor = 16
)

// serviceTimes keeps a moving mean of the service time per service.
type serviceTimes struct {
	means sync.Map // service -> *atomic.Int64, nanoseconds
}

// classify returns what an exchange indicates about the health and load of the executor. The time of a successful call is added to the mean.
func (s *serviceTimes) classify(x exchange, service string, elapsed time.Duration) routing.Result {
	switch {
	case x.refused:
		return routing.Full
	case x.result.Kind == outcome.Answered && x.result.Status < http.StatusInternalServerError:
		s.addSample(service, elapsed)
		return routing.Success
	case x.result.Reason == outcome.DeadlineRunning && elapsed < s.slowThreshold(service):
		return routing.Neutral
	case x.result.Reason == outcome.Expired:
		return routing.Neutral
	}
	return routing.Failure
}

// slowThreshold is the time after which a call to the service without a response counts as a failure of the executor.
func (s *serviceTimes) slowThreshold(service string) time.Duration {
	if v, ok := s.means.Load(service); ok {
		return slowFactor * time.Duration(v.(*atomic.Int64).Load())
	}
	return defaultSlowThreshold
}

func (s *serviceTimes) addSample(service string, elapsed time.Duration) {
	v, ok := s.means.Load(service)
	if !ok {
		first := new(atomic.Int64)
		first.Store(int64(elapsed))
		if v, ok = s.means.LoadOrStore(service, first); !ok {
			return
		}
	}
	mean := v.(*atomic.Int64)
	old := mean.Load()
	// If another goroutine changes the mean in between, this sample is dropped; a single sample does not matter.
	mean.CompareAndSwap(old, old+(int64(elapsed)-old)/meanDivisor)
}
