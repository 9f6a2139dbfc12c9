package tools

import (
	"encoding/json"
	"os"
	"runtime"

	"github.com/pkg/errors"

	"samphirewell/internal/bench/fleetmodel"
	"samphirewell/internal/cli"
)

type fleetCmd struct {
	Scenario string   `arg:"" type:"existingfile" help:"Scenario file, JSON with comments; see examples/fleet."`
	Policies []string `help:"Policies to compare: product, fcfs-first-fit, best-fit-backfill, oracle, speed-oracle, and the product without fair shares (no-fair-shares) or with another order of waiting jobs: oldest-first, least-slack, weighted-shortest, value-then-shortest, cost-slope, price. The first five by default."`
	Seeds    int      `default:"10" help:"Number of seeds; every policy serves the same arrivals."`
	First    uint64   `default:"1" help:"First seed."`
	Parallel int      `help:"Simulations at a time; half of the cores by default."`
	JSON     bool     `name:"json" help:"Print the result of each seed as JSON instead of the table."`
	SVG      string   `name:"svg" placeholder:"FILE" help:"Write a plot of the worth by class."`
}

// Run plays the scenario and prints the table.
func (c *fleetCmd) Run(app *cli.App) error {
	text, err := os.ReadFile(c.Scenario)
	if err != nil {
		return errors.WithStack(err)
	}
	s, err := fleetmodel.ParseScenario(text)
	if err != nil {
		return err
	}
	if c.Parallel <= 0 {
		c.Parallel = max(1, runtime.NumCPU()/2)
	}
	report, err := fleetmodel.Experiment{Scenario: s, Policies: c.Policies, Seeds: c.Seeds, FirstSeed: c.First, Parallel: c.Parallel}.Run()
	if err != nil {
		return err
	}
	if c.SVG != "" {
		if err := writePlot(c.SVG, report); err != nil {
			return err
		}
	}
	if c.JSON {
		return errors.WithStack(json.NewEncoder(app.Stdout).Encode(report.Outcomes))
	}
	return report.Write(app.Stdout)
}

func writePlot(path string, report fleetmodel.Report) error {
	f, err := os.Create(path)
	if err != nil {
		return errors.WithStack(err)
	}
	if err := report.WriteSVG(f); err != nil {
		_ = f.Close()
		return err
	}
	return errors.WithStack(f.Close())
}
