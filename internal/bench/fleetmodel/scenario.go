// Package fleetmodel plays the load of a deployment against the decision core of the leading host in simulated time. It compares policies on equal
// arrivals: the product's own, two baselines of the field, and the product's with the true run times known.
package fleetmodel

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// Scenario is a deployment and its load.
type Scenario struct {
	Name    string  `json:"name"`
	LengthS float64 `json:"lengthS"` // time in which jobs arrive
	SettleS float64 `json:"settleS"` // time after that in which they may still finish
	Fleet   Fleet   `json:"fleet"`
	Classes []Class `json:"classes"`
	Teams   []Team  `json:"teams"`
	Bursts  []Burst `json:"bursts"`
	Faults  Faults  `json:"faults"`
	// Takeovers are the times at which the leading host is lost.
	Takeovers []Takeover `json:"takeovers"`
}

// Fleet is the pool of workers; all are equal but for the slow ones.
type Fleet struct {
	Racks          int     `json:"racks"`
	WorkersPerRack int     `json:"workersPerRack"`
	MilliCores     int     `json:"milliCores"`
	MemoryMB       int     `json:"memoryMB"`
	Accelerators   int     `json:"accelerators"`
	FarFactor      float64 `json:"farFactor"`   // run time away from the data or on several racks, relative to that near it
	CheckpointS    float64 `json:"checkpointS"` // work between two checkpoints
	RestoreS       float64 `json:"restoreS"`    // time that going on from a checkpoint takes
	LeaseMaxS      float64 `json:"leaseMaxS"`
	StopMaxS       float64 `json:"stopMaxS"`
	SlowEvery      int     `json:"slowEvery"`  // every which worker is slow; 0 means none
	SlowFactor     float64 `json:"slowFactor"` // run time on a slow worker relative to the others
}

// Spread is a log-normal distribution with an upper bound.
type Spread struct {
	Mean  float64 `json:"mean"`
	Sigma float64 `json:"sigma"` // standard deviation of the logarithm
	Max   float64 `json:"max"`   // 0 means none
}

// Class is a kind of job.
type Class struct {
	Name            string  `json:"name"`
	Priority        int     `json:"priority"`
	PerSecond       float64 `json:"perSecond"`
	Worth           float64 `json:"worth"`     // of a mean job that meets its objective
	LateWorth       float64 `json:"lateWorth"` // of one that takes up to three times as long
	Attempts        int     `json:"attempts"`
	Stretch         float64 `json:"stretch"`
	TargetS         float64 `json:"targetS"`
	Tasks           Spread  `json:"tasks"`
	RunS            Spread  `json:"runS"`
	MilliCores      int     `json:"milliCores"`
	MemoryMB        int     `json:"memoryMB"`
	Accelerators    []int   `json:"accelerators"` // one of them a job
	GangShare       float64 `json:"gangShare"`
	SameRackShare   float64 `json:"sameRackShare"`
	CheckpointShare float64 `json:"checkpointShare"`
	NearDataShare   float64 `json:"nearDataShare"`
	ErrorShare      float64 `json:"errorShare"`  // of runs
	PoisonShare     float64 `json:"poisonShare"` // of jobs that fail on every worker
	EstimateOff     float64 `json:"estimateOff"` // standard deviation of the logarithm of estimate to truth
	CancelShare     float64 `json:"cancelShare"` // of jobs that their callers cancel within the objective
	UnevenShare     float64 `json:"unevenShare"` // standard deviation of the logarithm of the run times within a job
}

// Team has a share of the jobs and a guarantee.
type Team struct {
	Name       string  `json:"name"`
	Share      float64 `json:"share"`
	Guaranteed int     `json:"guaranteed"` // accelerators
}

// Burst multiplies the arrivals of a class for a time.
type Burst struct {
	Class  string  `json:"class"`
	AtS    float64 `json:"atS"`
	ForS   float64 `json:"forS"`
	Factor float64 `json:"factor"`
}

// Faults befall workers.
type Faults struct {
	CrashesPerMinute float64 `json:"crashesPerMinute"` // of the fleet
	HangShare        float64 `json:"hangShare"`        // of workers whose tasks stand still for a while
	FailShare        float64 `json:"failShare"`        // of workers that fail what they start for a while
	ForS             float64 `json:"forS"`             // how long workers hang or fail
}

// Takeover is the loss of the leading host; the next one knows what is stored and what workers say.
type Takeover struct {
	AtS  float64 `json:"atS"`
	ForS float64 `json:"forS"` // until the next host leads
}

// ParseScenario reads a scenario from JSON with comments and says what is wrong with it.
func ParseScenario(text []byte) (Scenario, error) {
	var s Scenario
	plain, err := hujson.Standardize(text)
	if err != nil {
		return s, errors.Wrap(err, "scenario")
	}
	decoder := json.NewDecoder(bytes.NewReader(plain))
	decoder.DisallowUnknownFields() // a misspelt field would show only in strange results
	if err := decoder.Decode(&s); err != nil {
		return s, errors.Wrap(err, "scenario")
	}
	return s, s.check()
}

func (s *Scenario) check() error {
	switch {
	case s.LengthS <= 0:
		return errors.New("scenario: lengthS has to be positive")
	case s.Fleet.Racks < 1 || s.Fleet.WorkersPerRack < 1 || s.Fleet.MilliCores < 1 || s.Fleet.LeaseMaxS <= 0:
		return errors.New("scenario: fleet needs racks, workersPerRack, milliCores and leaseMaxS")
	case len(s.Classes) == 0 || len(s.Teams) == 0:
		return errors.New("scenario: at least one class and one team are needed")
	}
	for _, c := range s.Classes {
		if c.PerSecond < 0 || c.RunS.Mean <= 0 || c.Tasks.Mean < 1 || c.Attempts < 1 || len(c.Accelerators) == 0 {
			return errors.Errorf("scenario: class %q needs runS, tasks, attempts and accelerators", c.Name)
		}
	}
	for _, b := range s.Bursts {
		if !s.hasClass(b.Class) {
			return errors.Errorf("scenario: burst of the unknown class %q", b.Class)
		}
	}
	for _, t := range s.Takeovers {
		if t.AtS < 0 || t.ForS <= 0 || t.AtS+t.ForS >= s.LengthS {
			return errors.New("scenario: takeovers have to end before the last arrival")
		}
	}
	return nil
}

func (s *Scenario) hasClass(name string) bool {
	for _, c := range s.Classes {
		if c.Name == name {
			return true
		}
	}
	return false
}
