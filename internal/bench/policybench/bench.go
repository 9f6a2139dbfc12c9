// Package policybench compares the scheduling policy with two baselines on seeded job lists. It runs each policy in a discrete event simulation with
// its own clock that models starts, ends, preemptions, migrations and failures only.
package policybench

import (
	"slices"
	"sync"
	"time"

	"samphirewell/internal/scheduler"
)

// Config selects what Run measures.
type Config struct {
	Seed      uint64
	Mixes     []Mix
	Scenarios []Scenario
	Parallel  int // maximum number of concurrent runs; values below 1 count as 1
}

// DefaultConfig returns the configuration of the full table.
func DefaultConfig() Config {
	return Config{Seed: 1, Mixes: []Mix{BlueMahoe(1.1), BlueMahoe(1), Orchards(0.75), Target(), TargetOneDomain()}, Scenarios: Scenarios(), Parallel: 4}
}

// namedPolicy is a policy and its name in the table.
type namedPolicy struct {
	name   string
	policy Policy
}

// policies returns the scheduling policy under test first and then the baselines.
func policies() []namedPolicy {
	return []namedPolicy{{"plan", scheduler.Plan}, {"first fit", FirstFit}, {"backfill", Backfill}}
}

// Report holds a row for each mix, scenario and policy, in this order.
type Report struct {
	Rows []Row
}

// Row is the result of one run.
type Row struct {
	Mix, Scenario, Policy      string
	Jobs                       int                // measured jobs: all but those that the scenario cancels or that fail on every worker
	Completed                  int                // measured jobs that completed; the completion and run times cover only these
	MeanCompletion             float64            // mean time from submission to completion in seconds
	MeanRunTime                float64            // mean run time in seconds, the lower bound of MeanCompletion for every policy
	CompletionP95              float64            // 95% quantile of the time from submission to completion in seconds
	ByClass                    [3]ClassCompletion // urgent, normal, batch
	LargeSlowdown              float64            // mean of completion time / run time of the largest tenth of the jobs
	LargeOverWaitBound         int                // jobs of the largest tenth that waited longer than the bound that the policy states (setWaitBound)
	GuaranteeClaims            int                // guarantee claims whose wait was measured: all but the excused ones
	ClaimWaitP99, ClaimWaitMax float64            // wait of the measured guarantee claims in seconds
	ClaimsMissed               int                // claims that waited longer than ClaimTarget although their workers were available
	ClaimsExcused              int                // claims that waited longer than ClaimTarget while their workers were down or used by guaranteed jobs
	Fragmentation              float64            // time-weighted mean share of free accelerators that cannot serve the largest guaranteed shape
	FragmentationFloor         float64            // the same if the free accelerators were packed in the best way
	LostShare                  float64            // accelerator time lost to preemptions and migrations as a share of the used accelerator time
	Utilisation                float64            // used accelerator time in the arrival window as a share of the capacity
	Preemptions, Migrations    int
	CPU                        time.Duration // processor time of the run
}

// ClassCompletion is the completion time of a class in seconds.
type ClassCompletion struct{ Mean, P95 float64 }

// Run measures each policy on all mixes and scenarios. Equal configurations give equal reports, except for Row.CPU.
func Run(cfg Config) Report {
	type task struct {
		row    int
		mix    *Mix
		sc     Scenario
		policy namedPolicy
		specs  []JobSpec
	}
	var tasks []task
	for i := range cfg.Mixes {
		for _, sc := range cfg.Scenarios {
			if only := cfg.Mixes[i].ScenarioNames; len(only) > 0 && !slices.Contains(only, sc.Name) {
				continue
			}
			specs := cfg.Mixes[i].generateJobs(sc, cfg.Seed)
			for _, p := range policies() {
				tasks = append(tasks, task{len(tasks), &cfg.Mixes[i], sc, p, specs})
			}
		}
	}
	rows := make([]Row, len(tasks))
	slots := make(chan struct{}, max(1, cfg.Parallel))
	var wg sync.WaitGroup
	for _, t := range slices.Backward(tasks) { // the large mixes are last in the list and take longest, so start them first
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			rows[t.row] = measure(t.mix, t.sc, t.policy, t.specs, cfg.Seed)
		})
	}
	wg.Wait()
	return Report{Rows: rows}
}

