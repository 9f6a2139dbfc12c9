package fleetmodel

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"samphirewell/internal/batch"
)

// arrival is a job with what only the model knows of it.
type arrival struct {
	job       batch.Job
	class     int
	at        time.Duration
	runs      []time.Duration // true run time of each task, near its data and undisturbed
	poison    bool
	cancelAt  time.Duration // 0 means never
	work      float64       // core equivalents times seconds
	objective time.Duration
}

func (sp Spread) draw(rng *rand.Rand) float64 {
	v := sp.Mean * math.Exp(sp.Sigma*rng.NormFloat64()-sp.Sigma*sp.Sigma/2)
	if sp.Max > 0 {
		v = min(v, sp.Max)
	}
	return v
}

// arrivals draws the jobs of a seed. They are the same for all policies.
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
	slices.SortStableFunc(out, func(a, b arrival) int { return int(a.at - b.at) })
	return out
}

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
	a := arrival{class: class, at: at, poison: rng.Float64() < c.PoisonShare}
	mean := c.RunS.draw(rng)
	longest := 0.0
	for range step.Tasks {
		run := mean
		if !step.Gang {
			run = Spread{Mean: mean, Sigma: c.UnevenShare, Max: c.RunS.Max}.draw(rng)
		}
		longest = max(longest, run)
		a.runs = append(a.runs, seconds(run))
		a.work += run * step.Need.CoreEquivalents()
	}
	step.Estimate = seconds(mean * math.Exp(c.EstimateOff*rng.NormFloat64()))
	a.objective = seconds(c.Stretch*longest + c.TargetS)
	if rng.Float64() < c.CancelShare {
		a.cancelAt = at + time.Duration(rng.Float64()*float64(a.objective))
	}
	a.job = batch.Job{ID: id, Queue: s.queue(class), Team: s.drawTeam(rng), Steps: []batch.Step{step}, AcceptedMS: at.Milliseconds()}
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

// service is the name of the pool of workers.
const service = "fleet"

func (s *Scenario) queue(class int) batch.Queue {
	c := &s.Classes[class]
	return batch.Queue{Name: c.Name, Service: service, Priority: c.Priority, Attempts: c.Attempts, Stretch: c.Stretch, Target: seconds(c.TargetS)}
}

func (s *Scenario) policy() *batch.Policy {
	p := &batch.Policy{Version: 1, Services: []batch.Service{{Name: service, EnforcesCapacity: true}}}
	for i := range s.Classes {
		p.Queues = append(p.Queues, s.queue(i))
	}
	for _, t := range s.Teams {
		p.Teams = append(p.Teams, batch.Team{Name: t.Name, Guaranteed: t.Guaranteed})
	}
	return p.Index()
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func rackName(i int) string { return fmt.Sprintf("rack-%d", i) }
