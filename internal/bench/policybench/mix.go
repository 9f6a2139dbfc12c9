package policybench

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"samphirewell/internal/scheduler"
)

// Kind describes the jobs of one kind of work of a team.
type Kind struct {
	Team               string
	Name               string
	Class              scheduler.Class
	Shape              scheduler.Shape
	Share              float64       // relative share of the jobs of its group: all kinds with accelerators or all without
	MedianRun          time.Duration // median of the log-normal run time
	RunSigma           float64       // standard deviation of the logarithm of the run time
	CheckpointInterval time.Duration // time between checkpoints; 0 means none
	Nightly            bool          // all jobs of a day arrive between 1:00 and 1:30
}

// Mix is a deployment with its load.
type Mix struct {
	Name          string
	Weights       scheduler.Weights
	Domains       []Domain
	Teams         []scheduler.Team // plan of each team in each domain
	Kinds         []Kind
	Load          float64  // offered work of the arrival window as a share of the capacity
	Days          float64  // length of the arrival window in days
	ScenarioNames []string // scenarios to run; empty means all
}

// Domain is a failure domain and its workers.
type Domain struct {
	Name    string
	Workers []scheduler.Worker
}

// JobSpec is a generated job. All policies run the same list.
type JobSpec struct {
	scheduler.Job
	Domain             int           // index of the domain
	ArriveAt           time.Duration // since simulationStart
	TrueRun            time.Duration // run time without interruptions
	CheckpointInterval time.Duration // time between checkpoints; 0 means none
	CancelAt           time.Duration // time of the cancellation since simulationStart; 0 means none
	Broken             bool          // fails a minute after each start
}

// simulationStart is the simulated time at which each run starts.
var simulationStart = time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC)

const day = 24 * time.Hour

// generateJobs returns the jobs of the mix for a scenario in order of arrival.
func (m *Mix) generateJobs(sc Scenario, seed uint64) []JobSpec {
	rnd := rand.New(rand.NewPCG(seed, 7))
	var out []JobSpec
	for k := range m.Kinds {
		for range m.jobCount(k, sc) {
			out = append(out, m.generateJob(k, sc, rnd))
		}
	}
	slices.SortStableFunc(out, func(a, b JobSpec) int { return cmp.Compare(a.ArriveAt, b.ArriveAt) })
	for i := range out {
		out[i].ID = fmt.Sprintf("job%06d", i)
		out[i].Submitted = simulationStart.Add(out[i].ArriveAt)
	}
	return out
}

// window returns the length of the arrival window.
func (m *Mix) window() time.Duration { return time.Duration(m.Days * float64(day)) }

// jobCount returns the number of jobs of a kind with which the offered work of its group (kinds with or without accelerators) is Load times the
// capacity for that group.
func (m *Mix) jobCount(k int, sc Scenario) int {
	kind := &m.Kinds[k]
	weightedWork, shares := 0.0, 0.0
	for i := range m.Kinds {
		o := &m.Kinds[i]
		if (o.Shape.Part.Accelerators > 0) == (kind.Shape.Part.Accelerators > 0) {
			weightedWork += o.Share * o.meanWork() * sc.meanRunFactor()
			shares += o.Share
		}
	}
	total := m.Load * m.Days * 24 * m.capacity(kind.Shape.Part.Accelerators > 0) / weightedWork
	return int(math.Round(total * kind.Share))
}

// meanWork returns the mean work of a job in accelerator hours, or core hours if it uses none.
func (k *Kind) meanWork() float64 {
	units := k.Shape.Accelerators()
	if units == 0 {
		units = k.Shape.Parts * k.Shape.Part.Cores
	}
	return float64(units) * k.MedianRun.Hours() * math.Exp(k.RunSigma*k.RunSigma/2)
}

// capacity returns the accelerators of all workers, or the cores of the workers without accelerators.
func (m *Mix) capacity(accelerators bool) float64 {
	n := 0
	for _, d := range m.Domains {
		for _, w := range d.Workers {
			if accelerators {
				n += w.Capacity.Accelerators
			} else if w.Capacity.Accelerators == 0 {
				n += w.Capacity.Cores
			}
		}
	}
	if n == 0 { // all workers have accelerators; jobs without accelerators get a fifth of the cores
		n = len(m.Domains[0].Workers) * len(m.Domains) * m.Domains[0].Workers[0].Capacity.Cores / 5
	}
	return float64(n)
}

func (m *Mix) generateJob(k int, sc Scenario, rnd *rand.Rand) JobSpec {
	kind := &m.Kinds[k]
	run := kind.MedianRun.Seconds() * math.Exp(rnd.NormFloat64()*kind.RunSigma) * sc.runFactor(rnd)
	run = max(run, 20)
	j := JobSpec{
		Job: scheduler.Job{
			Team: kind.Team, Kind: kind.Name, Class: kind.Class, Shape: kind.Shape,
			DeclaredRun: seconds(run * sc.declaredFactor(rnd)),
		},
		Domain: rnd.IntN(len(m.Domains)), ArriveAt: m.drawArrival(kind, sc, rnd), TrueRun: seconds(run), CheckpointInterval: kind.CheckpointInterval,
		Broken: rnd.Float64() < sc.BrokenJobs,
	}
	if sc.CancelShare > 0 && rnd.Float64() < sc.CancelShare {
		if at := m.window() / 2; j.ArriveAt < at && j.ArriveAt > at-day/2 {
			j.CancelAt = at + seconds(rnd.Float64()*30)
		}
	}
	return j
}

// drawArrival draws the arrival time of a job. Jobs that are neither nightly nor part of a burst arrive at a rate that varies over the day and peaks
// around 14:00 at 1.6 times the mean.
func (m *Mix) drawArrival(kind *Kind, sc Scenario, rnd *rand.Rand) time.Duration {
	window := m.window()
	if kind.Nightly {
		night := time.Duration(rnd.IntN(max(1, int(m.Days)))) * day
		return min(night+time.Hour+seconds(rnd.Float64()*1800), window)
	}
	if rnd.Float64() < sc.BurstShare {
		return window*time.Duration(1+rnd.IntN(sc.Bursts))/time.Duration(sc.Bursts+1) + seconds(rnd.Float64()*300)
	}
	for {
		at := time.Duration(rnd.Float64() * float64(window))
		rate := 1 + 0.6*math.Sin(2*math.Pi*(at.Hours()/24-8.0/24))
		if rnd.Float64()*1.6 < rate {
			return at
		}
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
