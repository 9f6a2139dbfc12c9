// Package speed estimates how slow workers are from the progress of their runs. It does no I/O and reads no clock; times are durations since an arbitrary
// start.
//
// All estimates are Gaussian in the natural logarithm. The logarithm of the run time of a run relative to its expected run time is the sum of the level of
// its step, the slowness of its worker, and the deviation of the task. The levels of the steps of a queue scatter around a level of the queue. Each run
// contributes one message to its step and one to each of its workers; a later report of the run replaces its messages, so that a run counts once.
package speed

import (
	"math"
	"time"
)

const (
	// workerSpread is the standard deviation of the logarithm of the slowness of workers before any observation: 0.42 in a fleet with factors 0.7 and 1.7.
	workerSpread = 0.45
	// wideningPerSecond is the rate at which the variance of a worker's slowness grows without new observations.
	wideningPerSecond = 0.03
	// restartWidening multiplies the variance of the slowness of a worker that has restarted: its machine is usually the same.
	restartWidening = 3
	// queueSpread is the standard deviation of the level of a queue before any observation: its estimates may all be wrong by the same factor.
	queueSpread = 1.0
	// queueWideningPerSecond is the rate at which the variance of the level of a queue grows.
	queueWideningPerSecond = 0.05
	// initialStepVariance is the variance of the levels of the steps of a queue before any step of it has ended, and stepVarianceSteps the number of steps
	// that it counts for. maxCountedSteps bounds the weight of past steps.
	initialStepVariance = 0.3
	stepVarianceSteps   = 3
	maxCountedSteps     = 40
	minStepVariance     = 0.01
	// taskSpread is the standard deviation of the logarithm of the run times of the tasks of one step: 0.15 to 0.3 on the deployments. A lower value than the
	// true one makes the model too certain.
	taskSpread = 0.28
	// gangSpread is that of a gang, whose own deviation is part of the level of its step.
	gangSpread = 0.05
	// tailShare of the tasks take tailFactor times the mean of their step; tailSpread is the standard deviation of the logarithm of that.
	tailShare, tailFactor, tailSpread = 0.03, 7.0, 0.4
	// progressError is the standard deviation of a difference of two progress reports in whole percent.
	progressError = 0.0041
	// timeError is the standard deviation of the time of a report.
	timeError = 50 * time.Millisecond
	// runRetention is how long a run or step is kept without a report, several times the longest interval between reports.
	runRetention  = 30 * time.Second
	sweepInterval = 5 * time.Second
)

// Estimate is the factor by which run times on a worker differ from those on the mean worker. Low and High are one standard deviation away. Of an unknown
// worker, Mean is 1.
type Estimate struct{ Mean, Low, High float64 }

// CertainlyDiffers reports whether a factor is more than two standard deviations away from the estimate.
func (e Estimate) CertainlyDiffers(factor float64) bool {
	return e.Mean*square(e.Low/e.Mean) > factor || e.Mean*square(e.High/e.Mean) < factor
}

// Worker identifies one incarnation of a worker.
type Worker struct {
	ID          string
	Incarnation int64
}

// Observation is the progress of a run.
type Observation struct {
	Step    string   // key of the step and occurrence, whose tasks are of similar length
	Queue   string   // of the step
	Run     string   // key of the run; a gang has one for all members
	Workers []Worker // one for a single task; all members of a gang, whose progress is that of the slowest
	// Expected is the run time that is expected of a task, before any correction for the speed of workers. The value in the first observation of a run counts.
	Expected time.Duration
	Elapsed  time.Duration // since the start, without the time that the run needed to restore a checkpoint
	Progress float64       // share of the task that was done in that time, 0 to 1
	Now      time.Duration
	Ended    bool // the run has ended; Progress 0 means that nothing else is known of its end
}

