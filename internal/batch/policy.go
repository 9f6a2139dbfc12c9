package batch

import (
	"strings"
	"time"
)

// Queue is an endpoint that accepts jobs, with the settings by which its jobs are scheduled.
type Queue struct {
	Name     string        `json:"name"`
	Host     string        `json:"-"` // callers reach the queue under this host and path prefix
	Prefix   string        `json:"-"`
	Service  string        `json:"service"` // pool of workers that run the jobs
	Priority int           `json:"prio"`    // 0 is the most urgent
	Attempts int           `json:"tries"`   // number of failed runs of a task group after which its job fails; long-running tasks have no limit
	Stretch  float64       `json:"stretch"` // the objective for the duration of a job is Stretch times its critical path plus Target
	Target   time.Duration `json:"target"`
	Public   bool          `json:"-"`                // calls need no key
	Advice   *AdvicePolicy `json:"advice,omitempty"` // nil if every worker may run the queue's tasks without a request to the adviser
}

// AdvicePolicy holds the durations of requests to the adviser, which decides which workers may run a step, and of the tickets that it returns.
type AdvicePolicy struct {
	PerRequest time.Duration `json:"decide"` // time that the adviser needs for a request
	PerWorker  time.Duration `json:"each"`   // additional time for each worker in the request
	TicketTTL  time.Duration `json:"valid"`  // time for which a ticket is valid
}

const (
	// MaxAdviceWorkers is the largest number of workers in an advice request, which the adviser accepts.
	MaxAdviceWorkers = 100
	// MinAdviceWorkers is the smallest number of workers in an advice request if there are as many. A request with fewer often yields no ticket.
	MinAdviceWorkers = 12
	// TicketMargin is the remaining validity below which a ticket is no longer used; it covers the time that a start takes.
	TicketMargin = 500 * time.Millisecond
)

// WorkersPerRequest returns the number of workers in a request: the number at which the time for the workers equals the fixed time of a request. With
// fewer, the fixed time would be spent more often; with more, other steps would wait for workers that aren't needed.
func (a *AdvicePolicy) WorkersPerRequest() int {
	if a.PerWorker <= 0 {
		return MaxAdviceWorkers
	}
	return min(max(MinAdviceWorkers, int(a.PerRequest/a.PerWorker)), MaxAdviceWorkers)
}

// Service is a pool of workers.
type Service struct {
	Name             string
	EnforcesCapacity bool // its workers refuse to start tasks that exceed their free capacity
	PoweredOff       bool // its workers are switched off
}

// Team is a customer, with the capacity that is guaranteed to it.
type Team struct {
	Name                   string
	Keys                   []string
	GuaranteedAccelerators int // accelerators for the team's jobs of priority 0
}

// Policy is one version of the operators' configuration. It is immutable after Index.
type Policy struct {
	Version      int64
	Queues       []Queue
	Services     []Service
	Teams        []Team
	MaxBodyBytes int // largest size of a submission in bytes

	teamByKey   map[string]string
	queueByName map[string]int // index into Queues
}

// Index builds the lookup tables and returns p.
func (p *Policy) Index() *Policy {
	p.teamByKey, p.queueByName = map[string]string{}, map[string]int{}
	for i, q := range p.Queues {
		p.queueByName[q.Name] = i
	}
	for _, t := range p.Teams {
		for _, k := range t.Keys {
			p.teamByKey[k] = t.Name
		}
	}
	return p
}

// Route returns the queue with the longest prefix of the path on the host.
func (p *Policy) Route(host, path string) (Queue, bool) {
	best := -1
	for i := range p.Queues {
		q := &p.Queues[i]
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (best < 0 || len(q.Prefix) > len(p.Queues[best].Prefix)) {
			best = i
		}
	}
	if best < 0 {
		return Queue{}, false
	}
	return p.Queues[best], true
}

// TeamByKey returns the team that holds the key.
func (p *Policy) TeamByKey(key string) (string, bool) {
	t, ok := p.teamByKey[key]
	return t, ok
}

// Queue returns a queue by name.
func (p *Policy) Queue(name string) (Queue, bool) {
	i, ok := p.queueByName[name]
	if !ok {
		return Queue{}, false
	}
	return p.Queues[i], true
}

// EnforcesCapacity reports whether the workers of a service refuse to start tasks that exceed their free capacity.
func (p *Policy) EnforcesCapacity(service string) bool {
	for _, s := range p.Services {
		if s.Name == service {
			return s.EnforcesCapacity
		}
	}
	return false
}

// Guarantee returns the accelerators that are guaranteed to a team.
func (p *Policy) Guarantee(team string) int {
	for _, t := range p.Teams {
		if t.Name == team {
			return t.GuaranteedAccelerators
		}
	}
	return 0
}
