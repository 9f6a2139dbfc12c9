package tools

import (
	"fmt"

	"samphirewell/internal/cli"
	"samphirewell/internal/demo"
	"samphirewell/internal/outcome"
)

// reasonPromiseViolated is the reason of the error that Run returns if a promise was violated.
const reasonPromiseViolated outcome.Reason = "promise_violated"

type demoCmd struct {
	Deployment      string `enum:"blue-mahoe,orchards" default:"blue-mahoe" help:"Deployment to run: blue-mahoe or orchards."`
	BalancerAddress string `help:"ip:port of the balancer stand-in, for calls from other programs; any free port by default."`
}

// Run runs the demo and prints its report. The exit code is 1 if a promise was violated.
func (c *demoCmd) Run(app *cli.App) error {
	report, err := demo.Run(app.Context, demo.Options{Deployment: c.Deployment, BalancerAddress: c.BalancerAddress, Progress: app.Stderr})
	if err != nil {
		return err
	}
	write := report.WriteText
	if app.Output == "json" {
		write = report.WriteJSON
	}
	if err := write(app.Stdout); err != nil {
		return err
	}
	if n := report.Violations(); n > 0 {
		_, _ = fmt.Fprintf(app.Stderr, "%d violations\n", n)
		return &cli.OutcomeError{Outcome: outcome.Refuse(reasonPromiseViolated, 0)}
	}
	return nil
}
