// Package tools holds the commands of samphirectl that need more than a client: demo, timeline, explanations, stand-ins, benchmarks and the
// capacity measurement.
package tools

import "samphirewell/internal/cli"

// Commands returns the commands to add to samphirectl.
func Commands() []cli.Command {
	return []cli.Command{
		{Name: "demo", Help: "Run a whole deployment on loopback under load and faults, and check the promises.", Cmd: new(demoCmd)},
		{Name: "bench", Help: "Measure routing and scheduling decisions on simulated load.", Cmd: new(benchCmd)},
		{Name: "timeline", Help: "Merge the time lines of all reachable hosts.", Cmd: new(timelineCmd)},
		{Name: "standin", Help: "Run stand-ins of the platform, its balancer, executors and workers, for trials without the real ones.", Cmd: new(standinCmd)},
		{Name: "explain", Help: "Explain jobs and calls by the reasons that the hosts recorded.", Cmd: new(explainCmd)},
	}
}
