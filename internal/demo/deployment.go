// Package demo runs a complete deployment on loopback under load, injects faults, and checks that the system keeps its promises.
package demo

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"samphirewell/examples"
	"samphirewell/internal/api"
	"samphirewell/internal/client"
	"samphirewell/internal/config"
	"samphirewell/internal/standin"
)

// traffic is one kind of call and the rate at which it is made.
type traffic struct {
	Method      string
	Class       client.Class
	Team        string
	PerSecond   float64
	Repeatable  bool
	Timeout     time.Duration
	ServiceTime standin.ServiceTime
}

// deployment describes the system of one user.
type deployment struct {
	Name                          string
	Lists                         string // text of the operators' lists
	Service                       string
	Executors, Workers            int
	WorkersPerRack                int
	Cores, MemoryGB, Accelerators int           // of each worker
	ClientLatency                 time.Duration // from callers to entry hosts
	Traffic                       []traffic
	Jobs                          []api.JobSpec // background jobs, in order of submission
	Claim                         api.JobSpec   // job of a guaranteed shape, submitted while borrowing jobs of other teams fill its domain
	ClaimDomain                   string
}

const (
	entryHostsPerDomain = 2
	executorSlots       = 8
	// seed makes service times, arrivals and faults repeatable.
	seed = 20261204
)

func blueMahoe() deployment {
	return deployment{
		Name: "blue-mahoe", Lists: examples.BlueMahoeLists, Service: "order-desk",
		Executors: 50, Workers: 50, WorkersPerRack: 8, Cores: 130, MemoryGB: 500, Accelerators: 8,
		ClientLatency: time.Millisecond,
		Traffic: []traffic{
			{Method: "price-check", Team: "order-desk", Class: client.Urgent, PerSecond: 120, Timeout: 2 * time.Second, ServiceTime: lognormal(15*time.Millisecond, 0.5)},
			{Method: "stock-reconciliation", Team: "stock", Class: client.Batch, PerSecond: 40, Repeatable: true, Timeout: 8 * time.Second, ServiceTime: lognormal(120*time.Millisecond, 0.7)},
			{Method: "season-forecast", Team: "forecast", Class: client.Batch, PerSecond: 10, Repeatable: true, Timeout: 8 * time.Second, ServiceTime: lognormal(200*time.Millisecond, 0.7)},
		},
	}
}

func orchards() deployment {
	return deployment{
		Name: "orchards", Lists: examples.OrchardsLists, Service: "visit-planning",
		Executors: 50, Workers: 50, WorkersPerRack: 8, Cores: 30, MemoryGB: 60, Accelerators: 8,
		ClientLatency: 3 * time.Millisecond,
		Traffic: []traffic{
			{Method: "storm-call", Team: "storm-desk", Class: client.Urgent, PerSecond: 60, Timeout: 2 * time.Second, ServiceTime: lognormal(15*time.Millisecond, 0.5)},
			{Method: "visit-assignment", Team: "assignments", Class: client.Normal, PerSecond: 60, Timeout: 4 * time.Second, ServiceTime: lognormal(40*time.Millisecond, 0.5)},
			{Method: "evening-rounds", Team: "rounds", Class: client.Normal, PerSecond: 40, Repeatable: true, Timeout: 4 * time.Second, ServiceTime: lognormal(60*time.Millisecond, 0.6)},
			{Method: "survey-batch", Team: "survey", Class: client.Batch, PerSecond: 8, Repeatable: true, Timeout: 8 * time.Second, ServiceTime: lognormal(200*time.Millisecond, 0.7)},
		},
	}
}

func lognormal(median time.Duration, sigma float64) standin.ServiceTime {
	const maxFactor = 10 // bounds the tail, so that no call misses its deadline because of the stand-in's service time alone
	return standin.ServiceTime{Median: median, Sigma: sigma, Max: maxFactor * median}
}

// Names returns the deployments that Run accepts.
func Names() []string { return []string{"blue-mahoe", "orchards"} }

