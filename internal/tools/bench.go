package tools

import (
	"runtime"
	"time"

	"samphirewell/internal/bench/policybench"
	"samphirewell/internal/bench/routingbench"
	"samphirewell/internal/cli"
)

type benchCmd struct {
	Policy  policyCmd  `cmd:"" help:"Compare the scheduling policy with two baselines on seeded job lists."`
	Fleet   fleetCmd   `cmd:"" help:"Play the load of a scenario file against the policy of the platform's fleet and baselines, in simulated time."`
	Routing routingCmd `cmd:"" help:"Compare the choice of executors with other policies, and measure recovery from overload."`
}

type policyCmd struct {
	Seed     uint64 `help:"Seed of the job lists; that of the documented table by default."`
	Parallel int    `help:"Runs at a time; half of the cores by default."`
}

// Run prints the policy table.
func (c *policyCmd) Run(app *cli.App) error {
	cfg := policybench.DefaultConfig()
	if c.Seed != 0 {
		cfg.Seed = c.Seed
	}
	if cfg.Parallel = c.Parallel; cfg.Parallel <= 0 {
		cfg.Parallel = max(1, runtime.NumCPU()/2)
	}
	return policybench.Run(cfg).Write(app.Stdout)
}

type routingCmd struct {
	Seed     uint64        `default:"1" help:"Seed of arrivals and service times."`
	Duration time.Duration `default:"4s" help:"Simulated time of each measurement."`
}

// Run prints the routing tables.
func (c *routingCmd) Run(app *cli.App) error {
	routingbench.Report(app.Stdout, c.Duration, c.Seed)
	return nil
}