// Model holds the estimates. It isn't safe for concurrent use.
type Model struct {
	workers map[string]*workerState
	queues  map[string]*queueState
	steps   map[string]*stepState
	runs    map[string]*runState

	factorSum float64 // of the known workers
	known     int     // workers with at least one observation
	sweptAt   time.Duration
	now       time.Duration // of the newest observation
	scratch   []gaussian    // reused by maxOfOthers
}

// New returns a model without observations.
func New() *Model {
	return &Model{workers: map[string]*workerState{}, queues: map[string]*queueState{}, steps: map[string]*stepState{}, runs: map[string]*runState{}}
}

// workerState is the belief about the slowness of a worker.
type workerState struct {
	id          string
	incarnation int64
	base        info // prior and ended runs, at baseAt
	baseAt      time.Duration
	messages    info    // sum of the messages of current runs
	known       bool    // has had a message
	factor      float64 // its part of Model.factorSum
	slowdown    slowdown
	forgotten   bool
}

// queueState is the belief about the level of a queue.
type queueState struct {
	base         info // prior and ended steps
	baseAt       time.Duration
	messages     info // sum of the messages of current steps
	stepVariance float64
	steps        float64 // number of steps that stepVariance counts
}

// stepState is the belief about the level of a step.
type stepState struct {
	queue    *queueState
	messages info // sum of the messages of all runs
	toQueue  info // message to the queue
	runs     int  // current runs
	sampled  bool // the variance of the levels of the queue's steps includes it
	seenAt   time.Duration
}

// runState is what a run has contributed.
type runState struct {
	step      *stepState
	workers   []*workerState
	toWorkers []info
	toStep    info
	expected  float64 // s
	from      point   // the part before it doesn't count
	last      point   // the newest observation that was used
	effective float64 // seconds from from to last, without those lost by slowdowns of the workers
	seenAt    time.Duration
}

// point is the progress of a run at a time.
type point struct{ elapsed, progress float64 }

// Observe updates the estimates with the progress of a run. Observations of a run that come out of order, or too soon after the one before to add
// information, have no effect.
func (m *Model) Observe(o Observation) {
	m.now = max(m.now, o.Now)
	m.sweep()
	r := m.runs[o.Run]
	if r == nil {
		if o.Progress <= 0 || o.Expected <= 0 || len(o.Workers) == 0 {
			return
		}
		r = m.newRun(o)
	}
	r.seenAt, r.step.seenAt = m.now, m.now
	if p := (point{o.Elapsed.Seconds(), min(1, o.Progress)}); r.usable(p, o.Ended, m.slowdownOf(r)) {
		m.advance(r, p, o.Ended)
		m.update(r)
	}
	if o.Ended {
		m.endRun(o.Run, r)
	}
}

func (m *Model) newRun(o Observation) *runState {
	s := m.steps[o.Step]
	if s == nil {
		s = &stepState{queue: m.queue(o.Queue)}
		m.steps[o.Step] = s
	}
	s.runs++
	r := &runState{step: s, expected: o.Expected.Seconds(), toWorkers: make([]info, len(o.Workers))}
	for _, w := range o.Workers {
		r.workers = append(r.workers, m.worker(w))
	}
	m.runs[o.Run] = r
	return r
}

func (m *Model) queue(name string) *queueState {
	q := m.queues[name]
	if q == nil {
		q = &queueState{base: infoOf(gaussian{0, queueSpread * queueSpread}), baseAt: m.now, stepVariance: initialStepVariance, steps: stepVarianceSteps}
		m.queues[name] = q
	}
	return q
}

func (m *Model) worker(id Worker) *workerState {
	w := m.workers[id.ID]
	if w == nil {
		w = &workerState{id: id.ID, incarnation: id.Incarnation, base: infoOf(gaussian{m.fleetMean(), workerSpread * workerSpread}), baseAt: m.now}
		m.workers[id.ID] = w
	}
	if id.Incarnation > w.incarnation {
		w.incarnation, w.slowdown = id.Incarnation, slowdown{}
		w.age(m.now)
		m.detachRuns(w)
		w.base = w.base.widened(restartWidening, workerSpread*workerSpread)
	}
	return w
}

