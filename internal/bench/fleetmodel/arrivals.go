package fleetmodel

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"samphirewell/internal/batch"
)

// arrival is a generated job together with its true properties, which no policy sees, except that the oracle sees the run times.
type arrival struct {
	job          batch.Job
	classIndex   int
	arrivedAt    time.Duration
	taskRunTimes []time.Duration // true run time of each task near its data, without faults or interruptions
	poison       bool            // fails on every worker
	cancelAt     time.Duration   // 0 means never
	work         float64         // core equivalents times seconds
	objective    time.Duration   // from the arrival to the completion
}

// draw returns a random value of the distribution.
func (sp LogNormal) draw(rng *rand.Rand) float64 {
	v := sp.Mean * math.Exp(sp.Sigma*rng.NormFloat64()-sp.Sigma*sp.Sigma/2)
	if sp.Max > 0 {
		v = min(v, sp.Max)
	}
	return v
}

// arrivals draws the jobs of a seed in order of arrival. They are the same for all policies.
func (s *Scenario) arrivals(seed uint64) []arrival {
	var out []arrival
	for i := range s.Classes {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		c := &s.Classes[i]
		if c.PerSecond == 0 {
			continue
		}
		for at := 0.0; ; {
			at += rng.ExpFloat64() / (c.PerSecond * s.rateFactor(c.Name, at))
			if at >= s.LengthS {
				break
			}
			out = append(out, s.drawJob(rng, i, seconds(at), fmt.Sprintf("%s-%d", c.Name, len(out))))
		}
	}
	slices.SortStableFunc(out, func(a, b arrival) int { return int(a.arrivedAt - b.arrivedAt) })
	return out
}

// rateFactor returns the factor by which bursts multiply the arrival rate of a class at a time in seconds.
func (s *Scenario) rateFactor(class string, at float64) float64 {
	f := 1.0
	for _, b := range s.Bursts {
		if b.Class == class && at >= b.AtS && at < b.AtS+b.ForS {
			f *= b.Factor
		}
	}
	return f
}

func (s *Scenario) drawJob(rng *rand.Rand, class int, at time.Duration, id string) arrival {
	c := &s.Classes[class]
	step := batch.Step{Tasks: max(1, int(math.Round(c.Tasks.draw(rng)))),
		Need: batch.Resources{MilliCores: c.MilliCores, MemoryMB: c.MemoryMB, Accelerators: c.Accelerators[rng.IntN(len(c.Accelerators))]},
		Gang: rng.Float64() < c.GangShare, SameRack: rng.Float64() < c.SameRackShare, Checkpoints: rng.Float64() < c.CheckpointShare}
	if step.Tasks == 1 {
		step.Gang, step.SameRack = false, false
	}
	if rng.Float64() < c.NearDataShare {
		step.DataRack = rackName(rng.IntN(s.Fleet.Racks))
	}
	a := arrival{classIndex: class, arrivedAt: at, poison: rng.Float64() < c.PoisonShare}
	meanRunTime := c.RunS.draw(rng)
	tail := func(runTime float64) float64 {
		if c.TailShare > 0 && rng.Float64() < c.TailShare {
			return c.TailFactor * runTime
		}
		return runTime
	}
	longestRunTime, gangRunTime := 0.0, 0.0
	if step.Gang {
		gangRunTime = tail(meanRunTime)
	}
	for range step.Tasks {
		runTime := gangRunTime
		if !step.Gang {
			runTime = tail(LogNormal{Mean: meanRunTime, Sigma: c.UnevenShare, Max: c.RunS.Max}.draw(rng))
		}
		longestRunTime = max(longestRunTime, runTime)
		a.taskRunTimes = append(a.taskRunTimes, seconds(runTime))
		a.work += runTime * step.Need.CoreEquivalents()
	}
	step.Estimate = seconds(meanRunTime * math.Exp(c.EstimateOff*rng.NormFloat64()))
	a.objective = seconds(c.Stretch*longestRunTime + c.TargetS)
	if rng.Float64() < c.CancelShare {
		a.cancelAt = at + time.Duration(rng.Float64()*float64(a.objective))
	}
	a.job = batch.Job{ID: id, Queue: s.batchQueue(class), Team: s.drawTeam(rng), Steps: []batch.Step{step}, AcceptedMS: at.Milliseconds()}
	return a
}

func (s *Scenario) drawTeam(rng *rand.Rand) string {
	total := 0.0
	for _, t := range s.Teams {
		total += t.Share
	}
	x := rng.Float64() * total
	for _, t := range s.Teams {
		if x -= t.Share; x < 0 {
			return t.Name
		}
	}
	return s.Teams[len(s.Teams)-1].Name
}

// serviceName is the service that the workers provide and that all queues use.
const serviceName = "fleet"

// batchQueue returns the queue of a class.
func (s *Scenario) batchQueue(class int) batch.Queue {
	c := &s.Classes[class]
	return batch.Queue{Name: c.Name, Service: serviceName, Priority: c.Priority, Attempts: c.Attempts, Stretch: c.Stretch, Target: seconds(c.TargetS)}
}

// batchPolicy returns the configuration of the queues and teams.
func (s *Scenario) batchPolicy() *batch.Policy {
	p := &batch.Policy{Version: 1, Services: []batch.Service{{Name: serviceName, EnforcesCapacity: true}}}
	for i := range s.Classes {
		p.Queues = append(p.Queues, s.batchQueue(i))
	}
	for _, t := range s.Teams {
		p.Teams = append(p.Teams, batch.Team{Name: t.Name, GuaranteedAccelerators: t.Guaranteed})
	}
	return p.Index()
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func rackName(i int) string { return fmt.Sprintf("rack-%d", i) }
