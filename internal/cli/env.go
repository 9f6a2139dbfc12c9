package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kong"
	"github.com/lesismal/nbio/logging"

	"samphirewell/internal/clock"
	"samphirewell/internal/version"
)

// Env is the environment that a command runs in.
type Env struct {
	Context context.Context
	Stdout  io.Writer
	Stderr  io.Writer
	Clock   clock.Clock
}

// OSEnv returns the environment of the current process.
func OSEnv() Env {
	return Env{Context: context.Background(), Stdout: os.Stdout, Stderr: os.Stderr, Clock: clock.Real{}}
}

// Command is a command that another file or package adds to samphirectl. Cmd is a pointer to a kong command struct with
// a method Run(*App) error.
type Command struct {
	Name string // name on the command line
	Help string // one line of help
	Cmd  any
}

// versionHelp describes --version, which is not part of the grammar because "lists put" has a flag of the same name.
const versionHelp = "Given first, --version prints the version and exits. "

// exitRequest is the panic value that unwinds the kong parser when it wants to exit, for example after printing help. It holds the exit code.
type exitRequest int

// parse parses the command line into grammar. If code is negative, the caller runs the command of ctx; otherwise it exits with code.
func parse(env Env, name, description string, grammar any, args []string, extra []Command) (ctx *kong.Context, code int) {
	if len(args) > 0 && args[0] == "--version" {
		_, _ = fmt.Fprintln(env.Stdout, version.Version)
		return nil, ExitOK
	}
	logging.SetLevel(logging.LevelError) // nbio logs each start and stop of a listener otherwise
	defer func() {
		if r := recover(); r != nil {
			request, ok := r.(exitRequest)
			if !ok {
				panic(r)
			}
			code = int(request)
		}
	}()
	options := []kong.Option{
		kong.Name(name), kong.Description(description + "\n\n" + versionHelp + exitHelp),
		kong.Writers(env.Stdout, env.Stderr),
		kong.Exit(func(code int) { panic(exitRequest(code)) }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	}
	for _, c := range extra {
		options = append(options, kong.DynamicCommand(c.Name, c.Help, "", c.Cmd))
	}
	parser, err := kong.New(grammar, options...)
	if err != nil {
		panic(err) // the grammar is compiled in, so this is a programming error
	}
	ctx, err = parser.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintf(env.Stderr, "%s: %v\nRun \"%s --help\" for help.\n", name, err, name)
		return nil, ExitUsage
	}
	return ctx, -1
}

// App is passed to the Run method of each command: its environment and the options that all commands share.
type App struct {
	Env
	Globals
}

// Print writes value as JSON with --output json, else text.
func (a *App) Print(text string, value any) error {
	if a.Output != "json" {
		_, err := io.WriteString(a.Stdout, text)
		return err
	}
	encoder := json.NewEncoder(a.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// readFile reads a file named on the command line. The error is *UsageError.
func readFile(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &UsageError{Message: err.Error()}
	}
	return text, nil
}

// formatUnixMilli formats a time in Unix milliseconds from a message; 0 means not set and is formatted as "-".
func formatUnixMilli(ms int) string {
	if ms == 0 {
		return "-"
	}
	return time.UnixMilli(int64(ms)).UTC().Format("2006-01-02T15:04:05.000Z")
}
