package batch

import (
	"strings"
	"time"
)

// Queue takes jobs and says how they are served.
type Queue struct {
	Name     string        `json:"name"`
	Host     string        `json:"-"` // callers reach the queue under this host and path prefix
	Prefix   string        `json:"-"`
	Service  string        `json:"service"` // pool of workers
	Priority int           `json:"prio"`    // 0 comes first
	Attempts int           `json:"tries"`   // runs that may fail before the job does
	Stretch  float64       `json:"stretch"` // the objective of a job is Stretch times its longest chain of work plus Target
	Target   time.Duration `json:"target"`
	Public   bool          `json:"-"`                // needs no key
	Advice   *AdvicePolicy `json:"advice,omitempty"` // nil if every worker may run the queue's tasks
}

// AdvicePolicy holds the times of requests to the adviser, which decides which workers may run a step, and of the tickets that it returns.
type AdvicePolicy struct {
	PerRequest time.Duration `json:"decide"` // time that the adviser takes for a request
	PerWorker  time.Duration `json:"each"`   // further time for each worker that the request names
	TicketTTL  time.Duration `json:"valid"`  // time for which a ticket is valid
}

// Service is a pool of workers.
type Service struct {
	Name             string
	EnforcesCapacity bool // its workers refuse starts that don't fit
	Spare            bool // its workers are off
}

// Team is a tenant with a guarantee.
type Team struct {
	Name       string
	Keys       []string
	Guaranteed int // accelerators for the team's jobs of priority 0
}

// Policy is one version of the operators' configuration. It is not changed after it was made.
type Policy struct {
	Version  int64
	Queues   []Queue
	Services []Service
	Teams    []Team
	MaxBody  int // bytes of a submission

	teamOfKey   map[string]string
	queueByName map[string]int // index into Queues
}

// Index prepares the lookups and returns p.
func (p *Policy) Index() *Policy {
	p.teamOfKey, p.queueByName = map[string]string{}, map[string]int{}
	for i, q := range p.Queues {
		p.queueByName[q.Name] = i
	}
	for _, t := range p.Teams {
		for _, k := range t.Keys {
			p.teamOfKey[k] = t.Name
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

// TeamOf returns the team that holds the key.
func (p *Policy) TeamOf(key string) (string, bool) {
	t, ok := p.teamOfKey[key]
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

// Guarantee returns the accelerators that are guaranteed to a team.
func (p *Policy) Guarantee(team string) int {
	for _, t := range p.Teams {
		if t.Name == team {
			return t.Guaranteed
		}
	}
	return 0
}
