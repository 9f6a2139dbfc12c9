package tools

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"
	"time"

	"samphirewell/internal/api"
	"samphirewell/internal/cli"
	"samphirewell/internal/settings"
	"samphirewell/internal/standin"
	"samphirewell/internal/standin/lease"
)

type standinCmd struct {
	Platform  platformCmd  `cmd:"" help:"Run the table, the object store and the host list."`
	Balancer  balancerCmd  `cmd:"" help:"Run a balancer in front of entry hosts."`
	Executors executorsCmd `cmd:"" help:"Run executors and add them to the platform's host list."`
	Workers   workersCmd   `cmd:"" help:"Run workers and add them to the platform's host list."`
}

// waitUntilInterrupted waits for SIGINT, SIGTERM or the end of the command's context.
func waitUntilInterrupted(app *cli.App) {
	ctx, stop := signal.NotifyContext(app.Context, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
}

// loadHostSettings reads the settings of entry hosts.
func loadHostSettings(files []string) ([]api.Settings, error) {
	var out []api.Settings
	for _, file := range files {
		s, err := settings.Load(file)
		if err != nil {
			return nil, err
		}
		out = append(out, s)
	}
	return out, nil
}

type platformCmd struct {
	Address string        `default:"127.0.0.1:7000" help:"ip:port to listen on."`
	HostLag time.Duration `default:"2s" help:"Age of the host list."`
	Hosts   []string      `arg:"" optional:"" type:"existingfile" help:"Settings files of the entry hosts to list."`
}

// Run runs the platform until it is interrupted.
func (c *platformCmd) Run(app *cli.App) error {
	hosts, err := loadHostSettings(c.Hosts)
	if err != nil {
		return err
	}
	p, err := standin.StartPlatform(standin.PlatformConfig{Address: c.Address, HostLag: c.HostLag})
	if err != nil {
		return err
	}
	defer p.Close()
	for _, s := range hosts {
		p.AddHost(api.HostEntry{
			ID: s.HostID, Incarnation: "1", Role: api.HostEntryRoleEntry, FailureDomain: s.FailureDomain, Region: s.Region,
			Address: s.PeerAddress, OperatorAddress: s.OperatorAddress,
		})
	}
	_, _ = fmt.Fprintf(app.Stdout, "platform at %s with %d entry hosts\n", p.URL(), len(hosts))
	waitUntilInterrupted(app)
	return nil
}

type balancerCmd struct {
	Address string        `default:"127.0.0.1:7001" help:"ip:port to listen on."`
	Lag     time.Duration `default:"500ms" help:"Time until the result of a readiness check takes effect."`
	Hosts   []string      `arg:"" type:"existingfile" help:"Settings files of the entry hosts."`
}

// Run runs the balancer until it is interrupted.
func (c *balancerCmd) Run(app *cli.App) error {
	hosts, err := loadHostSettings(c.Hosts)
	if err != nil {
		return err
	}
	var targets []standin.Target
	for _, s := range hosts {
		targets = append(targets, standin.Target{ID: s.HostID, Address: s.CallerAddress, ReadyURL: "http://" + s.OperatorAddress + "/readyz"})
	}
	b, err := standin.StartBalancer(standin.BalancerConfig{Address: c.Address, Lag: c.Lag}, targets...)
	if err != nil {
		return err
	}
	defer b.Close()
	_, _ = fmt.Fprintf(app.Stdout, "balancer at %s for %d entry hosts\n", b.URL(), len(targets))
	waitUntilInterrupted(app)
	return nil
}

// backendOptions are the options that executors and workers share.
type backendOptions struct {
	Platform string   `default:"http://127.0.0.1:7000" help:"Base URL of the platform stand-in."`
	Domains  []string `required:"" help:"Failure domains, separated by commas."`
	Count    int      `default:"50" help:"Number over all domains."`
	Region   string   `default:"default" help:"Region."`
}

type executorsCmd struct {
	backendOptions
	Service     string        `required:"" help:"Service that the executors run."`
	ServiceTime time.Duration `default:"20ms" help:"Median run time of a call."`
}

// Run runs the executors until it is interrupted.
func (c *executorsCmd) Run(app *cli.App) error {
	const sigma = 0.5 // spread of the log-normal run times
	for i := range c.Count {
		e, err := standin.StartExecutor(standin.ExecutorConfig{
			ID: fmt.Sprintf("executor-%02d", i), Incarnation: "1", Service: c.Service, FailureDomain: c.Domains[i%len(c.Domains)], Region: c.Region,
			Seed: uint64(i), ServiceTime: standin.ServiceTime{Median: c.ServiceTime, Sigma: sigma},
		})
		if err != nil {
			return err
		}
		defer e.Close()
		if err := register(app, c.Platform, e.Entry()); err != nil {
			return err
		}
	}
	_, _ = fmt.Fprintf(app.Stdout, "%d executors of %s\n", c.Count, c.Service)
	waitUntilInterrupted(app)
	return nil
}

type workersCmd struct {
	backendOptions
	Cores        int `default:"130" help:"Processor cores of each worker."`
	MemoryGB     int `name:"memory-gb" default:"500" help:"Memory of each worker, in GB."`
	Accelerators int `default:"8" help:"Accelerators of each worker."`
	RackSize     int `default:"8" help:"Workers to a rack."`
}

// Run runs the workers until it is interrupted.
func (c *workersCmd) Run(app *cli.App) error {
	perDomain := (c.Count + len(c.Domains) - 1) / len(c.Domains)
	for i := range c.Count {
		domain, n := c.Domains[i/perDomain], i%perDomain
		w, err := standin.StartWorker(standin.WorkerConfig{
			Lease: lease.Config{
				WorkerID: fmt.Sprintf("worker-%02d", i), Incarnation: "1", Cores: c.Cores, MemoryGB: c.MemoryGB, Accelerators: c.Accelerators,
				CheckpointEvery: time.Minute,
			},
			FailureDomain: domain, Region: c.Region, Rack: fmt.Sprintf("%s-rack-%d", domain, n/c.RackSize),
		})
		if err != nil {
			return err
		}
		defer w.Close()
		if err := register(app, c.Platform, w.Entry()); err != nil {
			return err
		}
	}
	_, _ = fmt.Fprintf(app.Stdout, "%d workers\n", c.Count)
	waitUntilInterrupted(app)
	return nil
}

func register(app *cli.App, platformURL string, e api.HostEntry) error {
	ctx, cancel := context.WithTimeout(app.Context, 5*time.Second)
	defer cancel()
	return standin.RegisterHost(ctx, platformURL, e)
}
