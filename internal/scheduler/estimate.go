package scheduler

import (
	"slices"
	"time"
)

// Estimator estimates run times from the samples of completed jobs, per team and kind. Declared run times are used only until the first sample
// of the kind. It is not safe for concurrent use; Plan only reads it.
type Estimator struct {
	byKind map[estimateKey]*samples
}

// estimateKey identifies a set of samples. The team is empty for the samples of a kind over all teams.
type estimateKey struct{ team, kind string }

// sampleCount is the number of most recent run times that are kept per key. 64 samples are enough to estimate a 95% quantile.
const sampleCount = 64

// minSamples is the number of samples of a team and kind below which the samples of the kind over all teams are used instead.
const minSamples = 5

type samples struct {
	ring   []time.Duration // most recent run times; when full, the oldest is overwritten
	next   int
	sorted []time.Duration
}

// NewEstimator returns an estimator without samples.
func NewEstimator() *Estimator { return &Estimator{byKind: map[estimateKey]*samples{}} }

// RecordRun adds a sample: the total run time of a job that completed without being stopped, including the run time saved in checkpoints.
func (e *Estimator) RecordRun(team, kind string, run time.Duration) {
	for _, key := range []estimateKey{{team, kind}, {"", kind}} {
		s := e.byKind[key]
		if s == nil {
			s = &samples{}
			e.byKind[key] = s
		}
		s.add(run)
	}
}

func (s *samples) add(run time.Duration) {
	if len(s.ring) < sampleCount {
		s.ring = append(s.ring, run)
	} else {
		old, _ := slices.BinarySearch(s.sorted, s.ring[s.next])
		s.sorted = slices.Delete(s.sorted, old, old+1)
		s.ring[s.next] = run
		s.next = (s.next + 1) % sampleCount
	}
	at, _ := slices.BinarySearch(s.sorted, run)
	s.sorted = slices.Insert(s.sorted, at, run)
}

// Remaining returns the quantile (0 to 1) of the remaining run time of a job that has already run for ran. If ran has reached all samples or,
// without samples, the declared run time, the estimate is ran again, and at least a minute.
func (e *Estimator) Remaining(j *Job, ran time.Duration, quantile float64) time.Duration {
	sorted := e.lookup(j)
	if len(sorted) == 0 {
		if j.DeclaredRun > ran {
			return j.DeclaredRun - ran
		}
		return max(ran, time.Minute)
	}
	from, _ := slices.BinarySearch(sorted, ran+1)
	left := sorted[from:]
	if len(left) == 0 {
		return max(ran, time.Minute)
	}
	return left[min(int(quantile*float64(len(left))), len(left)-1)] - ran
}

func (e *Estimator) lookup(j *Job) []time.Duration {
	if e == nil {
		return nil
	}
	if s := e.byKind[estimateKey{j.Team, j.Kind}]; s != nil && len(s.sorted) >= minSamples {
		return s.sorted
	}
	if s := e.byKind[estimateKey{"", j.Kind}]; s != nil {
		return s.sorted
	}
	return nil
}
