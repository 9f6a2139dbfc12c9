// Package fleetmodel simulates a fleet of workers and runs the decision core of the leading host on the load of a deployment in simulated time. It
// compares policies on equal arrivals: the product's own, two common baselines, and the product's with the true run times in place of estimates.
package fleetmodel

import (
	"bytes"
	"encoding/json"
	"slices"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// Scenario is a deployment and its load.
type Scenario struct {
	Name    string  `json:"name"`
	LengthS float64 `json:"lengthS"` // seconds in which jobs arrive
	SettleS float64 `json:"settleS"` // seconds after that in which jobs may still complete
	Fleet   Fleet   `json:"fleet"`
	Classes []Class `json:"classes"`
	Teams   []Team  `json:"teams"`
	Bursts  []Burst `json:"bursts"`
	Faults  Faults  `json:"faults"`
	// Takeovers are the periods without a leading host.
	Takeovers []Takeover `json:"takeovers"`
}

// Fleet describes the workers, which are equal except for their speed, and the limits of leases and stops.
type Fleet struct {
	Racks          int     `json:"racks"`
	WorkersPerRack int     `json:"workersPerRack"`
	Workers        int     `json:"workers"` // if above 0, the last rack has fewer workers, so that these are all
	Domains        int     `json:"domains"` // failure domains; 0 means 3
	MilliCores     int     `json:"milliCores"`
	MemoryMB       int     `json:"memoryMB"`
	Accelerators   int     `json:"accelerators"`
	FarFactor      float64 `json:"farFactor"`   // run time away from the data or across racks, relative to the run time on the preferred rack
	CheckpointS    float64 `json:"checkpointS"` // seconds of run time between two checkpoints
	RestoreS       float64 `json:"restoreS"`    // seconds to restore a checkpoint
	LeaseMaxS      float64 `json:"leaseMaxS"`
	StopMaxS       float64 `json:"stopMaxS"`
	SlowEvery      int     `json:"slowEvery"`  // every SlowEvery-th worker is slow; 0 means none
	SlowFactor     float64 `json:"slowFactor"` // run time on a slow worker relative to that on the others
	// Speeds are factors of the run time. Each is that of an equal part of the workers, chosen at random.
	Speeds  []float64 `json:"speeds"`
	ReportS float64   `json:"reportS"` // seconds between two reports of a worker on which no run ends; 0 means 0.5
}

// LogNormal is a log-normal distribution with an upper bound.
type LogNormal struct {
	Mean  float64 `json:"mean"`  // without the bound
	Sigma float64 `json:"sigma"` // standard deviation of the logarithm
	Max   float64 `json:"max"`   // larger values are replaced by this bound; 0 means none
}

// Class describes the jobs of one class.
type Class struct {
	Name            string    `json:"name"`
	Priority        int       `json:"priority"`
	PerSecond       float64   `json:"perSecond"`
	Worth           float64   `json:"worth"`     // worth of a job of mean work that meets its objective
	LateWorth       float64   `json:"lateWorth"` // worth of such a job that takes up to three times its objective
	Attempts        int       `json:"attempts"`
	Stretch         float64   `json:"stretch"`
	TargetS         float64   `json:"targetS"`
	Tasks           LogNormal `json:"tasks"`
	RunS            LogNormal `json:"runS"`
	MilliCores      int       `json:"milliCores"`
	MemoryMB        int       `json:"memoryMB"`
	Accelerators    []int     `json:"accelerators"` // accelerators of a task; each job gets one of these values at random
	GangShare       float64   `json:"gangShare"`
	SameRackShare   float64   `json:"sameRackShare"`
	CheckpointShare float64   `json:"checkpointShare"`
	NearDataShare   float64   `json:"nearDataShare"`
	ErrorShare      float64   `json:"errorShare"`  // share of runs that fail
	PoisonShare     float64   `json:"poisonShare"` // share of jobs that fail on every worker
	EstimateOff     float64   `json:"estimateOff"` // standard deviation of the logarithm of the ratio of estimated to true run time
	CancelShare     float64   `json:"cancelShare"` // share of jobs that their callers cancel within the objective
	UnevenShare     float64   `json:"unevenShare"` // standard deviation of the logarithm of the run times of a job's tasks, except in gangs
	TailShare       float64   `json:"tailShare"`   // share of the tasks, and of the gangs as a whole, that take TailFactor times as long
	TailFactor      float64   `json:"tailFactor"`
}

// Team has a share of the jobs and a guarantee.
type Team struct {
	Name       string  `json:"name"`
	Share      float64 `json:"share"`
	Guaranteed int     `json:"guaranteed"` // accelerators
}

// Burst multiplies the arrival rate of a class by Factor from AtS for ForS seconds.
type Burst struct {
	Class  string  `json:"class"`
	AtS    float64 `json:"atS"`
	ForS   float64 `json:"forS"`
	Factor float64 `json:"factor"`
}

// Faults are the faults that are injected into workers.
type Faults struct {
	CrashesPerMinute float64 `json:"crashesPerMinute"` // crashes of workers in the whole fleet
	HangShare        float64 `json:"hangShare"`        // share of workers whose runs make no progress
	FailShare        float64 `json:"failShare"`        // share of workers that fail all their runs
	ForS             float64 `json:"forS"`             // seconds for which workers hang or fail; 0 means that none does
}

// Takeover is the loss of the leading host at AtS. The next leader has only the accepted jobs, the stored rows and the reports of the workers.
type Takeover struct {
	AtS  float64 `json:"atS"`
	ForS float64 `json:"forS"` // seconds until the next host leads
}

// ParseScenario reads a scenario from JSON with comments and checks it.
func ParseScenario(text []byte) (Scenario, error) {
	var s Scenario
	plain, err := hujson.Standardize(text)
	if err != nil {
		return s, errors.Wrap(err, "scenario")
	}
	decoder := json.NewDecoder(bytes.NewReader(plain))
	decoder.DisallowUnknownFields() // otherwise a misspelt field would be ignored and give misleading results
	if err := decoder.Decode(&s); err != nil {
		return s, errors.Wrap(err, "scenario")
	}
	return s, s.check()
}

func (s *Scenario) check() error {
	switch {
	case s.LengthS <= 0:
		return errors.New("scenario: lengthS must be a positive number of seconds")
	case s.Fleet.Racks < 1 || s.Fleet.WorkersPerRack < 1 || s.Fleet.MilliCores < 1 || s.Fleet.LeaseMaxS <= 0:
		return errors.New("scenario: racks, workersPerRack and milliCores of the fleet must be at least 1, and leaseMaxS must be a positive number of seconds")
	case s.Fleet.Workers < 0 || s.Fleet.Workers > s.Fleet.Racks*s.Fleet.WorkersPerRack || s.Fleet.Domains < 0 || s.Fleet.ReportS < 0:
		return errors.New("scenario: workers must not exceed racks times workersPerRack, and workers, domains and reportS must not be negative")
	case slices.ContainsFunc(s.Fleet.Speeds, func(f float64) bool { return f <= 0 }):
		return errors.New("scenario: speeds must be positive factors of the run time")
	case len(s.Classes) == 0 || len(s.Teams) == 0:
		return errors.New("scenario: classes and teams must not be empty")
	}
	for _, c := range s.Classes {
		if c.TailShare > 0 && c.TailFactor <= 0 {
			return errors.Errorf("scenario: class %q needs a positive tailFactor", c.Name)
		}
		if c.PerSecond < 0 || c.RunS.Mean <= 0 || c.Tasks.Mean < 1 || c.Attempts < 1 || len(c.Accelerators) == 0 {
			return errors.Errorf("scenario: class %q needs perSecond >= 0, runS.mean > 0, tasks.mean >= 1, attempts >= 1 and a list of accelerators that is not empty", c.Name)
		}
	}
	for _, b := range s.Bursts {
		if !s.hasClass(b.Class) {
			return errors.Errorf("scenario: bursts: unknown class %q", b.Class)
		}
	}
	for _, t := range s.Takeovers {
		if t.AtS < 0 || t.ForS <= 0 || t.AtS+t.ForS >= s.LengthS {
			return errors.New("scenario: takeovers: atS must not be negative, forS must be positive, and their sum must be below lengthS")
		}
	}
	return nil
}

// workers returns the number of workers.
func (s *Scenario) workers() int {
	if s.Fleet.Workers > 0 {
		return s.Fleet.Workers
	}
	return s.Fleet.Racks * s.Fleet.WorkersPerRack
}

func (s *Scenario) hasClass(name string) bool {
	for _, c := range s.Classes {
		if c.Name == name {
			return true
		}
	}
	return false
}
