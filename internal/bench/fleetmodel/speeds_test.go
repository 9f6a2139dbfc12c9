package fleetmodel

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against speeds that differ from the scenario's, in number or between policies of a seed, and against the wrong number of workers and failure domains.
func TestFleetOfUnevenWorkers(t *testing.T) {
	s := load(t, "timetable")
	speeds := func(seed uint64) (out []float64, domains map[string]bool) {
		domains = map[string]bool{}
		f := newFleet(&s, seed, nil)
		sum := 0.0
		for _, w := range f.workers {
			out, domains[w.Domain] = append(out, w.speed), true
			sum += f.slowness(w.ID)
		}
		must.Between(t, 0.999, sum/float64(len(f.workers)), 1.001)
		return out, domains
	}
	a, domains := speeds(1)
	b, _ := speeds(1)
	other, _ := speeds(2)
	must.Eq(t, a, b)
	must.NotEq(t, a, other)
	must.SliceLen(t, 350, a)
	must.MapLen(t, 4, domains)
	slow := 0
	for _, speed := range a {
		if math.Abs(1/speed-1.7) < 1e-9 {
			slow++
		}
	}
	must.Eq(t, 117, slow)
	must.InDelta(t, 350*(128+8*acceleratorCores), s.capacity(), 1)
	for _, change := range []func(f *Fleet){func(f *Fleet) { f.Speeds = []float64{1, 0} }, func(f *Fleet) { f.Workers = 353 }, func(f *Fleet) { f.ReportS = -1 }} {
		bad := s
		change(&bad.Fleet)
		must.Error(t, bad.check())
	}
	s.Classes[0].TailFactor = 0
	must.Error(t, s.check())
}

// Guards against a tail of the run times that is missing, or that depends on the class of the job.
func TestShareOfTasksTakesLonger(t *testing.T) {
	s := load(t, "timetable")
	with := s.arrivals(1)
	for i := range s.Classes {
		s.Classes[i].TailShare, s.Classes[i].RunS.Sigma, s.Classes[i].UnevenShare = 0.03, 0, 0
	}
	must.NotEq(t, with, s.arrivals(1))
	units, long := 0, 0
	for seed := range uint64(20) {
		for _, a := range s.arrivals(seed) {
			times := a.taskRunTimes
			if a.job.Steps[0].Gang {
				times = times[:1]
			}
			for _, d := range times {
				units++
				if d.Seconds() > 6*s.Classes[a.classIndex].RunS.Mean {
					long++
				}
			}
		}
	}
	must.Between(t, 0.027, float64(long)/float64(units), 0.033)
}

// Guards against a leader that doesn't learn the speeds of the workers that it uses, and against a new one that doesn't learn them from the runs that it
// inherits, so that they would have to be stored. With 2 s between reports the shares were 0.23 known and 0.95 right after 10 s, and 0.23 and 0.93 at 3 s after a
// takeover, means of 20 seeds.
func TestLeadersLearnSpeeds(t *testing.T) {
	s := load(t, "timetable")
	s.Takeovers = []Takeover{{AtS: 16, ForS: 1.4}}
	s.LengthS, s.SettleS = 21, 0
	r, err := Experiment{Scenario: s, Policies: []string{"product"}, Seeds: 6, FirstSeed: 1, Parallel: 3}.Run()
	must.NoError(t, err)
	checked := 0
	for i, q := range r.Outcomes[0].Results[0].Speeds {
		if q.Leader == 1 && q.AfterS == 10 || q.Leader == 2 && q.AfterS == 3 {
			checked++
			known := r.Outcomes[0].EstimateOf(func(x Result) float64 { return x.Speeds[i].Known })
			right := r.Outcomes[0].EstimateOf(func(x Result) float64 { return x.Speeds[i].Right })
			must.GreaterEq(t, 0.16, known.Mean, must.Sprintf("known of leader %d", q.Leader))
			must.GreaterEq(t, 0.88, right.Mean, must.Sprintf("on the right side of leader %d", q.Leader))
		}
	}
	must.Eq(t, 2, checked)
}

// Guards against an oracle of speeds that the decisions don't use.
func TestSpeedOracleSetsTheTrueSpeeds(t *testing.T) {
	s := load(t, "timetable")
	for _, p := range Policies() {
		if p.Name != "speed-oracle" {
			continue
		}
		sim := s.newSimulation(1, p)
		for sim.fleet.now < time.Second {
			sim.step()
		}
		for _, factor := range sim.core.Overview(sim.fleet.now).Slowness {
			scaled := factor * sim.fleet.meanFactor()
			must.True(t, math.Abs(scaled-1.7) < 1e-9 || math.Abs(scaled-0.7) < 1e-9)
		}
		return
	}
	t.Fatal("no such policy")
}
