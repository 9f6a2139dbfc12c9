package fleetmodel

import (
	"fmt"
	"io"
	"math"
	"strconv"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

// Experiment compares policies on the same seeds.
type Experiment struct {
	Scenario  Scenario
	Policies  []string // names; empty means those of Policies
	Seeds     int
	FirstSeed uint64
	Parallel  int // maximum number of concurrent simulations; values below 1 count as 1
}

// Outcome holds the results of one policy, one per seed. Its fields are encoded under their names.
type Outcome struct {
	Policy  string
	Results []Result
}

// Report holds the outcomes of all policies of an experiment.
type Report struct {
	Scenario Scenario
	Outcomes []Outcome
}

// Run simulates all seeds with all policies.
func (e Experiment) Run() (Report, error) {
	chosen, err := choosePolicies(e.Policies)
	if err != nil {
		return Report{}, err
	}
	if e.Seeds < 1 {
		return Report{}, errors.New("the number of seeds must be at least 1")
	}
	report := Report{Scenario: e.Scenario}
	slots := make(chan struct{}, max(1, e.Parallel))
	var group sync.WaitGroup
	for _, p := range chosen {
		o := Outcome{Policy: p.Name, Results: make([]Result, e.Seeds)}
		report.Outcomes = append(report.Outcomes, o)
		for i := range e.Seeds {
			slots <- struct{}{}
			group.Go(func() {
				defer func() { <-slots }()
				o.Results[i] = e.Scenario.runSeed(e.FirstSeed+uint64(i), p)
			})
		}
	}
	group.Wait()
	return report, nil
}

func choosePolicies(names []string) ([]Policy, error) {
	if len(names) == 0 {
		return Policies(), nil
	}
	all := append(Policies(), orderPolicies()...)
	var out []Policy
	for _, name := range names {
		found := false
		for _, p := range all {
			if p.Name == name {
				out, found = append(out, p), true
			}
		}
		if !found {
			return nil, errors.Errorf("unknown policy %q", name)
		}
	}
	return out, nil
}

// Estimate is a mean over seeds with the half width of its 95% confidence interval.
type Estimate struct{ Mean, HalfWidth float64 }

// String prints the mean and the half width.
func (e Estimate) String() string { return fmt.Sprintf("%.3f±%.3f", e.Mean, e.HalfWidth) }

// tQuantiles holds the 97.5% quantiles of Student's t distribution for 1, 2, ... degrees of freedom; the last one is used for all larger numbers.
var tQuantiles = [...]float64{12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131, 2.120, 2.110, 2.101, 2.093, 2.086}

// EstimateOf returns the estimate of a measure over the results. The half width is 0 for a single result.
func (o Outcome) EstimateOf(measure func(Result) float64) Estimate {
	values := make([]float64, len(o.Results))
	for i, r := range o.Results {
		values[i] = measure(r)
	}
	return estimate(values)
}

// DifferenceOf returns the estimate of the difference of a measure from that of another policy with the same arrivals.
func (o Outcome) DifferenceOf(other Outcome, measure func(Result) float64) Estimate {
	values := make([]float64, len(o.Results))
	for i, r := range o.Results {
		values[i] = measure(r) - measure(other.Results[i])
	}
	return estimate(values)
}

func estimate(values []float64) Estimate {
	n := float64(len(values))
	sum, squares := 0.0, 0.0
	for _, v := range values {
		sum += v
	}
	mean := sum / n
	if n < 2 {
		return Estimate{Mean: mean}
	}
	for _, v := range values {
		squares += (v - mean) * (v - mean)
	}
	t := tQuantiles[min(len(values)-2, len(tQuantiles)-1)]
	return Estimate{mean, t * math.Sqrt(squares/(n-1)/n)}
}

// Outcome returns the outcome of a policy.
func (r Report) Outcome(policy string) (Outcome, bool) {
	for _, o := range r.Outcomes {
		if o.Policy == policy {
			return o, true
		}
	}
	return Outcome{}, false
}

// summaryColumns are the columns of the table of each policy's results over all classes.
var summaryColumns = []struct {
	name  string
	value func(Result) float64
}{
	{"worth", func(r Result) float64 { return r.Worth }},
	{"worst team", Result.WorstTeam},
	{"busy", func(r Result) float64 { return r.Busy }},
	{"lost", func(r Result) float64 { return r.Lost }},
	{"starts", func(r Result) float64 { return float64(r.Starts) }},
	{"stops", func(r Result) float64 { return float64(r.Stops) }},
	{"decide s", func(r Result) float64 { return r.Plan.Seconds() }},
}

// classColumns are the columns of the table by class and policy.
var classColumns = []struct {
	name  string
	value func(ClassResult) float64
}{
	{"worth", func(c ClassResult) float64 { return c.Worth }},
	{"in time", func(c ClassResult) float64 { return ratio(c.InTime, c.Jobs) }},
	{"late", func(c ClassResult) float64 { return ratio(c.Late, c.Jobs) }},
	{"p50 s", func(c ClassResult) float64 { return c.P50.Seconds() }},
	{"p99 s", func(c ClassResult) float64 { return c.P99.Seconds() }},
	{"large/all", func(c ClassResult) float64 { return c.Large }},
	{"next/all", func(c ClassResult) float64 { return c.Next }},
}

func ratio(n, of int) float64 { return float64(n) / float64(max(1, of)) }

// Write prints a table by policy, a table by class and policy, for workers of different speeds a table of the estimates of their speeds, and the differences of
// worth from the first policy.
func (r Report) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	seeds := 0
	if len(r.Outcomes) > 0 {
		seeds = len(r.Outcomes[0].Results)
	}
	_, err := fmt.Fprintf(w, "%s: %d workers, %.0f s of arrivals, %d seeds; means with 95%% confidence ranges\n\n",
		r.Scenario.Name, r.Scenario.workers(), r.Scenario.LengthS, seeds)
	line := func(cells ...string) {
		for _, c := range cells {
			if err == nil {
				_, err = fmt.Fprintf(t, "%s\t", c)
			}
		}
		if err == nil {
			_, err = fmt.Fprintln(t)
		}
	}
	head := []string{"policy"}
	for _, m := range summaryColumns {
		head = append(head, m.name)
	}
	line(head...)
	for _, o := range r.Outcomes {
		cells := []string{o.Policy}
		for _, m := range summaryColumns {
			cells = append(cells, o.EstimateOf(m.value).String())
		}
		line(cells...)
	}
	line()
	head = []string{"class", "policy"}
	for _, m := range classColumns {
		head = append(head, m.name)
	}
	line(head...)
	for i, c := range r.Scenario.Classes {
		for _, o := range r.Outcomes {
			cells := []string{c.Name, o.Policy}
			for _, m := range classColumns {
				cells = append(cells, o.EstimateOf(func(x Result) float64 { return m.value(x.Classes[i]) }).String())
			}
			line(cells...)
		}
	}
	if len(r.Scenario.Fleet.Speeds) > 0 {
		line()
		line("leader", "policy", "after s", "known", "right side", "log error")
		for _, o := range r.Outcomes {
			for i, q := range o.Results[0].Speeds {
				line(strconv.FormatUint(q.Leader, 10), o.Policy, strconv.FormatFloat(q.AfterS, 'f', -1, 64), o.EstimateOf(func(x Result) float64 { return x.Speeds[i].Known }).String(),
					o.EstimateOf(func(x Result) float64 { return x.Speeds[i].Right }).String(), o.EstimateOf(func(x Result) float64 { return x.Speeds[i].LogError }).String())
			}
		}
	}
	if len(r.Outcomes) > 1 {
		line()
		line(append([]string{"less " + r.Outcomes[0].Policy + ", by seed", "worth", "worst team"}, r.classNames()...)...)
		for _, o := range r.Outcomes[1:] {
			cells := []string{o.Policy}
			for _, measure := range r.worths() {
				cells = append(cells, o.DifferenceOf(r.Outcomes[0], measure).String())
			}
			line(cells...)
		}
	}
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(t.Flush())
}

