package cli

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"

	"samphirewell/internal/api"
	"samphirewell/internal/settings"
)

const daemonDescription = "Entry host daemon of samphirewell: routes service calls and schedules jobs under the plans of the teams. " +
	"SIGTERM and SIGINT stop it gracefully; a second signal ends it at once, but on the users' platform only a second SIGINT does."

// StartFunc runs an entry host until ctx ends, then stops it gracefully and returns.
type StartFunc func(ctx context.Context, s api.Settings, log *logrus.Logger) error

// HostFunc runs an entry host that reads its settings from its environment until ctx ends; it logs to out.
type HostFunc func(ctx context.Context, out io.Writer) error

// daemon is the command-line grammar of samphired.
type daemon struct {
	Serve    serveCommand `cmd:"" default:"withargs" help:"Run an entry host with a settings file (the default)."`
	Platform struct{}     `cmd:"" help:"Run an entry host on the users' platform, which gives it its settings."`
}

// serveCommand runs an entry host with samphirewell's own interfaces, not those of the users' platform.
type serveCommand struct {
	Settings string `required:"" type:"existingfile" help:"Settings of this host in JSON with comments." placeholder:"FILE"`
	Check    bool   `help:"Check the settings and exit."`
}

// RunDaemon runs samphired with the given arguments and returns its exit code: ExitOK after a graceful stop, ExitRefused
// for refused settings or a failed start, ExitUsage for a wrong command line.
func RunDaemon(env Env, args []string, start StartFunc, platform HostFunc) int {
	var grammar daemon
	command, code := parse(env, "samphired", daemonDescription, &grammar, args, nil)
	if code >= 0 {
		return code
	}
	if command.Command() == "platform" {
		return daemonExitCode(env, untilStopped(env, func(ctx context.Context) error { return platform(ctx, env.Stdout) }))
	}
	return runServe(env, grammar.Serve, start)
}

func runServe(env Env, command serveCommand, start StartFunc) int {
	s, err := settings.Load(command.Settings)
	if err != nil {
		_, _ = fmt.Fprintf(env.Stderr, "samphired: settings refused:\n%v\n", err)
		return ExitRefused
	}
	if command.Check {
		_, _ = fmt.Fprintf(env.Stdout, "%s: valid; host %s in %s\n", command.Settings, s.HostID, s.FailureDomain)
		return ExitOK
	}
	return serve(env, s, start)
}

func serve(env Env, s api.Settings, start StartFunc) int {
	if start == nil {
		_, _ = fmt.Fprintln(env.Stderr, "samphired: this build has no entry host to start")
		return ExitRefused
	}
	return daemonExitCode(env, untilStopped(env, func(ctx context.Context) error { return start(ctx, s, newLog(env, s)) }))
}

// untilStopped runs f with a context that ends at the first SIGTERM or SIGINT.
func untilStopped(env Env, f func(ctx context.Context) error) error {
	ctx, stop := signal.NotifyContext(env.Context, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	context.AfterFunc(ctx, stop) // restores the default handling, so that a second signal ends the process
	return f(ctx)
}

// daemonExitCode prints an error of the daemon and returns the exit code for it.
func daemonExitCode(env Env, err error) int {
	if err != nil {
		_, _ = fmt.Fprintf(env.Stderr, "samphired: %v\n", err)
		return ExitRefused
	}
	return ExitOK
}

// newLog returns the logger of the daemon. The schema allows only log levels that logrus supports.
func newLog(env Env, s api.Settings) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(env.Stderr)
	if level, err := logrus.ParseLevel(string(s.LogLevel)); err == nil {
		log.SetLevel(level)
	}
	return log
}
