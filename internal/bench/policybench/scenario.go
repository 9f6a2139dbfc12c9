package policybench

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Scenario changes the load or injects failures of workers and jobs, in the same way for every policy.
type Scenario struct {
	Name             string
	RunOutlierShare  float64 // share of jobs that run 10 times as long as usual for their kind; the same share runs a tenth as long
	DeclaredRunWrong bool    // declared run times are 10 times or a tenth of the true ones; else their standard deviation is a factor of e
	BurstShare       float64 // share of the jobs that arrive in bursts of 5 minutes
	Bursts           int     // number of bursts
	WorkerFailures   float64 // worker failures per day and 880 workers
	RackFailures     int     // racks that fail in the arrival window
	BadWorkers       int     // workers per mix that fail every job during the whole run
	BrokenJobs       float64 // share of jobs that fail on every worker
	CancelShare      float64 // share of the jobs arriving in the 12 hours before mid-window that are cancelled within 30 s after mid-window
}

// Scenarios returns the scenarios of the full table.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "healthy"},
		{Name: "estimates x10", DeclaredRunWrong: true, RunOutlierShare: 0.03},
		{Name: "bursts", BurstShare: 0.4, Bursts: 5},
		{Name: "failures", WorkerFailures: 11, RackFailures: 1, BadWorkers: 1, BrokenJobs: 0.005},
		{Name: "cancellations", CancelShare: 0.5},
	}
}

// runFactor draws the factor by which outliers change the run time of a job.
func (sc Scenario) runFactor(rnd *rand.Rand) float64 {
	switch x := rnd.Float64(); {
	case x < sc.RunOutlierShare:
		return 10
	case x < 2*sc.RunOutlierShare:
		return 0.1
	}
	return 1
}

// meanRunFactor returns the mean of runFactor.
func (sc Scenario) meanRunFactor() float64 { return 1 + sc.RunOutlierShare*(10+0.1-2) }

// declaredFactor draws the factor between the declared and the true run time.
func (sc Scenario) declaredFactor(rnd *rand.Rand) float64 {
	x := rnd.NormFloat64()
	if !sc.DeclaredRunWrong {
		return math.Exp(x)
	}
	if x < 0 {
		return 0.1
	}
	return 10
}

// outage is a period in which a worker is down.
type outage struct {
	domain, worker int
	from, to       time.Duration
}

// drawOutages draws the failures of workers and racks. A worker is down for 30 minutes on average, a rack for 2 hours.
func (m *Mix) drawOutages(sc Scenario, seed uint64) []outage {
	rnd := rand.New(rand.NewPCG(seed, 11))
	var out []outage
	workers := 0
	for d := range m.Domains {
		workers += len(m.Domains[d].Workers)
	}
	n := int(math.Round(sc.WorkerFailures * m.Days * float64(workers) / 880))
	if sc.WorkerFailures > 0 {
		n = max(n, 2)
	}
	for range n {
		d := rnd.IntN(len(m.Domains))
		from := time.Duration(rnd.Float64() * float64(m.window()))
		to := from + seconds(600+rnd.ExpFloat64()*1200)
		out = append(out, outage{d, rnd.IntN(len(m.Domains[d].Workers)), from, to})
	}
	for range sc.RackFailures {
		d := rnd.IntN(len(m.Domains))
		rack := m.Domains[d].Workers[rnd.IntN(len(m.Domains[d].Workers))].Rack
		from := time.Duration(rnd.Float64() * float64(m.window()))
		for w := range m.Domains[d].Workers {
			if m.Domains[d].Workers[w].Rack == rack {
				out = append(out, outage{d, w, from, from + 2*time.Hour})
			}
		}
	}
	return out
}

// drawBadWorkers draws the workers that fail every job, as domain and worker index.
func (m *Mix) drawBadWorkers(sc Scenario, seed uint64) [][2]int {
	rnd := rand.New(rand.NewPCG(seed, 13))
	var out [][2]int
	for len(out) < sc.BadWorkers {
		d := rnd.IntN(len(m.Domains))
		w := [2]int{d, rnd.IntN(len(m.Domains[d].Workers))}
		if !slices.Contains(out, w) {
			out = append(out, w)
		}
	}
	return out
}