// detachRuns makes the messages of the current runs of a worker part of the belief about it.
func (m *Model) detachRuns(w *workerState) {
	w.base, w.messages = w.base.plus(w.messages), info{}
	for _, r := range m.runs {
		for i, member := range r.workers {
			if member == w {
				r.toWorkers[i] = info{}
			}
		}
	}
}

// age widens the belief about a worker for the time since it was last widened.
func (w *workerState) age(now time.Duration) {
	if now > w.baseAt {
		w.base = w.base.widened(math.Exp(wideningPerSecond*(now-w.baseAt).Seconds()), workerSpread*workerSpread)
		w.baseAt = now
	}
}

func (q *queueState) age(now time.Duration) {
	if now > q.baseAt {
		q.base = q.base.widened(math.Exp(queueWideningPerSecond*(now-q.baseAt).Seconds()), queueSpread*queueSpread)
		q.baseAt = now
	}
}

// update replaces the messages of a run by those of its newest progress.
func (m *Model) update(r *runState) {
	s, q := r.step, r.step.queue
	share := max(r.share(), progressError)
	spread := taskSpread
	if len(r.workers) > 1 {
		spread = gangSpread
	}
	y := math.Log(r.effective / (r.expected * share))
	noise := square(progressError/share) + square(timeError.Seconds()/r.effective) + spread*spread

	s.messages = s.messages.minus(r.toStep)
	q.age(m.now)
	fromQueue := q.base.plus(q.messages.minus(s.toQueue)).gaussian()
	level := infoOf(gaussian{fromQueue.mean, fromQueue.variance + q.stepVariance}).plus(s.messages).gaussian()

	cavities := make([]gaussian, len(r.workers))
	for i, w := range r.workers {
		w.age(m.now)
		w.messages = w.messages.minus(r.toWorkers[i])
		cavities[i] = w.base.plus(w.messages).gaussian()
	}
	others, slowest := m.maxOfOthers(cavities)
	for i, w := range r.workers {
		if len(cavities) == 1 {
			r.toWorkers[i] = singleMessage(y-level.mean, noise+level.variance, cavities[i])
		} else {
			r.toWorkers[i] = gangMessage(y-level.mean, noise+level.variance, cavities[i], others[i])
		}
		w.messages = w.messages.plus(r.toWorkers[i])
		m.recordFactor(w)
	}
	sound := 1 - tailProbability(y-level.mean-slowest.mean, noise+level.variance+slowest.variance)
	r.toStep = infoOf(gaussian{y - slowest.mean, noise + slowest.variance}).scaled(sound)
	s.messages = s.messages.plus(r.toStep)
	s.sendToQueue()
}

// sendToQueue replaces the message of a step to its queue.
func (s *stepState) sendToQueue() {
	q := s.queue
	q.messages = q.messages.minus(s.toQueue)
	s.toQueue = info{}
	if s.messages.precision > 0 {
		g := s.messages.gaussian()
		s.toQueue = infoOf(gaussian{g.mean, g.variance + q.stepVariance})
	}
	q.messages = q.messages.plus(s.toQueue)
}

// recordFactor updates the mean of the fleet after a change of a worker.
func (m *Model) recordFactor(w *workerState) {
	if w.forgotten {
		return
	}
	if !w.known {
		w.known = true
		m.known++
	}
	factor := math.Exp(w.belief().mean)
	m.factorSum += factor - w.factor
	w.factor = factor
}

func (w *workerState) belief() gaussian { return w.base.plus(w.messages).gaussian() }

// fleetMean returns the logarithm of the mean factor of the known workers. What they have in common can't be told from an error of the expected run times.
func (m *Model) fleetMean() float64 {
	if m.known == 0 || m.factorSum <= 0 {
		return 0
	}
	return math.Log(m.factorSum / float64(m.known))
}

