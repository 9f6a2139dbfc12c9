package policybench

import (
	"bytes"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// smallConfig returns the configuration of a short table: one day of Blue Mahoe in the scenarios healthy and failures.
func smallConfig() Config {
	mix := BlueMahoe(1.1)
	mix.Days = 1
	return Config{Seed: 1, Mixes: []Mix{mix}, Scenarios: []Scenario{Scenarios()[0], Scenarios()[3]}, Parallel: 4}
}

// Guards against jobs that never end, guarantee claims that start late, large jobs that wait longer than their bound, and a policy whose mean
// completion time is not at least 10% below that of the better baseline.
func TestSmallTable(t *testing.T) {
	r := Run(smallConfig())
	must.Len(t, 6, r.Rows)
	for i := range r.Rows {
		row := &r.Rows[i]
		must.EqOp(t, row.Jobs, row.Completed, must.Sprint(row.Scenario, row.Policy))
		if row.Policy != "plan" {
			continue
		}
		best, _ := r.baselines(row)
		must.Less(t, 0.9*best, row.MeanCompletion)
		must.Positive(t, row.GuaranteeClaims)
		must.Zero(t, row.ClaimsMissed)
		must.Zero(t, row.LargeOverWaitBound)
	}
	var out bytes.Buffer
	must.NoError(t, r.Write(&out))
	must.EqOp(t, 1+len(r.Rows), strings.Count(out.String(), "\n"))
}

// Guards against results that depend on the order of goroutines or maps.
func TestEqualConfigurationsGiveEqualReports(t *testing.T) {
	cfg := smallConfig()
	cfg.Scenarios = cfg.Scenarios[1:]
	a := Run(cfg)
	cfg.Parallel = 1
	b := Run(cfg)
	for i := range a.Rows {
		a.Rows[i].CPU, b.Rows[i].CPU = 0, 0
	}
	must.Eq(t, a, b)
}

// Guards against job lists whose offered accelerator work differs from the load of the mix by more than 15%.
func TestJobListOffersTheStatedLoad(t *testing.T) {
	for _, mix := range DefaultConfig().Mixes {
		work := 0.0
		for _, j := range mix.generateJobs(Scenario{}, 1) {
			work += float64(j.Shape.Accelerators()) * j.TrueRun.Hours()
		}
		load := work / (mix.capacity(true) * mix.Days * 24)
		must.Between(t, 0.85*mix.Load, load, 1.15*mix.Load, must.Sprint(mix.Name))
	}
}