func lookUp(name string) (deployment, api.Lists, error) {
	var d deployment
	switch name {
	case "blue-mahoe":
		d = blueMahoe()
	case "orchards":
		d = orchards()
	default:
		return deployment{}, api.Lists{}, errors.Errorf("unknown deployment %q", name)
	}
	lists, err := config.ParseLists(name, []byte(d.Lists))
	if err != nil {
		return deployment{}, api.Lists{}, errors.Wrap(err, "lists of the deployment")
	}
	d.chooseJobs(lists)
	return d, lists, nil
}

// Shapes and amounts of the background jobs.
const (
	backgroundJobs  = 36
	jobRun          = 4 * time.Second
	borrowingRun    = 60 * time.Second
	claimRun        = 3 * time.Second
	partCores       = 4
	partMemoryGB    = 6
	accelsPerWorker = 8
)

// chooseJobs sets the job that claims the largest guarantee of the lists, and background jobs of all teams that borrow the capacity that is left.
func (d *deployment) chooseJobs(lists api.Lists) {
	claimTeam, guarantee := largestGuarantee(lists)
	d.ClaimDomain = guarantee.FailureDomain
	d.Claim = api.JobSpec{
		SubmissionKey: "claim", Team: claimTeam, Kind: "claim", Class: api.JobSpecClassUrgent, Parts: guarantee.Parts, Cores: guarantee.Cores,
		MemoryGb: guarantee.MemoryGb, Accelerators: guarantee.Accelerators, Adjacency: api.JobSpecAdjacency(guarantee.Adjacency),
		DeclaredRunMS: int(claimRun.Milliseconds()), Repeatable: true,
	}
	shapes := []struct {
		parts, accels int
		adjacency     api.JobSpecAdjacency
	}{{1, 1, api.JobSpecAdjacencyWorker}, {2, 4, api.JobSpecAdjacencyRack}, {4, 8, api.JobSpecAdjacencyRack}, {1, 8, api.JobSpecAdjacencyWorker}, {16, 4, api.JobSpecAdjacencyDomain}}
	for i := range backgroundJobs {
		shape, team := shapes[i%len(shapes)], lists.Teams[i%len(lists.Teams)].Name
		d.Jobs = append(d.Jobs, api.JobSpec{
			SubmissionKey: fmt.Sprintf("background-%d", i), Team: team, Kind: "forecast", Class: api.JobSpecClassBatch,
			Parts: shape.parts, Cores: partCores, MemoryGb: partMemoryGB, Accelerators: shape.accels, Adjacency: shape.adjacency,
			DeclaredRunMS: int((jobRun + time.Duration(i%7)*time.Second).Milliseconds()), Repeatable: i%2 == 0,
		})
	}
}

// largestGuarantee returns the guaranteed shape with most accelerators.
func largestGuarantee(lists api.Lists) (team string, largest api.Guarantee) {
	for _, t := range lists.Teams {
		for _, g := range planOf(lists, t).Guarantees {
			if g.Parts*g.Accelerators > largest.Parts*largest.Accelerators {
				team, largest = t.Name, g
			}
		}
	}
	return team, largest
}

func planOf(lists api.Lists, t api.Team) api.Plan {
	for _, p := range lists.Plans {
		if p.Name == t.Plan {
			return p
		}
	}
	return api.Plan{}
}

// borrowingJobs returns jobs that borrow the capacity of the claimed guarantee: for each other team with accelerators, one single-worker job for
// each of the given number of workers. Together they need more than the claim's domain holds.
func (d *deployment) borrowingJobs(lists api.Lists, workers int) []api.JobSpec {
	var out []api.JobSpec
	for _, t := range lists.Teams {
		if t.Name == d.Claim.Team || planOf(lists, t).AcceleratorLimit == 0 {
			continue
		}
		for i := range workers {
			out = append(out, api.JobSpec{
				SubmissionKey: fmt.Sprintf("filler-%d", i), Team: t.Name, Kind: "filler", Class: api.JobSpecClassBatch,
				Parts: 1, Cores: partCores, MemoryGb: partMemoryGB, Accelerators: accelsPerWorker, Adjacency: api.JobSpecAdjacencyWorker,
				DeclaredRunMS: int(borrowingRun.Milliseconds()), Repeatable: true,
			})
		}
	}
	return out
}