func (r Report) classNames() []string {
	names := make([]string, len(r.Scenario.Classes))
	for i, c := range r.Scenario.Classes {
		names[i] = c.Name
	}
	return names
}

// worths returns the measures of worth: of all jobs, of the worst team and of each class.
func (r Report) worths() []func(Result) float64 {
	out := []func(Result) float64{func(x Result) float64 { return x.Worth }, Result.WorstTeam}
	for i := range r.Scenario.Classes {
		out = append(out, func(x Result) float64 { return x.Classes[i].Worth })
	}
	return out
}

// Urgent returns the estimates of the median and the 99% quantile of the time to completion in the first class of priority 0, in seconds.
func (r Report) Urgent(policy string) (p50, p99 Estimate, ok bool) {
	o, found := r.Outcome(policy)
	for i, c := range r.Scenario.Classes {
		if found && c.Priority == 0 {
			return o.EstimateOf(func(x Result) float64 { return x.Classes[i].P50.Seconds() }),
				o.EstimateOf(func(x Result) float64 { return x.Classes[i].P99.Seconds() }), true
		}
	}
	return Estimate{}, Estimate{}, false
}

// Elapsed returns the simulated time of one simulation.
func (s *Scenario) Elapsed() time.Duration { return seconds(s.LengthS + s.SettleS) }