// endRun makes the messages of a run part of the beliefs.
func (m *Model) endRun(key string, r *runState) {
	delete(m.runs, key)
	for i, w := range r.workers {
		w.age(m.now)
		w.messages, w.base = w.messages.minus(r.toWorkers[i]), w.base.plus(r.toWorkers[i])
	}
	if r.step.runs--; r.step.runs == 0 && !r.step.sampled && r.step.messages.precision > 0 {
		r.step.sampled = true
		r.step.queue.sampleStep(r.step)
	}
}

// sampleStep updates the variance of the levels of the steps of a queue with one of them.
func (q *queueState) sampleStep(s *stepState) {
	level := q.base.plus(q.messages.minus(s.toQueue)).gaussian()
	posterior := infoOf(gaussian{level.mean, q.stepVariance}).plus(s.messages).gaussian()
	q.steps = min(q.steps+1, maxCountedSteps)
	sample := square(posterior.mean-level.mean) + posterior.variance
	q.stepVariance = max(minStepVariance, q.stepVariance+(sample-q.stepVariance)/q.steps)
}

// sweep ends runs and steps without recent reports.
func (m *Model) sweep() {
	if m.now-m.sweptAt < sweepInterval {
		return
	}
	m.sweptAt = m.now
	for key, r := range m.runs {
		if m.now-r.seenAt > runRetention {
			m.endRun(key, r)
		}
	}
	for key, s := range m.steps {
		if s.runs == 0 && m.now-s.seenAt > runRetention {
			m.endStep(key, s)
		}
	}
}

// endStep makes the message of a step part of the belief about its queue.
func (m *Model) endStep(key string, s *stepState) {
	delete(m.steps, key)
	q := s.queue
	q.age(m.now)
	q.messages, q.base = q.messages.minus(s.toQueue), q.base.plus(s.toQueue)
}

// Slowness returns the estimate for an incarnation of a worker at the time of the newest observation.
func (m *Model) Slowness(worker string, incarnation int64) Estimate {
	lasting, slow := m.slowness(worker, incarnation)
	return estimateOf(gaussian{lasting.mean + slow, lasting.variance})
}

// Lasting returns the estimate without a temporary slowdown that the worker may have now.
func (m *Model) Lasting(worker string, incarnation int64) Estimate {
	lasting, _ := m.slowness(worker, incarnation)
	return estimateOf(lasting)
}

// Factor returns the Mean of Slowness.
func (m *Model) Factor(worker string, incarnation int64) float64 {
	lasting, slow := m.slowness(worker, incarnation)
	return math.Exp(lasting.mean + slow)
}

func estimateOf(g gaussian) Estimate {
	d := math.Sqrt(g.variance)
	return Estimate{math.Exp(g.mean), math.Exp(g.mean - d), math.Exp(g.mean + d)}
}

// slowness returns the belief about the logarithm of the lasting slowness of a worker, relative to the mean worker, and the logarithm of its slowdown.
func (m *Model) slowness(worker string, incarnation int64) (lasting gaussian, slow float64) {
	w := m.workers[worker]
	if w == nil {
		return gaussian{0, workerSpread * workerSpread}, 0
	}
	belief := w.base.widened(math.Exp(wideningPerSecond*max(0, m.now-w.baseAt).Seconds()), workerSpread*workerSpread).plus(w.messages)
	slow = w.slowdown.at(m.now)
	if incarnation > w.incarnation {
		belief, slow = belief.widened(restartWidening, workerSpread*workerSpread), 0
	}
	lasting = belief.gaussian()
	lasting.mean -= m.fleetMean()
	return lasting, slow
}

// Forget drops a worker that has left.
func (m *Model) Forget(worker string) {
	w := m.workers[worker]
	if w == nil {
		return
	}
	w.forgotten = true
	if w.known {
		m.known--
		m.factorSum -= w.factor
	}
	delete(m.workers, worker)
}

func square(x float64) float64 { return x * x }