// measure runs all domains of a mix under one policy.
func measure(mix *Mix, sc Scenario, p namedPolicy, specs []JobSpec, seed uint64) Row {
	begin := time.Now()
	outages, bad := mix.drawOutages(sc, seed), mix.drawBadWorkers(sc, seed)
	var sims []*sim
	for d := range mix.Domains {
		s := newSim(mix, d, p.policy, specs, outages, bad)
		s.run()
		sims = append(sims, s)
	}
	row := summarize(sims, specs)
	row.Mix, row.Scenario, row.Policy = mix.Name, sc.Name, p.name
	row.CPU = time.Since(begin)
	return row
}

// largeSize returns the least shape size of the jobs in the largest tenth.
func largeSize(specs []JobSpec) int {
	sizes := make([]int, len(specs))
	for i := range specs {
		sizes[i] = shapeSize(specs[i].Shape)
	}
	slices.Sort(sizes)
	return sizes[len(sizes)*9/10]
}

// shapeSize returns a value that orders shapes by accelerators and then by cores.
func shapeSize(s scheduler.Shape) int { return s.Accelerators()<<20 + s.Parts*s.Part.Cores }

// summarize combines the measures of all domains.
func summarize(sims []*sim, specs []JobSpec) Row {
	var row Row
	var completions, runs, waits []time.Duration
	var byClass [3][]time.Duration
	var slowdown []float64
	var used, lost, capacity, fragmentation, floor, fragmentationSeconds float64
	for _, s := range sims {
		for i := range specs {
			j := s.jobs[specs[i].ID]
			if j == nil || j.CancelAt > 0 || j.Broken {
				continue
			}
			row.Jobs++
			if j.phase != finished {
				continue
			}
			row.Completed++
			completion := j.endedAt - j.ArriveAt
			completions, runs = append(completions, completion), append(runs, j.TrueRun)
			byClass[j.Class] = append(byClass[j.Class], completion)
			if j.large {
				slowdown = append(slowdown, completion.Seconds()/j.TrueRun.Seconds())
				if j.firstStart-j.ArriveAt > j.waitBound {
					row.LargeOverWaitBound++
				}
			}
		}
		waits = append(waits, s.claims.waits...)
		row.ClaimsMissed += s.claims.missed
		row.ClaimsExcused += s.claims.excused
		row.Preemptions += s.measures.preemptions
		row.Migrations += s.measures.migrations
		used += s.measures.usedSum
		lost += s.measures.lostSum
		capacity += float64(s.measures.totalAccelerators) * s.mix.window().Seconds()
		fragmentation += s.measures.fragmentationSum
		floor += s.measures.floorSum
		fragmentationSeconds += s.measures.fragmentationSeconds
	}
	row.MeanCompletion, row.MeanRunTime, row.CompletionP95 = mean(completions), mean(runs), quantile(completions, 0.95)
	for c := range byClass {
		row.ByClass[c] = ClassCompletion{mean(byClass[c]), quantile(byClass[c], 0.95)}
	}
	for _, x := range slowdown {
		row.LargeSlowdown += x / float64(len(slowdown))
	}
	row.GuaranteeClaims, row.ClaimWaitP99, row.ClaimWaitMax = len(waits), quantile(waits, 0.99), quantile(waits, 1)
	row.Fragmentation = fragmentation / max(1, fragmentationSeconds)
	row.FragmentationFloor = floor / max(1, fragmentationSeconds)
	row.LostShare, row.Utilisation = lost/max(1, used), used/capacity
	return row
}
